#include "celerykeel/core/endpoint_table.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

EndpointEntry Entry(const std::string& id,
                    const std::string& address,
                    WallMillis started_at) {
  return {.id = id,
          .service = "s",
          .address = address,
          .zone = "z",
          .slots = 4,
          .leaving = false,
          .warming = {},
          .started_at = started_at,
          .beat = 1};
}

const EndpointStatus* Chosen(EndpointTable& table) {
  return ChooseEndpoint(
      table, {.service = "s", .zone = "z", .subject = "p", .preferred = {}},
      kNow);
}

TEST_CASE("an endpoint that says it leaves gets nothing new") {
  EndpointTable table;
  NoteEntry(table, Entry("e1", "1.2.3.4:5", 1700));
  REQUIRE(Chosen(table) != nullptr);
  CHECK(NoteDeparture(table, "e1", 1700));
  CHECK_FALSE(NoteDeparture(table, "e1", 1700));

  SUBCASE("although its entry says that it serves") {
    EndpointEntry entry = Entry("e1", "1.2.3.4:5", 1700);
    entry.beat = 9;
    NoteEntry(table, entry);
    CHECK(Chosen(table) == nullptr);
  }
  SUBCASE("although its entry lapsed and came back") {
    NoteRemoved(table, "e1", kNow);
    NoteEntry(table, Entry("e1", "1.2.3.4:5", 1700));
    CHECK(Chosen(table) == nullptr);
  }
  SUBCASE("until it starts anew under the same id") {
    NoteEntry(table, Entry("e1", "1.2.3.4:5", 1900));
    CHECK(Chosen(table) != nullptr);
    // An answer of the earlier start that comes late changes nothing.
    CHECK_FALSE(NoteDeparture(table, "e1", 1700));
    CHECK(Chosen(table) != nullptr);
  }
  SUBCASE("another one at its address does") {
    NoteEntry(table, Entry("e2", "1.2.3.4:5", 1700));
    REQUIRE(Chosen(table) != nullptr);
    CHECK(Chosen(table)->entry.id == "e2");
  }
}

}  // namespace
}  // namespace celerykeel
