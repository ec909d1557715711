#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>  // for std::async
#include <thread>  // for std::this_thread::sleep_for

#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders, ToolHeaders
#include "celerykeel/node/peer_link.h"       // for EncodeFrame
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kEvents[] =
    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
    "id: 4\ndata: e4\n\n";

// Sends calls of each kind to an instance, and checks that all are served.
void CheckServesAllKinds(NodeFleet& fleet, size_t instance) {
  for (int i = 0; i < 8; ++i) {
    const std::string n = std::to_string(i);
    CHECK(fleet.Send(instance, "GET", "/look/x", ToolHeaders("look" + n), "")
              .body == "done look" + n);
    CHECK(fleet.Send(instance, "POST", "/pay/x", ToolHeaders("pay" + n), "x")
              .body == "done pay" + n);
    CHECK(RunsOfBoth(fleet, "pay" + n) == 1);
    for (const char* kind : {"plain", "kept"}) {
      const std::string id = kind + n;
      const CallerAnswer answer =
          fleet.Send(instance, "POST", std::string("/stream/") + kind + "/x",
                     TurnHeaders(id, "p" + id, "", 9999), "in" + n);
      CHECK(answer.status == 200);
      CHECK(answer.body == kEvents);
      CHECK(RunsOfBoth(fleet, id) == 1);
    }
  }
}

// Guards against instances that refuse all calls while they alone have lost
// their connections to the endpoints.
TEST_CASE("an instance that is cut off from the endpoints serves its callers") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  SUBCASE("if its connections are refused") {
    fleet.CutOff(0, ConnectFault::kRefused);
  }
  SUBCASE("if its connections hang, after it has noticed that") {
    fleet.CutOff(0, ConnectFault::kSilent);
    fleet.Send(0, "POST", "/stream/plain/x", TurnHeaders("n", "n", "", 9999),
               "");
  }
  SUBCASE("if most instances are cut off") {
    fleet.CutOff(0, ConnectFault::kRefused);
    fleet.CutOff(1, ConnectFault::kRefused);
    // The second instance may be asked before it knows that it is cut off.
    fleet.Send(1, "GET", "/look/x", ToolHeaders("n"), "");
  }
  CheckServesAllKinds(fleet, 0);
  fleet.CutOff(0, ConnectFault::kNone);
  CHECK(fleet.WaitUntilReachingEndpoints(0));
  CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders("direct"), "").status ==
        200);
}

TEST_CASE("calls are refused at once if no instance reaches the endpoints") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.CutOff(0, ConnectFault::kRefused);
  fleet.CutOff(1, ConnectFault::kRefused);
  for (size_t i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallerAnswer answer =
        fleet.Send(i % 2, "GET", "/look/x", ToolHeaders(id), "");
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.retry_after.empty());
    CHECK(RunsOfBoth(fleet, id) == 0);
  }
}

// Guards against an instance that opens connections to any address.
TEST_CASE("a tunnel leads only to an endpoint") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  for (const char* endpoint : {"", "127.0.0.1:22", "unknown"}) {
    pb::NodeFrame open;
    open.mutable_tunnel_open()->set_endpoint(endpoint);
    asio::io_context loop;
    Tcp::socket socket(loop);
    ErrorCode error;
    socket.connect(fleet.PeerAddress(0), error);
    REQUIRE_FALSE(error);
    asio::write(socket, asio::buffer(EncodeFrame(open)), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    CHECK(error == asio::error::eof);
    pb::NodeFrame frame;
    REQUIRE(answer.size() > kFrameLengthBytes);
    CHECK(frame.ParseFromString(answer.substr(kFrameLengthBytes)));
    CHECK(frame.tunnel_opened().verdict() == pb::TunnelOpened::REFUSED);
  }
}

// Guards against streams that end early, or look complete, because the
// instance in between stops or dies.
TEST_CASE("a stream over another instance when that instance goes") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.CutOff(0, ConnectFault::kRefused);
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.pause_ms = 400;
  }
  auto answer = std::async(std::launch::async, [&fleet] {
    return fleet.Send(0, "POST", "/stream/plain/x",
                      TurnHeaders("s", "s", "", 9999), "");
  });
  std::this_thread::sleep_for(milliseconds(700));
  REQUIRE(RunsOfBoth(fleet, "s") == 1);
  SUBCASE("a planned stop lets it end") {
    fleet.Stop(1);
    const CallerAnswer got = answer.get();
    CHECK(got.status == 200);
    CHECK(got.body == kEvents);
  }
  SUBCASE("a kill breaks it off") {
    fleet.Kill(1);
    CHECK(answer.get().status == 0);
  }
}

// Guards against answers that look complete because the process that relays
// them was killed: without a length, their end is that of a connection.
TEST_CASE("an answer without a length over another instance that is killed") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.CutOff(0, ConnectFault::kRefused);
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.is_unframed = true;
    endpoint.pause_ms = 400;
  }
  auto turn = std::async(std::launch::async, [&fleet] {
    return fleet.Send(0, "POST", "/stream/kept/x",
                      TurnHeaders("t", "t", "", 9999), "in");
  });
  auto call = std::async(std::launch::async, [&fleet] {
    return fleet.Send(0, "POST", "/pay/x", ToolHeaders("c"), "x");
  });
  while (RunsOfBoth(fleet, "t") == 0 || RunsOfBoth(fleet, "c") == 0) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  SUBCASE("is broken off") {
    fleet.Kill(1);
    CHECK(turn.get().status != 200);
    CHECK(call.get().status != 200);
  }
  SUBCASE("is whole otherwise") {
    const CallerAnswer got = turn.get();
    CHECK(got.status == 200);
    CHECK(got.body == kEvents);
    CHECK(call.get().body == "done c");
  }
}

// Guards against builds that can't relay each other's answers: an older one
// asks for the bytes alone.
TEST_CASE("a tunnel marks its end only if the other side asks for it") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  bool marks_end = false;
  SUBCASE("an older build") {}
  SUBCASE("this build") {
    marks_end = true;
  }
  pb::NodeFrame open;
  open.mutable_tunnel_open()->set_endpoint("e0");
  open.mutable_tunnel_open()->set_connect_timeout_ms(1000);
  open.mutable_tunnel_open()->set_lifetime_ms(4000);
  open.mutable_tunnel_open()->set_marks_end(marks_end);
  asio::io_context loop;
  Tcp::socket socket(loop);
  ErrorCode error;
  socket.connect(fleet.PeerAddress(0), error);
  REQUIRE_FALSE(error);
  asio::write(socket, asio::buffer(EncodeFrame(open)), error);
  std::string frame(kFrameLengthBytes, '\0');
  asio::read(socket, asio::buffer(frame), error);
  frame.resize(static_cast<unsigned char>(frame.back()));
  asio::read(socket, asio::buffer(frame), error);
  pb::NodeFrame opened;
  CHECK(opened.ParseFromString(frame));
  CHECK(opened.tunnel_opened().verdict() == pb::TunnelOpened::OPENED);
  CHECK(opened.tunnel_opened().marks_end() == marks_end);
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.is_unframed = true;
  }
  const std::string request =
      "GET /look/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r\r\n\r\n";
  asio::write(socket, asio::buffer(request), error);
  std::string bytes;
  asio::read(socket, asio::dynamic_buffer(bytes), error);
  CHECK(error == asio::error::eof);
  CHECK(bytes.find("HTTP/1.1 200") == (marks_end ? kFrameLengthBytes : 0));
  CHECK(bytes.ends_with(marks_end ? std::string(kFrameLengthBytes, '\0')
                                  : "done r"));
}

}  // namespace
}  // namespace celerykeel::testing
