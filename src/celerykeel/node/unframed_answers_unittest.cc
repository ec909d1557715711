#include <doctest/doctest.h>

#include <future>  // for std::async
#include <thread>  // for std::this_thread::sleep_for

#include "celerykeel/node/calls_unittest.h"  // for ToolHeaders, TurnHeaders
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

// Guards against losing the end of answers that have neither a length nor
// chunks, and against taking a stream that ends inside an event for complete.
TEST_CASE("answers may end with their connection") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.is_unframed = true;
  }
  SUBCASE("of a call") {
    const CallerAnswer answer =
        fleet.Send(0, "POST", "/pay/x", ToolHeaders("c1"), "x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "done c1");
  }
  SUBCASE("of a turn, which the next one goes on from") {
    const CallerAnswer first = fleet.Send(
        0, "POST", "/stream/kept/x", TurnHeaders("t1", "p", "", 9999), "in");
    CHECK(first.status == 200);
    CHECK(first.body.ends_with("data: e4\n\n"));
    CHECK(fleet
              .Send(1, "POST", "/stream/kept/x",
                    TurnHeaders("t2", "p", "t1", 9999), "more")
              .status == 200);
    CHECK(BodyOf(fleet.endpoints[0], "t2") + BodyOf(fleet.endpoints[1], "t2") ==
          "ine1\ne2\ne3\ne4\nmore");
  }
  SUBCASE("of a turn that ends inside an event") {
    for (EndpointStandin& endpoint : fleet.endpoints) {
      endpoint.ends_inside_event = true;
    }
    const CallerAnswer broken = fleet.Send(
        0, "POST", "/stream/kept/x", TurnHeaders("b1", "p", "", 9999), "in");
    CHECK(broken.status == 0);
    CHECK(fleet
              .Send(1, "POST", "/stream/kept/x",
                    TurnHeaders("b2", "p", "b1", 9999), "more")
              .status == 404);
  }
}

// Guards against a new connection for each answer, to see whether its endpoint
// has crashed: GCC 12 evaluates a co_await on the right of a logical operator
// whatever the left is.
TEST_CASE("answers with a length cost no further connection") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    const std::string id = "c" + std::to_string(i);
    CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders(id), "").status == 200);
    CHECK(fleet
              .Send(0, "POST", "/stream/kept/x", TurnHeaders(id, id, "", 9999),
                    "in")
              .status == 200);
  }
  int accepted = 0;
  fleet.RunOnStandinLoop([&] {
    accepted = fleet.endpoints[0].sockets.accepted +
               fleet.endpoints[1].sockets.accepted;
  });
  CHECK(accepted <= kCalls / 2);
}

// Guards against taking the connections that the kernel closes for a crashed
// endpoint for the end of its answers.
TEST_CASE("an answer that ends as its endpoint crashes is not complete") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.is_unframed = true;
    endpoint.pause_ms = 300;
    endpoint.down_ms = 3000;
  }
  std::string target;
  HeaderList headers;
  SUBCASE("of a call") {
    target = "/pay/x";
    headers = ToolHeaders("r");
  }
  SUBCASE("of a turn") {
    target = "/stream/kept/x";
    headers = TurnHeaders("r", "p", "", 9999);
  }
  auto answer = std::async(std::launch::async, [&] {
    return fleet.Send(0, "POST", target, headers, "in");
  });
  while (RunsOfBoth(fleet, "r") == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(fleet.CrashEndpointOf("r") >= 0);
  CHECK(answer.get().status != 200);
  CHECK(RunsOfBoth(fleet, "r") == 1);
}

// Guards against taking a part for the complete answer: the endpoint answers a
// long upload at once, without a length, and closes the connection while the
// upload is under way.
TEST_CASE("an answer that ends before its request is not complete") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.early_answer = EarlyAnswer::kCloses;
  }
  size_t body_bytes = 0;
  SUBCASE("directly") {
    body_bytes = 3'500'000;
  }
  SUBCASE("that the kernel buffers") {
    body_bytes = 300'000;
  }
  SUBCASE("over a tunnel") {
    body_bytes = 3'500'000;
    fleet.CutOff(0, ConnectFault::kRefused);
  }
  SUBCASE("over a tunnel that buffers the request") {
    body_bytes = 300'000;
    fleet.CutOff(0, ConnectFault::kRefused);
  }
  const std::string body(body_bytes, 'b');
  CHECK(fleet.Send(0, "POST", "/pay/x", ToolHeaders("c1"), body).status == 502);
  CHECK(RunsOfBoth(fleet, "c1") == 1);
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x", TurnHeaders("t1", "p", "", 9999),
                  body)
            .status != 200);
  CHECK(fleet
            .Send(1, "POST", "/stream/kept/x",
                  TurnHeaders("t2", "p", "t1", 9999), "in")
            .status == 404);
}

// The price of the check above must not be paid by endpoints that end their
// answer early and read the rest of the request.
TEST_CASE("an endpoint may end its answer before it has read the request") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.early_answer = EarlyAnswer::kReadsOn;
  }
  SUBCASE("directly") {}
  SUBCASE("over a tunnel") {
    fleet.CutOff(0, ConnectFault::kRefused);
  }
  const std::string body(1'500'000, 'b');
  const CallerAnswer answer =
      fleet.Send(0, "POST", "/pay/x", ToolHeaders("c1"), body);
  CHECK(answer.status == 200);
  CHECK(answer.body == "first part");
}

// Guards against passing on what is no answer of the protocol.
TEST_CASE("an answer without a valid head fails") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  bool is_tunnel = false;
  SUBCASE("directly") {}
  SUBCASE("over a tunnel") {
    is_tunnel = true;
  }
  if (is_tunnel) {
    fleet.CutOff(0, ConnectFault::kRefused);
  }
  int number = 0;
  for (const std::string first_line :
       {"HTTP/1.1 000 None", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
        "HTTP/2.0 200 OK", "HTTP/1.1 200 OK cut", "HTTP/1.1 2"}) {
    CAPTURE(first_line);
    for (const std::string target : {"/pay/x", "/stream/kept/x"}) {
      const std::string id = "c" + std::to_string(++number);
      std::string answer = first_line;
      if (first_line.size() > 10) {
        answer += "\r\nX-Attempt-Id: " + id +
                  "\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n";
      }
      if (!first_line.ends_with("cut")) {
        answer += "\r\nok";
      }
      for (EndpointStandin& endpoint : fleet.endpoints) {
        SetRawAnswer(endpoint, answer);
      }
      CHECK(fleet.Send(0, "POST", target, TurnHeaders(id, id, "", 9999), "in")
                .status == 502);
    }
  }
}

}  // namespace
}  // namespace celerykeel::testing
