#include <doctest/doctest.h>

#include "celerykeel/base/clock.h"           // for WallNow
#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

TurnRecord RecordOf(const std::string& turn,
                    const std::string& previous,
                    WallMillis ended_at) {
  constexpr WallMillis kLifetime = 70000;
  return {.program = {"orchard", "p"},
          .turn = turn,
          .previous = previous,
          .base = "",
          .input = turn + "?",
          .output = turn + "!",
          .ended_at = ended_at,
          .expires_at = ended_at + kLifetime,
          .spent = 0};
}

// Guards against losing a conversation after a kill: turns that had expired
// were dropped between two reads of the log, and so were the ones after them.
TEST_CASE("a slot that is read in several parts keeps its conversations") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  const WallMillis now = WallNow();
  fleet.AppendToSlot("p", RecordOf("a", "", now - 100000));
  fleet.AppendToSlot("p", RecordOf("b", "a", now - 40000));
  fleet.Kill(0);
  fleet.store.max_records_per_read = 1;
  fleet.store.read_delay_ms = 500;  // longer than the interval of expiry
  fleet.Start(0);
  REQUIRE(fleet.WaitUntilServing());
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x", TurnHeaders("c", "p", "b", 9999),
                  "c?")
            .status == 200);
  CHECK(BodyOf(fleet.endpoints[0], "c") + BodyOf(fleet.endpoints[1], "c") ==
        "a?a!b?b!c?");
}

}  // namespace
}  // namespace celerykeel::testing
