#include <doctest/doctest.h>

#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders
#include "celerykeel/node/slot_log.h"        // for kSlotTopic

namespace celerykeel::testing {
namespace {

bool WaitFor(const std::function<bool()>& condition) {
  constexpr int kMaxPolls = 200;  // 10 s
  for (int i = 0; i < kMaxPolls; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

bool WaitUntilLogged(NodeFleet& fleet, const std::string& text) {
  return WaitFor([&] { return fleet.Logs().find(text) != std::string::npos; });
}

bool HasLevel(NodeFleet& fleet, const std::string& name, int value) {
  return fleet.MetricsOf(0).find(name + "\"} " + std::to_string(value) +
                                 "\n") != std::string::npos;
}

// Guards against an outage that follows the loss of all instances: each program
// that began within 20 s of the takeover was refused.
TEST_CASE("programs begin in an outage after the loss of all instances") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  fleet.Kill(0);
  fleet.Start(0);
  REQUIRE(fleet.WaitUntilServing());
  REQUIRE(WaitFor([&] { return HasLevel(fleet, "slots_with_cover", 4); }));
  fleet.store.mode = StoreMode::kRefuses;
  for (int program = 0; program < 5; ++program) {
    for (int turn = 0; turn < 3; ++turn) {
      const std::string name = "q" + std::to_string(program);
      CHECK(fleet
                .Send(0, "POST", "/stream/plain/x",
                      TurnHeaders(name + "-" + std::to_string(turn), name, "",
                                  900),
                      "in")
                .status == 200);
    }
  }
}

// Guards against programs that are refused with 402 although they spent
// nothing: their slot was passed on at a planned stop, and its next holder was
// killed.
TEST_CASE("a planned stop opens no cover") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  const size_t first = fleet.Holds(0, "p") ? 0 : 1;
  const size_t second = 1 - first;
  fleet.Stop(first);
  REQUIRE(WaitFor([&] { return fleet.Holds(second, "p"); }));
  // Longer than the opening of a cover takes.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  fleet.Kill(first);
  fleet.Kill(second);
  fleet.Start(second);
  REQUIRE(fleet.WaitUntilServing());
  CHECK(fleet
            .Send(second, "POST", "/stream/plain/x",
                  TurnHeaders("n1", "p", "", 250), "in")
            .status == 200);
}

// Guards against retained turns that are held before they run, although only
// their end needs the store.
TEST_CASE("a retained turn runs in an outage, and its end waits") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  fleet.ExpectOutages(0, std::chrono::seconds(1));
  fleet.store.mode = StoreMode::kRefuses;
  REQUIRE(WaitFor([&] { return HasLevel(fleet, "store_reached", 0); }));
  CallerAnswer answer;
  std::thread caller([&] {
    answer = fleet.Send(0, "POST", "/stream/kept/x",
                        TurnHeaders("k1", "p", "", 9999), "in");
  });
  CHECK(WaitFor([&] { return RunsOfBoth(fleet, "k1") > 0; }));
  fleet.store.mode = StoreMode::kServes;
  caller.join();
  CHECK(answer.status == 200);
}

// Guards against a log that grows by the whole turn each time its end is
// reported again, once in 1.5 s, while the store is away.
TEST_CASE("the end of a turn is recorded once however often it is reported") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  const size_t other = fleet.Holds(0, "p") ? 1 : 0;
  for (size_t i = 0; i < 2; ++i) {
    fleet.ExpectOutages(i, std::chrono::seconds(1));
  }
  fleet.store.mode = StoreMode::kRefuses;
  CallerAnswer answer;
  std::thread caller([&] {
    answer = fleet.Send(other, "POST", "/stream/kept/x",
                        TurnHeaders("k1", "p", "", 9999), "in");
  });
  CHECK(WaitFor([&] { return RunsOfBoth(fleet, "k1") > 0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  fleet.store.mode = StoreMode::kServes;
  caller.join();
  CHECK(answer.status == 200);
  CHECK(fleet.CountTurnRecords("p", "k1") == 1);
}

// Guards against a holder that keeps slots to which it can't write, over peers
// neither, while the others can write to theirs.
TEST_CASE("a holder that can't write hands its slots over") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  const std::string program = "p";
  size_t holder = 0;
  while (holder < 2 && !fleet.Holds(holder, program)) {
    ++holder;
  }
  fleet.RunOnStandinLoop([&] {
    fleet.store.refused_epochs.insert(
        fleet.store
            .partitions[{std::string(kSlotTopic), NodeFleet::SlotOf(program)}]
            .epoch);
  });
  fleet.store_access[holder].is_shut = true;
  CHECK(WaitFor([&] {
    return fleet.Holds((holder + 1) % 3, program) ||
           fleet.Holds((holder + 2) % 3, program);
  }));
  CHECK_FALSE(fleet.Holds(holder, program));
  CHECK(fleet
            .Send(holder, "POST", "/stream/kept/x",
                  TurnHeaders("h1", program, "", 9999), "in")
            .status == 200);
}

TEST_CASE("an instance logs what it waited for before it served") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  REQUIRE(WaitUntilLogged(fleet, "\"event\":\"serving\""));
  const std::string logs = fleet.Logs();
  for (const char* field :
       {"configuration_ms", "endpoints_ms", "members_ms", "first_claim_ms",
        "slots_ms", "longest_replay_ms"}) {
    CHECK(logs.find(field) != std::string::npos);
  }
}

}  // namespace
}  // namespace celerykeel::testing
