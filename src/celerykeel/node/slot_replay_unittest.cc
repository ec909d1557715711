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

// Guards against an instance that never ends reading the logs of its slots: all
// slots are at one instance with the slowest link of the known deployments, and
// the reads of their logs share it.
TEST_CASE("long logs are read over a slow link") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  constexpr double kMbps = 22;
  constexpr size_t kTextBytes = 100'000;
  constexpr int kTurns = 64;  // 1.6 MB a slot
  const WallMillis now = WallNow();
  for (int i = 0; i < kTurns; ++i) {
    const std::string turn = "t" + std::to_string(i);
    TurnRecord record = RecordOf(turn, "", now);
    record.program.id = turn;
    record.input.assign(kTextBytes, 'x');
    fleet.AppendToSlot(turn, record);
  }
  fleet.Kill(0);
  fleet.store_access[0].bytes_per_second = static_cast<size_t>(kMbps * 125'000);
  SUBCASE("whose rate is known") {
    fleet.link_mbps = kMbps;
  }
  SUBCASE("whose rate is not known") {}
  fleet.Start(0);
  REQUIRE(fleet.WaitUntilServing());
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x",
                  TurnHeaders("n", "t63", "t63", 9999), "more")
            .status == 200);
  CHECK(fleet.MetricsOf(0).find("slot_log_reads_failed\"} 0\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace celerykeel::testing
