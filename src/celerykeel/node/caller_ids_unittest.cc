#include <doctest/doctest.h>

#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

// Guards against one caller who harms all others: an id that is not UTF-8
// closed the links between instances and made records of the log unreadable.
TEST_CASE("ids that are no text harm no other caller") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  const std::string long_id(100'000, 'x');
  const std::string bad[] = {"\xff\xfe", "\xc3", "a\x01z", "\x7f",
                             long_id.substr(0, 1000)};
  std::string previous;
  for (size_t i = 0; i < 15; ++i) {
    const std::string& id = bad[i % std::size(bad)];
    const std::string n = std::to_string(i);
    CHECK(fleet
              .Send(i % 3, "POST", "/stream/kept/x",
                    TurnHeaders("b" + n, id + n, "", 9999), "in")
              .status == 400);
    CHECK(fleet
              .Send(i % 3, "POST", "/stream/kept/x",
                    TurnHeaders(id + n, "q" + n, "", 9999), "in")
              .status == 400);
    CHECK(fleet
              .Send(i % 3, "POST", "/stream/kept/x",
                    TurnHeaders("c" + n, "q" + n, id, 9999), "in")
              .status == 400);
    CHECK(RunsOfBoth(fleet, "b" + n) + RunsOfBoth(fleet, "c" + n) == 0);
    CHECK(fleet
              .Send((i + 1) % 3, "POST", "/stream/kept/x",
                    TurnHeaders("s" + n, "sound", previous, 9999), "in")
              .status == 200);
    previous = "s" + n;
  }
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x",
                  TurnHeaders("t\u00e9", "pr\u00e9sence", "", 9999), "in")
            .status == 200);
  CHECK(fleet
            .Send(1, "POST", "/stream/kept/x",
                  TurnHeaders("t2", "pr\u00e9sence", "t\u00e9", 9999), "in")
            .status == 200);
}

}  // namespace
}  // namespace celerykeel::testing
