#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>  // for std::async

#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders

namespace celerykeel::testing {
namespace {

using std::chrono::milliseconds;

// Returns the instance that holds the program's slot: the one that claimed it
// first.
size_t HolderOf(NodeFleet& fleet, const std::string& program) {
  return fleet.Holds(0, program) ? 0 : 1;
}

TEST_CASE("a slow stream completes, and one without events times out") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  SUBCASE("long pauses between events") {
    for (EndpointStandin& endpoint : fleet.endpoints) {
      endpoint.pause_ms = 600;
    }
    const auto answer = fleet.Send(0, "POST", "/stream/kept/x",
                                   TurnHeaders("slow", "p", "", 9999), "in");
    CHECK(answer.status == 200);
    CHECK(answer.body.find("data: e4") != std::string::npos);
    CHECK(RunsOfBoth(fleet, "slow") == 1);
  }
  SUBCASE("a trickle of bytes without an event") {
    for (EndpointStandin& endpoint : fleet.endpoints) {
      endpoint.streams_only_comments = true;
    }
    // The caller's deadline of 800 ms must end the turn; the test client waits
    // for up to 8 s.
    const auto answer =
        fleet.Send(0, "POST", "/stream/kept/x",
                   TurnHeaders("idle", "p", "", 9999, 800), "in");
    CHECK(answer.status == 504);
    CHECK(RunsOfBoth(fleet, "idle") == 1);
  }
}

// Guards against an error of the next endpoint in the middle of a stream, or as
// its complete end.
TEST_CASE("a stream broke off, and the next endpoint answers with an error") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.close_after_events = 2;
    endpoint.fails_resumed = true;
  }
  asio::io_context loop;
  Tcp::socket socket(loop);
  ErrorCode error;
  socket.connect(fleet.CallersAddress(0), error);
  const std::string request =
      "POST /stream/plain/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: s\r\n"
      "Authorization: Bearer k1\r\nX-Deadline-Ms: 3000\r\n"
      "Content-Length: 2\r\n\r\nin";
  asio::write(socket, asio::buffer(request), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  CHECK(RunsOfBoth(fleet, "s") == 2);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("data: e2") != std::string::npos);
  CHECK(answer.find("out of memory") == std::string::npos);
  CHECK(answer.find("500") == std::string::npos);
  CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a turn completes while the holder of its slot is unresponsive") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  const std::string program = "p";
  const size_t holder = HolderOf(fleet, program);
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.pause_ms = 500;
  }
  auto answer = std::async(std::launch::async, [&] {
    return fleet.Send(1 - holder, "POST", "/stream/kept/x",
                      TurnHeaders("t1", program, "", 9999), "in");
  });
  std::this_thread::sleep_for(milliseconds(300));
  fleet.Freeze(holder, milliseconds(1700));
  const auto got = answer.get();
  CHECK(got.status == 200);
  CHECK(got.body.find("data: e4") != std::string::npos);
  CHECK(RunsOfBoth(fleet, "t1") == 1);
}

TEST_CASE(
    "a holder that was paused and replaced does not overspend the budget") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  const std::string program = "p";
  const size_t holder = HolderOf(fleet, program);
  // Each turn spends 80 tokens and may spend 100.
  const auto send = [&](size_t index, const std::string& id) {
    return fleet
        .Send(index, "POST", "/stream/plain/x",
              TurnHeaders(id, program, "", 400), "")
        .status;
  };
  CHECK(send(holder, "t1") == 200);
  fleet.Freeze(holder, milliseconds(2500));
  std::this_thread::sleep_for(milliseconds(1600));
  CHECK(send(1 - holder, "t2") == 200);  // by the new holder
  std::this_thread::sleep_for(milliseconds(900));
  int served = 2;
  for (int i = 0; i < 8; ++i) {
    served += send(static_cast<size_t>(i % 2), "u" + std::to_string(i)) == 200;
  }
  CHECK(served * 80 <= 400 + 100);
}

TEST_CASE("invalid messages end their connection but not the process") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  const std::string garbage[] = {
      std::string("\xff\xff\xff\xff whatever"),      // too long a frame
      std::string("\0\0\0\x04\xff\xff\xff\xff", 8),  // an undecodable frame
      std::string("\0\0\0\x02\x78\x01", 6),          // an unknown kind
      std::string("\0\0\0\0", 4),                    // an empty frame
      "GET / HTTP/1.1\r\n\r\n",
      "POST /pay/x HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
      "POST /pay/x HTTP/1.1\r\nTransfer-Encoding: gzip, what\r\n\r\n",
      "GET /look/x HTTP/9.9\r\nX-Deadline-Ms: -1\r\n\r\n",
      std::string(100'000, 'a')};
  for (const Tcp::endpoint& address :
       {fleet.PeerAddress(0), fleet.CallersAddress(0)}) {
    for (const std::string& bytes : garbage) {
      asio::io_context loop;
      Tcp::socket socket(loop);
      ErrorCode error;
      socket.connect(address, error);
      CHECK_FALSE(error);
      asio::write(socket, asio::buffer(bytes), error);
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  CHECK(fleet
            .Send(0, "POST", "/stream/kept/x", TurnHeaders("t", "p", "", 9999),
                  "in")
            .status == 200);
}

}  // namespace
}  // namespace celerykeel::testing
