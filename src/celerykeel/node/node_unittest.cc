#include <doctest/doctest.h>

#include "celerykeel/base/clock.h"           // for WallNow
#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders, ToolHeaders
#include "celerykeel/node/slot_log.h"        // for kSlotTopic
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet
#include "celerykeel/wire/slot_codec.h"      // for EncodeSlotRecord

namespace celerykeel::testing {
namespace {

std::string BodyAtEither(NodeFleet& fleet, const std::string& id) {
  return BodyOf(fleet.endpoints[0], id) + BodyOf(fleet.endpoints[1], id);
}

// Sets the store to a failure mode for `time`.
// @return the thread that ends the failure; the caller must join it.
std::thread FailStoreFor(NodeFleet& fleet,
                         StoreMode mode,
                         std::chrono::milliseconds time) {
  fleet.store.mode = mode;
  return std::thread([&fleet, time] {
    std::this_thread::sleep_for(time);
    fleet.store.mode = StoreMode::kServes;
  });
}

constexpr char kOutput[] = "e1\ne2\ne3\ne4\n";

TEST_CASE("turns, tools, keys and budgets over three instances") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());

  SUBCASE("a turn continues from its predecessors at any instance") {
    CHECK(fleet
              .Send(0, "POST", "/stream/kept/x",
                    TurnHeaders("t1", "p", "", 9999), "in1")
              .status == 200);
    CHECK(fleet
              .Send(1, "POST", "/stream/kept/x",
                    TurnHeaders("t2", "p", "t1", 9999), "in2")
              .status == 200);
    CHECK(BodyAtEither(fleet, "t2") == std::string("in1") + kOutput + "in2");
    // Another program, in another slot, continues from a turn of the first one.
    CHECK(fleet
              .Send(2, "POST", "/stream/kept/x",
                    TurnHeaders("t3", "q9", "t2", 9999), "in3")
              .status == 200);
    CHECK(BodyAtEither(fleet, "t3") ==
          std::string("in1") + kOutput + "in2" + kOutput + "in3");
    CHECK(fleet
              .Send(2, "POST", "/stream/kept/x",
                    TurnHeaders("t4", "q9", "t3", 9999), "in4")
              .status == 200);
    CHECK(fleet
              .Send(2, "POST", "/stream/kept/x",
                    TurnHeaders("t5", "p", "none", 9999), "in5")
              .status == 404);
    CHECK(RunsOfBoth(fleet, "t5") == 0);
  }

  SUBCASE("a turn that exceeds the remaining budget is not run") {
    CHECK(fleet
              .Send(0, "POST", "/stream/plain/x",
                    TurnHeaders("b1", "r", "", 150), "")
              .status == 200);
    // 80 tokens are spent, and the next turn may use 100.
    CHECK(fleet
              .Send(1, "POST", "/stream/plain/x",
                    TurnHeaders("b2", "r", "", 150), "")
              .status == 402);
    CHECK(RunsOfBoth(fleet, "b2") == 0);
  }

  SUBCASE(
      "refused turns of a program over its budget use none of its team's "
      "rate") {
    // The team of this key has a burst of four calls and almost no rate.
    HeaderList first = TurnHeaders("o1", "loop", "", 150);
    first[1].second = "Bearer k2";
    CHECK(fleet.Send(0, "POST", "/stream/plain/x", first, "").status == 200);
    for (size_t i = 0; i < 12; ++i) {
      HeaderList more = TurnHeaders("o2" + std::to_string(i), "loop", "", 150);
      more[1].second = "Bearer k2";
      CHECK(fleet.Send(i % 3, "POST", "/stream/plain/x", more, "").status ==
            402);
    }
    for (size_t i = 0; i < 2; ++i) {
      CHECK(fleet
                .Send(i, "GET", "/look/x",
                      ToolHeaders("o3" + std::to_string(i), "k2"), "")
                .status == 200);
    }
  }

  SUBCASE("a call that no endpoint accepts uses none of its team's rate") {
    fleet.endpoints[0].is_full = true;
    fleet.endpoints[1].is_full = true;
    for (size_t i = 0; i < 8; ++i) {
      CHECK(fleet
                .Send(0, "GET", "/look/x",
                      ToolHeaders("n" + std::to_string(i), "k2"), "")
                .status == 503);
    }
    fleet.endpoints[0].is_full = false;
    fleet.endpoints[1].is_full = false;
    CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders("n-last", "k2"), "")
              .status == 200);
  }

  SUBCASE(
      "an endpoint that announces its departure gets no more calls from any "
      "instance") {
    fleet.endpoints[0].announces_leaving = true;
    int runs = 0;
    for (size_t i = 0; i < 20 && runs == 0; ++i) {
      const std::string id = "g" + std::to_string(i);
      CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders(id), "").status == 200);
      runs = RunsOf(fleet.endpoints[0], id);
    }
    REQUIRE(runs == 1);
    REQUIRE(fleet.WaitUntilDeparted(0));
    for (size_t i = 0; i < 30; ++i) {
      const std::string id = "h" + std::to_string(i);
      CHECK(fleet.Send(i % 3, "GET", "/look/x", ToolHeaders(id), "").status ==
            200);
      CHECK(RunsOf(fleet.endpoints[0], id) == 0);
    }
  }

  SUBCASE("unknown keys are refused, and keys are not passed to endpoints") {
    CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders("k-1", "wrong"), "")
              .status == 401);
    CHECK(RunsOfBoth(fleet, "k-1") == 0);
    HeaderList forged = ToolHeaders("k-2");
    forged.emplace_back("X-Tenant", "other");
    forged.emplace_back("X-Hold", "1");
    CHECK(fleet.Send(0, "GET", "/look/x", forged, "").status == 200);
    for (EndpointStandin& endpoint : fleet.endpoints) {
      if (RunsOf(endpoint, "k-2") > 0) {
        CHECK(HeaderOf(endpoint, "k-2", "X-Tenant") == "orchard");
        CHECK(HeaderOf(endpoint, "k-2", "Authorization").empty());
        CHECK(HeaderOf(endpoint, "k-2", "X-Hold").empty());
      }
    }
    CHECK(fleet.Send(0, "GET", "/nowhere/x", ToolHeaders("k-3"), "").status ==
          404);
  }

  SUBCASE("all instances together admit half to all of a team's burst") {
    int served = 0;
    for (size_t i = 0; i < 12; ++i) {
      const auto answer =
          fleet.Send(i % 3, "GET", "/look/x",
                     ToolHeaders("r" + std::to_string(i), "k2"), "");
      served += answer.status == 200 ? 1 : 0;
      CHECK((answer.status == 200 || !answer.retry_after.empty()));
    }
    CHECK(served >= 2);
    CHECK(served <= 4);
  }

  SUBCASE("a call that must not run twice is not retried") {
    fleet.endpoints[0].is_unresponsive = true;
    fleet.endpoints[1].is_unresponsive = true;
    CHECK(fleet.Send(0, "POST", "/pay/x", ToolHeaders("m1"), "x").status ==
          502);
    CHECK(RunsOfBoth(fleet, "m1") == 1);
  }

  SUBCASE("a call that an endpoint did not run is sent to another one") {
    fleet.endpoints[0].is_full = true;
    CHECK(fleet.Send(0, "POST", "/pay/x", ToolHeaders("f1"), "x").status ==
          200);
    CHECK(RunsOf(fleet.endpoints[1], "f1") == 1);
    fleet.endpoints[1].is_full = true;
    const auto refused =
        fleet.Send(0, "POST", "/pay/x", ToolHeaders("f2"), "x");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retry_after.empty());
    CHECK(RunsOfBoth(fleet, "f2") == 0);
  }

  SUBCASE("an answer to an earlier request is skipped") {
    fleet.endpoints[0].sends_stale_answer = true;
    fleet.endpoints[1].sends_stale_answer = true;
    CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders("s1"), "").body ==
          "done s1");
  }

  SUBCASE("a refusal of an earlier request is skipped") {
    fleet.endpoints[0].sends_stale_refusal = true;
    fleet.endpoints[1].sends_stale_refusal = true;
    CHECK(fleet.Send(0, "POST", "/pay/x", ToolHeaders("s2"), "x").status ==
          200);
    CHECK(RunsOfBoth(fleet, "s2") == 1);
  }

  // Guards against a call that is told not to have run, or runs twice, when an
  // endpoint sends an earlier refusal again on a kept connection.
  SUBCASE("a refusal without an id is skipped on a kept connection") {
    for (int i = 0; i < 40 && (fleet.endpoints[0].runs.empty() ||
                               fleet.endpoints[1].runs.empty());
         ++i) {
      fleet.Send(0, "GET", "/look/x", ToolHeaders("k" + std::to_string(i)), "");
    }
    for (EndpointStandin& endpoint : fleet.endpoints) {
      endpoint.sends_stale_refusal = true;
      endpoint.stale_refusal_has_id = false;
    }
    CHECK(fleet.Send(0, "POST", "/pay/x", ToolHeaders("s3"), "x").status ==
          200);
    CHECK(RunsOfBoth(fleet, "s3") == 1);
  }

  SUBCASE("a resumable stream continues at another endpoint") {
    fleet.endpoints[0].close_after_events = 2;
    // Six streams, so that both endpoints get some of them first.
    for (int i = 0; i < 6; ++i) {
      const std::string id = "c" + std::to_string(i);
      const auto answer = fleet.Send(0, "POST", "/stream/plain/x",
                                     TurnHeaders(id, id, "", 9999), "");
      CHECK(answer.status == 200);
      CHECK(answer.body ==
            "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
            "id: 4\ndata: e4\n\n");
    }
  }
}

TEST_CASE("retained turns and budgets survive the loss of all instances") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x", TurnHeaders("t1", "p", "", 260),
                  "in1")
            .status == 200);
  CHECK(fleet
            .Send(1, "POST", "/stream/kept/x",
                  TurnHeaders("t2", "p", "t1", 260), "in2")
            .status == 200);
  fleet.Kill(0);
  fleet.Kill(1);
  fleet.Start(0);
  fleet.Start(1);
  REQUIRE(fleet.WaitUntilServing());
  // 160 tokens are spent; a turn of 100 fits the budget of 260, a further one
  // does not.
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x",
                  TurnHeaders("t3", "p", "t2", 260), "in3")
            .status == 200);
  CHECK(BodyAtEither(fleet, "t3") ==
        std::string("in1") + kOutput + "in2" + kOutput + "in3");
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x",
                  TurnHeaders("t4", "p", "t3", 260), "in4")
            .status == 402);
}

TEST_CASE("lost store answers neither duplicate nor lose a turn") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  std::thread heal = FailStoreFor(fleet, StoreMode::kLosesAnswers,
                                  std::chrono::milliseconds(300));
  const auto first = fleet.Send(0, "POST", "/stream/kept/x",
                                TurnHeaders("l1", "p", "", 9999), "in1");
  heal.join();
  if (first.status == 200) {
    CHECK(fleet
              .Send(0, "POST", "/stream/kept/x",
                    TurnHeaders("l2", "p", "l1", 9999), "in2")
              .status == 200);
    CHECK(BodyAtEither(fleet, "l2") == std::string("in1") + kOutput + "in2");
  }
}

TEST_CASE("a turn that can't be made durable is refused") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  fleet.store.mode = StoreMode::kRefuses;
  const CallerAnswer answer = SendUntilRefused(fleet).first;
  CHECK(answer.status == 503);
  CHECK_FALSE(answer.retry_after.empty());
  // Calls that are not turns don't need the store.
  CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders("tool"), "").status == 200);
}

TEST_CASE("appends that take effect late do not duplicate a turn") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  std::thread heal =
      FailStoreFor(fleet, StoreMode::kLate, std::chrono::milliseconds(150));
  const auto first = fleet.Send(0, "POST", "/stream/kept/x",
                                TurnHeaders("l1", "p", "", 9999), "in1");
  heal.join();
  CHECK(first.status == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  fleet.Kill(0);
  fleet.Start(0);
  REQUIRE(fleet.WaitUntilServing());
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x",
                  TurnHeaders("l2", "p", "l1", 9999), "in")
            .status == 200);
  CHECK(BodyAtEither(fleet, "l2") == std::string("in1") + kOutput + "in");
}

// Another instance takes over a slot unnoticed. The previous holder must not
// answer 404 for a turn that the new holder has retained.
TEST_CASE("a replaced holder does not report a retained turn as missing") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  fleet.RunOnStandinLoop([&fleet] {
    auto& slot =
        fleet.store
            .partitions[{std::string(kSlotTopic), NodeFleet::SlotOf("p")}];
    ++slot.epoch;
    slot.next_sequence = 0;
    const TurnRecord turn{.program = {"orchard", "p"},
                          .turn = "unseen",
                          .previous = {},
                          .base = {},
                          .input = "in0",
                          .output = "out0\n",
                          .ended_at = WallNow(),
                          .expires_at = WallNow() + 60000,
                          .spent = 0};
    slot.records.push_back(EncodeSlotRecord(turn));
  });
  const auto answer = fleet.Send(0, "POST", "/stream/kept/x",
                                 TurnHeaders("u1", "p", "unseen", 9999), "in");
  CHECK(answer.status != 404);
  if (answer.status == 200) {
    CHECK(BodyAtEither(fleet, "u1") == "in0out0\nin");
  }
}

TEST_CASE("an instance that cannot reach the store uses a peer") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.store_access[0].is_shut = true;
  for (int i = 0; i < 8; ++i) {  // programs in slots of both instances
    const std::string id = "d" + std::to_string(i);
    CHECK(fleet
              .Send(0, "POST", "/stream/kept/x", TurnHeaders(id, id, "", 9999),
                    "in")
              .status == 200);
  }
  // The instance reads configuration changes through the peer, too.
  fleet.RevokeKey();
  CallerAnswer answer;
  for (int i = 0; i < 40 && answer.status != 401; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    answer = fleet.Send(0, "GET", "/look/x",
                        ToolHeaders("w" + std::to_string(i)), "");
  }
  CHECK(answer.status == 401);
}

// Guards against a fault in which all instances considered the store
// unavailable after it dropped long-poll reads, and delayed turns without need.
TEST_CASE("a dropped long-poll read does not mark the store as unavailable") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  const size_t before = fleet.Logs().size();
  fleet.store.drops_waiting_reads = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  CHECK(fleet.Logs().find("store lost", before) == std::string::npos);
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x", TurnHeaders("t", "p", "", 9999),
                  "in")
            .status == 200);
}

}  // namespace
}  // namespace celerykeel::testing
