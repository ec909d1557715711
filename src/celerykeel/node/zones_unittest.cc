#include <doctest/doctest.h>

#include <chrono>  // for std::chrono::milliseconds
#include <thread>  // for std::thread

#include "celerykeel/node/calls_unittest.h"  // for ToolHeaders, TurnHeaders
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

// Sends idempotent calls over all instances; each must be answered.
// @return the number that ran at the endpoint.
int CallsAt(NodeFleet& fleet,
            int instances,
            EndpointStandin& endpoint,
            const std::string& prefix) {
  int runs = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = prefix + std::to_string(i);
    const CallerAnswer answer =
        fleet.Send(static_cast<size_t>(i % instances), "GET", "/look/x",
                   ToolHeaders(id), "");
    CHECK(answer.status == 200);
    runs += RunsOf(endpoint, id);
  }
  return runs;
}

// Guards against calls to endpoints of an evacuated zone, against streams that
// are cut by the evacuation, and against a zone that stays without calls.
TEST_CASE("an evacuated zone gets no further calls until it is revoked") {
  NodeFleet fleet(3, {"v1", "v1"}, {"za", "zb"});
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.events = 40;
    endpoint.pause_ms = 30;
  }
  std::vector<CallerAnswer> answers(12);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&fleet, &answers, i] {
      const std::string id = "s" + std::to_string(i);
      answers[i] = fleet.Send(i % 3, "POST", "/stream/plain/x",
                              TurnHeaders(id, id, "", 9999), "in");
    });
  }
  while (fleet.endpoints[0].streams + fleet.endpoints[1].streams < 12) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(fleet.Evacuate("za", true));
  CHECK(CallsAt(fleet, 3, fleet.endpoints[0], "e") == 0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const CallerAnswer& answer : answers) {
    CHECK(answer.status == 200);
    CHECK(answer.body.find("data: e40") != std::string::npos);
  }
  CHECK(fleet.MetricsOf(0).find("celerykeel_level{of=\"zones_evacuated\"} 1") !=
        std::string::npos);
  CHECK(fleet.Evacuate("za", false));
  CHECK(CallsAt(fleet, 3, fleet.endpoints[0], "r") > 0);
}

// Guards against calls that waited for the rate limit of an endpoint, and are
// sent to it after its zone has been evacuated.
TEST_CASE("a call that waits is not sent to a zone evacuated meanwhile") {
  NodeFleet fleet(1, {"v1", "v1"}, {"za", "zb"});
  REQUIRE(fleet.WaitUntilServing());
  EndpointStandin& limited = fleet.endpoints[0];
  limited.rate_limit = 20;
  fleet.endpoints[1].is_full = true;
  fleet.Send(0, "GET", "/look/x", ToolHeaders("first"), "");
  REQUIRE(fleet.WaitUntilLimited(0));
  std::vector<std::thread> callers(10);
  for (size_t i = 0; i < callers.size(); ++i) {
    callers[i] = std::thread([&fleet, i] {
      fleet.Send(0, "GET", "/look/x", ToolHeaders("w" + std::to_string(i)), "");
    });
  }
  CHECK(fleet.Evacuate("za", true));
  const auto arrivals = [&limited] {
    const std::lock_guard lock(limited.mutex);
    return limited.arrivals.size();
  };
  // Requests that were sent before may be on their way.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const size_t before = arrivals();
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(arrivals() == before);
}

// Guards against callers that wait for an endpoint while there can be none, or
// that are told nothing about a retry.
TEST_CASE("a call to a service that is all evacuated is refused at once") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  REQUIRE(fleet.Evacuate("z", true));
  const CallerAnswer call =
      fleet.Send(0, "GET", "/look/x", ToolHeaders("c"), "");
  const CallerAnswer turn = fleet.Send(1, "POST", "/stream/kept/x",
                                       TurnHeaders("t", "p", "", 9999), "in");
  for (const CallerAnswer& answer : {call, turn}) {
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.retry_after.empty());
  }
  CHECK(RunsOfBoth(fleet, "c") + RunsOfBoth(fleet, "t") == 0);
}

// Guards against instances that serve an evacuated zone as they can't read the
// store, or hide it behind a configuration that can't be read.
TEST_CASE("instances that can't read the evacuation learn it from peers") {
  NodeFleet fleet(3, {"v1", "v1"}, {"za", "zb"});
  REQUIRE(fleet.WaitUntilServing());
  SUBCASE("as the store refuses them") {
    fleet.store_access[1].is_shut = true;
    fleet.store_access[2].is_shut = true;
  }
  SUBCASE("beside a configuration that can't be read") {
    fleet.RunOnStandinLoop(
        [&] { PutKeyed(fleet.store, "keyed.op", "config", "{"); });
  }
  CHECK(fleet.Evacuate("za", true));
  CHECK(CallsAt(fleet, 3, fleet.endpoints[0], "e") == 0);
  CHECK(fleet.Evacuate("za", false));
}

// Guards against instances that send calls to an evacuated zone before they
// have read what is in force.
TEST_CASE("an evacuation outlasts the loss of all instances") {
  NodeFleet fleet(2, {"v1", "v1"}, {"za", "zb"});
  REQUIRE(fleet.WaitUntilServing());
  REQUIRE(fleet.Evacuate("za", true));
  for (size_t i = 0; i < 2; ++i) {
    fleet.Kill(i);
  }
  fleet.RunOnStandinLoop([&] { Compact(fleet.store, "keyed.op"); });
  for (size_t i = 0; i < 2; ++i) {
    fleet.Start(i);
  }
  for (int i = 0; i < 200; ++i) {
    fleet.Send(static_cast<size_t>(i % 2), "GET", "/look/x",
               ToolHeaders("e" + std::to_string(i)), "");
  }
  REQUIRE(fleet.WaitUntilServing());
  CHECK(CallsAt(fleet, 2, fleet.endpoints[0], "f") == 0);
  const std::lock_guard lock(fleet.endpoints[0].mutex);
  for (const auto& [id, runs] : fleet.endpoints[0].runs) {
    CAPTURE(id);
    CHECK(runs == 0);
  }
}

// Guards against more calls than a cold endpoint can take, from all instances
// together, also while its peer is full.
TEST_CASE("all instances together keep to the rate of a cold endpoint") {
  constexpr double kRate = 4;
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  fleet.PublishWith(8, R"("health_path")", R"("cold_per_s":4,)");
  REQUIRE(fleet.WaitUntilInForce(8));
  REQUIRE(fleet.MakeCold(0, std::chrono::seconds(60)));
  CHECK(CallsAt(fleet, 3, fleet.endpoints[0], "w") == 0);
  fleet.endpoints[1].is_full = true;
  size_t before = 0;
  {
    const std::lock_guard lock(fleet.endpoints[0].mutex);
    before = fleet.endpoints[0].arrivals.size();
  }
  int answered = 0;
  for (int i = 0; i < 150; ++i) {
    const CallerAnswer answer =
        fleet.Send(static_cast<size_t>(i % 3), "GET", "/look/x",
                   ToolHeaders("c" + std::to_string(i)), "");
    answered += answer.status == 200 ? 1 : 0;
    CHECK((answer.status == 200 || answer.status == 503));
  }
  CHECK(answered > 0);
  CHECK(MostArrivals(fleet.endpoints[0], before, std::chrono::seconds(1)) <=
        int(1.5 * kRate) + 5);
  CHECK(fleet.MetricsOf(0).find("celerykeel_cold_waits_total") !=
        std::string::npos);
}

// Guards against calls that leave the regions of their route, and against a
// version that leaves a route without any region.
TEST_CASE("a restricted route is served in its regions only") {
  NodeFleet fleet(2, {"v1", "v1"}, {"za", "zb"});
  REQUIRE(fleet.WaitUntilServing());
  const std::string mark = R"("name":"look")";
  fleet.PublishWith(8, mark, R"("allowed_regions":["south","east"],)");
  REQUIRE(fleet.WaitUntilInForce(8));
  CHECK(CallsAt(fleet, 2, fleet.endpoints[0], "s") == 0);
  const std::string text = R"("allowed_regions":)";
  fleet.PublishWith(9, mark, text + R"(["east"],)");
  CHECK(CallsAt(fleet, 2, fleet.endpoints[0], "e") == 0);
  fleet.PublishWith(9, mark, text + R"("south",)");
  CHECK(CallsAt(fleet, 2, fleet.endpoints[0], "t") == 0);
  fleet.PublishWith(10, mark, R"("allowed_regions":["north"],)");
  REQUIRE(fleet.WaitUntilInForce(10));
  CHECK(CallsAt(fleet, 2, fleet.endpoints[1], "n") == 0);
  const std::string logs = fleet.Logs();
  CHECK(logs.find("configuration rejected") != std::string::npos);
  CHECK(logs.find("configuration unreadable") != std::string::npos);
}

// Guards against a refusal for other weights that counts as an answer, or as a
// call that may have run.
TEST_CASE("a call refused for its weights goes on at another endpoint") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  fleet.endpoints[0].has_other_weights = true;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "w" + std::to_string(i);
    HeaderList headers = ToolHeaders(id);
    headers.emplace_back("X-Expect-Version", "w1");
    CHECK(fleet.Send(0, "POST", "/pay/x", headers, "in").status == 200);
    CHECK(RunsOf(fleet.endpoints[1], id) == 1);
    CHECK(HeaderOf(fleet.endpoints[1], id, "X-Expect-Version").empty());
  }
}

}  // namespace
}  // namespace celerykeel::testing
