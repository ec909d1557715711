#include <doctest/doctest.h>

#include <chrono>   // for std::chrono::milliseconds
#include <cstdlib>  // for std::atof
#include <future>   // for std::async
#include <thread>   // for std::this_thread::sleep_for
#include <vector>   // for std::vector

#include "celerykeel/core/request_identity.h"  // for IdentityOf, HashText
#include "celerykeel/node/calls_unittest.h"    // for ToolHeaders, TurnHeaders
#include "celerykeel/testing/node_fleet.h"     // for NodeFleet

namespace celerykeel::testing {
namespace {

// The users allow the three crashes and three retries.
constexpr int kMostCrashes = 6;

int CrashesOf(NodeFleet& fleet) {
  return fleet.endpoints[0].crashes + fleet.endpoints[1].crashes;
}

void SetDeadly(NodeFleet& fleet) {
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.deadly_body = "deadly";
  }
}

// Sends a request as a caller does that retries until it is answered.
// @return the status of its last answer.
int SendUntilServed(NodeFleet& fleet,
                    const std::string& id,
                    const std::string& target) {
  constexpr int kMaxTries = 40;
  CallerAnswer answer;
  for (int i = 0; i < kMaxTries && answer.status != 200; ++i) {
    const std::string attempt = id + "-" + std::to_string(i);
    answer = fleet.Send(static_cast<size_t>(i) % 3, "POST", target,
                        TurnHeaders(attempt, id, "", 9999), "in " + id);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return answer.status;
}

// Sends the deadly request once to each of the three instances, `rounds` times.
void SendDeadly(NodeFleet& fleet, const std::string& target, int rounds) {
  static int next_id = 0;
  for (int i = 0; i < rounds * 3; ++i) {
    const std::string id = "d" + std::to_string(next_id++);
    fleet.Send(static_cast<size_t>(i) % 3, "POST", target,
               TurnHeaders(id, id, "", 9999), "deadly");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

// Sends the deadly request until an instance refuses it for minutes.
bool SendUntilKnown(NodeFleet& fleet) {
  constexpr int kMaxTries = 200;
  for (int i = 0; i < kMaxTries; ++i) {
    const CallerAnswer answer =
        fleet.Send(static_cast<size_t>(i) % 3, "POST", "/look/x",
                   ToolHeaders("k" + std::to_string(i)), "deadly");
    if (answer.status == 503 && std::atof(answer.retry_after.c_str()) > 60) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

// Guards against a request that crashes each endpoint that runs it and comes
// again at any instance until no endpoint is left.
TEST_CASE("a deadly request crashes few endpoints, sound ones are served") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  SetDeadly(fleet);
  std::string target;
  SUBCASE("as a turn") {
    target = "/stream/kept/x";
  }
  SUBCASE("as a stream that may be resumed") {
    target = "/stream/plain/x";
  }
  SUBCASE("as a call that may be repeated") {
    target = "/look/x";
  }
  SUBCASE("as a call that runs at most once") {
    target = "/pay/x";
  }
  CAPTURE(target);
  constexpr int kSoundCallers = 6;
  std::vector<std::future<int>> sound;
  sound.reserve(kSoundCallers);
  for (int i = 0; i < kSoundCallers; ++i) {
    sound.push_back(std::async(std::launch::async, [&fleet, i] {
      const std::string id = "s" + std::to_string(i);
      return SendUntilServed(fleet, id,
                             i % 2 == 0 ? "/stream/kept/x" : "/stream/plain/x");
    }));
  }
  SendDeadly(fleet, target, 8);
  for (std::future<int>& answer : sound) {
    CHECK(answer.get() == 200);
  }
  CHECK(CrashesOf(fleet) <= kMostCrashes);
  CHECK(CrashesOf(fleet) > 0);
  CHECK(SendUntilServed(fleet, "last", "/stream/kept/x") == 200);
}

// Guards against sound requests that clear a deadly one, as they begin with the
// same bytes and come all the time, and against refusing them in its place.
TEST_CASE("sound requests that begin like a deadly one are told from it") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  SetDeadly(fleet);
  const std::string shared(1000, 's');
  std::string target;
  SUBCASE("as a turn") {
    target = "/stream/plain/x";
  }
  SUBCASE("as a call that may be repeated") {
    target = "/look/x";
  }
  CAPTURE(target);
  constexpr int kCopies = 30;
  int served = 0;
  for (int i = 0; i < kCopies; ++i) {
    const std::string n = std::to_string(i);
    for (const char* sibling : {"a", "b"}) {
      const std::string id = sibling + n;
      const auto answer =
          fleet.Send(static_cast<size_t>(i) % 3, "POST", target,
                     TurnHeaders(id, id, "", 9999), shared + id);
      served += answer.status == 200 ? 1 : 0;
    }
    fleet.Send(static_cast<size_t>(i) % 3, "POST", target,
               TurnHeaders("d" + n, "d" + n, "", 9999), shared + "deadly");
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
  }
  CHECK(CrashesOf(fleet) <= kMostCrashes);
  CHECK(CrashesOf(fleet) > 0);
  // At each crash one of two endpoints is down for a while.
  CHECK(served >= 2 * kCopies - 2 * kMostCrashes);
}

// Guards against a request that silences each endpoint that runs it: its calls
// end by their deadline, and no connection is closed.
TEST_CASE("a request that silences endpoints runs a few times only") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  SetDeadly(fleet);
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.is_silent_when_down = true;
  }
  const std::string target = "/pay/x";
  constexpr int kCopies = 16;
  for (int i = 0; i < kCopies; ++i) {
    fleet.Send(static_cast<size_t>(i) % 3, "POST", target,
               ToolHeaders("d" + std::to_string(i)), "deadly");
    CHECK(SendUntilServed(fleet, "s" + std::to_string(i), target) == 200);
  }
  CHECK(CrashesOf(fleet) <= kMostCrashes);
  CHECK(CrashesOf(fleet) > 0);
}

// Guards against refusing equal sound calls because endpoints fell silent under
// them, for reasons of their own.
TEST_CASE(
    "sound calls are served though endpoints fall silent again and again") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.is_silent_when_down = true;
    endpoint.pause_ms = 50;
  }
  constexpr int kRounds = 8;
  for (int i = 0; i < kRounds; ++i) {
    const std::string id = "s" + std::to_string(i);
    auto answer = std::async(std::launch::async, [&fleet, id] {
      return SendUntilServed(fleet, id, "/look/x");
    });
    fleet.RunOnStandinLoop([&] { Crash(fleet.endpoints[i % 2]); });
    CHECK(answer.get() == 200);
    for (size_t at = 0; at < 3; ++at) {
      CHECK(fleet
                .Send(at, "POST", "/look/x",
                      ToolHeaders("l" + id + std::to_string(at)), "in s")
                .status == 200);
    }
  }
}

// Guards against copies of a request that crash several endpoints at once,
// after the first crash and before the request is known.
TEST_CASE("copies of a request that crashed an endpoint run one at a time") {
  constexpr int kMaxTries = 50;
  constexpr int kLongPause = 250;  // ms between the events of a stream
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  // It crashes only one of the endpoints, and the other one completes it.
  fleet.endpoints[0].deadly_body = "copy";
  fleet.endpoints[0].down_ms = 60'000;
  for (int i = 0; i < kMaxTries && fleet.endpoints[0].crashes == 0; ++i) {
    const std::string id = "c" + std::to_string(i);
    fleet.Send(static_cast<size_t>(i) % 2, "POST", "/stream/kept/x",
               TurnHeaders(id, id, "", 9999), "copy");
  }
  REQUIRE(fleet.endpoints[0].crashes == 1);
  // The request's home, so that no message to it can be late.
  const std::string copies_hash =
      HashText(IdentityOf("orchard", "POST", "/stream/kept/x", "copy"));
  const size_t home = fleet.Holds(0, copies_hash) ? 0 : 1;
  fleet.endpoints[1].pause_ms = kLongPause;
  fleet.endpoints[1].most_streams = 0;
  std::vector<std::future<int>> copies;
  for (size_t i = 0; i < 2; ++i) {
    copies.push_back(std::async(std::launch::async, [&fleet, home, i] {
      const std::string id = "copy-" + std::to_string(i);
      return fleet
          .Send(home, "POST", "/stream/kept/x", TurnHeaders(id, id, "", 9999),
                "copy")
          .status;
    }));
  }
  for (std::future<int>& answer : copies) {
    CHECK(answer.get() == 200);
  }
  CHECK(fleet.endpoints[1].most_streams == 1);
}

// Guards against instances that forget a deadly request while the store is
// unavailable, or with the loss of all of them.
TEST_CASE("a deadly request stays known after the loss of all instances") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  SetDeadly(fleet);
  REQUIRE(SendUntilKnown(fleet));
  const int crashes = CrashesOf(fleet);
  CHECK(crashes <= kMostCrashes);
  REQUIRE(fleet.WaitUntilDeadlyStored());
  fleet.store.mode = StoreMode::kRefuses;
  SendDeadly(fleet, "/look/x", 2);
  CHECK(CrashesOf(fleet) == crashes);
  fleet.store.mode = StoreMode::kServes;
  for (size_t i = 0; i < 3; ++i) {
    fleet.Kill(i);
  }
  for (size_t i = 0; i < 3; ++i) {
    fleet.Start(i);
  }
  REQUIRE(fleet.WaitUntilServing());
  SendDeadly(fleet, "/look/x", 4);
  CHECK(CrashesOf(fleet) == crashes);
  CHECK(SendUntilServed(fleet, "sound", "/stream/plain/x") == 200);
}

// Guards against refusing requests whose connections were reset by endpoints
// that did not crash.
TEST_CASE("a reset connection makes no request a suspect") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.close_after_events = 1;
  }
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallerAnswer answer =
        fleet.Send(static_cast<size_t>(i) % 3, "POST", "/stream/kept/x",
                   TurnHeaders(id, "p" + id, "", 9999), "in");
    CHECK(answer.status == 0);
  }
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.close_after_events = -1;
  }
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x",
                  TurnHeaders("last", "p", "", 9999), "in")
            .status == 200);
  CHECK(fleet.Logs().find("request suspected") == std::string::npos);
  CHECK(fleet.Logs().find("endpoint crashed") == std::string::npos);
}

}  // namespace
}  // namespace celerykeel::testing
