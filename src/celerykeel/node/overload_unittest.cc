#include <doctest/doctest.h>

#include <atomic>  // for std::atomic
#include <thread>  // for std::thread
#include <vector>  // for std::vector

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders, ToolHeaders

namespace celerykeel {
namespace {

using testing::CallerAnswer;
using testing::NodeFleet;
using testing::ToolHeaders;
using testing::TurnHeaders;

// The team of this key has a burst of ten calls and almost no rate.
constexpr char kTightKey[] = "k3";

CallerAnswer SendTurn(NodeFleet& fleet,
                      size_t index,
                      const std::string& id,
                      const std::string& program) {
  HeaderList headers = TurnHeaders(id, program, "", 9999);
  headers[1].second = std::string("Bearer ") + kTightKey;
  return fleet.Send(index, "POST", "/stream/plain/x", headers, "in");
}

CallerAnswer SendLook(NodeFleet& fleet, size_t index, const std::string& id) {
  return fleet.Send(index, "GET", "/look/x", ToolHeaders(id, kTightKey), "");
}

// Guards against a program whose next call arrives at an instance that has not
// served it, is taken for a new program, and is refused although the team has
// tokens.
TEST_CASE("a program in progress is not a new one at another instance") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  REQUIRE(SendTurn(fleet, 0, "t1", "p").status == 200);
  REQUIRE(SendTurn(fleet, 0, "t2", "q").status == 200);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(SendLook(fleet, 1, "l" + std::to_string(i)).status == 200);
  }
  // The answer to this one tells the instance that the team is short of tokens.
  SendTurn(fleet, 1, "t3", "r");
  CHECK(SendTurn(fleet, 1, "t4", "p").status == 200);
}

// Guards against callers that are told to return when there is no token for
// them.
TEST_CASE("a caller over the rate is told when a token accrues") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  CallerAnswer answer;
  for (int i = 0; i < 12 && answer.status != 429; ++i) {
    answer = SendLook(fleet, 0, "l" + std::to_string(i));
  }
  REQUIRE(answer.status == 429);
  CHECK(std::stod(answer.retry_after) >= 10);
}

// Guards against new programs that take the slots of those in progress.
TEST_CASE("a full service refuses a new program and says when to return") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.SetEndpointSlots(1);
  fleet.endpoints[0].pause_ms = 600;
  fleet.endpoints[1].pause_ms = 600;
  // A home refuses nothing until it has heard of all programs in progress.
  std::atomic<bool> is_refused = false;
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&fleet, &is_refused, caller] {
      for (int i = 0; i < 8 && !is_refused; ++i) {
        const std::string id = fmt::format("f{}-{}", caller, i);
        const CallerAnswer answer =
            fleet.Send(caller % 2, "POST", "/stream/plain/x",
                       TurnHeaders(id, id, "", 9999, 4000), "in");
        if (answer.status == 503 && !answer.retry_after.empty() &&
            answer.body.find("the service is full") != std::string::npos) {
          is_refused = true;
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(is_refused);
  const std::string metrics = fleet.MetricsOf(0) + fleet.MetricsOf(1);
  CHECK(metrics.find("held back by the service") != std::string::npos);
  CHECK(fleet.Logs().find("programs held back") != std::string::npos);
}

}  // namespace
}  // namespace celerykeel
