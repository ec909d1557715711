#include "celerykeel/core/event_stream.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TEST_CASE("the same events result from any split of the bytes") {
  const std::string stream =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\nda";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    auto events = AddBytes(splitter, stream.substr(0, cut));
    for (auto& event : AddBytes(splitter, stream.substr(cut))) {
      events.push_back(event);
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "1");
    CHECK(events[0].data == "one");
    CHECK(events[0].raw == "id: 1\ndata: one\n\n");
    CHECK(events[1].data == "two\nmore");
    CHECK(splitter.partial == "id: 3\nda");
  }
}

TEST_CASE("an event id is a decimal number") {
  CHECK(EventNumber("0") == 0);
  CHECK(EventNumber("9999999999999999999") == 9999999999999999999U);
  for (const char* bad :
       {"", "-1", "+1", "1 ", "0x1", "1.5", "\xf3", "10000000000000000000"}) {
    CHECK_FALSE(EventNumber(bad).has_value());
  }
}

}  // namespace
}  // namespace celerykeel
