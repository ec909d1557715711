#include <doctest/doctest.h>

#include <chrono>  // for std::chrono::seconds
#include <thread>  // for std::this_thread::sleep_for

#include "celerykeel/node/calls_unittest.h"  // for ToolHeaders, TurnHeaders
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

constexpr double kLimit = 5;  // calls per second
constexpr std::chrono::seconds kWindow(4);
// The users allow one and a half times the limit and five more.
constexpr int kMostInWindow = static_cast<int>(1.5 * kLimit * 4) + 5;

size_t ArrivalsAt(EndpointStandin& endpoint) {
  const std::lock_guard lock(endpoint.mutex);
  return endpoint.arrivals.size();
}

// Sends calls until the instance has relayed an answer of the endpoint.
void CallFromInstance(NodeFleet& fleet,
                      size_t instance,
                      EndpointStandin& endpoint,
                      const std::string& prefix) {
  int runs = 0;
  for (int i = 0; i < 2000 && runs == 0; ++i) {
    const std::string id =
        prefix + std::to_string(instance) + "-" + std::to_string(i);
    fleet.Send(instance, "GET", "/look/x", ToolHeaders(id), "");
    runs = RunsOf(endpoint, id);
    // Keeps the calls below the rate of their team.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  REQUIRE(runs == 1);
}

// Guards against instances that forward an endpoint's rate limit to callers and
// go on sending as before, or that each use the complete limit.
TEST_CASE("all instances together keep to the rate limit of an endpoint") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  EndpointStandin& limited = fleet.endpoints[0];
  limited.rate_limit = kLimit;
  for (size_t instance = 0; instance < 3; ++instance) {
    CallFromInstance(fleet, instance, limited, "w");
  }
  const size_t told = ArrivalsAt(limited);
  for (int i = 0; i < 150; ++i) {
    const std::string id = "c" + std::to_string(i);
    const CallerAnswer answer =
        i % 2 == 0 ? fleet.Send(i % 3, "GET", "/look/x", ToolHeaders(id), "")
                   : fleet.Send(i % 3, "POST", "/stream/plain/x",
                                TurnHeaders(id, id, "", 9999), "in");
    CHECK(answer.status == 200);
  }
  CHECK(MostArrivals(limited, told, kWindow) <= kMostInWindow);
  CHECK(ArrivalsAt(limited) > told);
}

// Guards against instances that never learn what an endpoint announced while
// they were not connected to the instance that relayed the answer.
TEST_CASE("an instance that joins learns what endpoints announced before") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  fleet.Kill(2);
  EndpointStandin& endpoint = fleet.endpoints[0];
  SUBCASE("that they are leaving") {
    endpoint.announces_leaving = true;
    CallFromInstance(fleet, 0, endpoint, "d");
    fleet.Start(2);
    CHECK(fleet.WaitUntilDeparted(0));
  }
  SUBCASE("their rate limits") {
    endpoint.rate_limit = kLimit;
    CallFromInstance(fleet, 0, endpoint, "d");
    fleet.Start(2);
    CHECK(fleet.WaitUntilLimited(0));
  }
}

}  // namespace
}  // namespace celerykeel::testing
