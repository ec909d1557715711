#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include "celerykeel/core/event_stream.h"    // for AddBytes
#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders
#include "celerykeel/node/out_connection.h"  // for SendRequest
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet

namespace celerykeel::testing {
namespace {

// Beast's fields take 65,533 bytes.
constexpr size_t kTooLong = 65'540;

constexpr char kEvents[] =
    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
    "id: 4\ndata: e4\n\n";

// Returns the data of the events of a stream.
std::string PiecesOf(const std::string& body) {
  std::string pieces;
  EventSplitter splitter;
  for (const StreamEvent& event : AddBytes(splitter, body)) {
    pieces += event.data + ' ';
  }
  return pieces;
}

// Sends a stream's request and returns the events that arrive, also of a stream
// that is broken off.
std::string ReceivedOf(NodeFleet& fleet, const HeaderList& headers) {
  asio::io_context loop;
  Tcp::socket socket(loop);
  socket.connect(fleet.CallersAddress(0));
  std::string request =
      "POST /stream/plain/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
      "Connection: close\r\n";
  for (const auto& [name, value] : headers) {
    request.append(name).append(": ").append(value).append("\r\n");
  }
  asio::write(socket, asio::buffer(request + "\r\n"));
  std::string answer;
  ErrorCode end;
  asio::read(socket, asio::dynamic_buffer(answer), end);
  std::string events;
  for (size_t at = answer.find("id: "); at != std::string::npos;
       at = answer.find("id: ", at)) {
    const size_t after = answer.find("\n\n", at) + 2;
    events += answer.substr(at, after - at);
    at = after;
  }
  return events;
}

// Guards against an endpoint that ends the process: the instance resumed a
// broken stream after an event whose id no header can hold, or that the next
// endpoint takes for no id.
TEST_CASE("an unreadable event id costs its caller nothing") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  const std::string ids[] = {std::string(70'000, '\xf3'),
                             std::string(60'000, '7'),
                             "2\x01",
                             "2 X-Hold: 1",
                             "-1",
                             "99999999999999999999"};
  int calls = 0;
  for (const std::string& id : ids) {
    SetSpoiled(fleet.endpoints[0], {.number = 2, .id_line = "id: " + id});
    for (int i = 0; i < 4; ++i) {
      const std::string name = "c" + std::to_string(++calls);
      const auto answer = fleet.Send(0, "POST", "/stream/plain/x",
                                     TurnHeaders(name, name, "", 9999), "");
      CHECK(answer.status == 200);
      CHECK(answer.body == kEvents);
    }
  }
}

// Guards against pieces that come twice or are missing in a complete answer: an
// endpoint spoils one byte of an id and breaks the stream off, or goes on.
TEST_CASE("a spoiled event id does not decide where a stream goes on") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  bool is_relayed = false;
  SUBCASE("directly") {}
  SUBCASE("over a tunnel") {
    is_relayed = true;
    fleet.CutOff(0, ConnectFault::kRefused);
  }
  CAPTURE(is_relayed);
  int calls = 0;
  for (const int number : {1, 2, 4}) {
    for (const char* line : {"id: 0", "id: 92", "id: 3", "id:", "ie: 2", ""}) {
      for (const bool goes_on : {false, true}) {
        CAPTURE(number);
        CAPTURE(line);
        CAPTURE(goes_on);
        SetSpoiled(fleet.endpoints[0],
                   {.number = number, .id_line = line, .goes_on = goes_on});
        for (int i = 0; i < 3; ++i) {
          const std::string name = "c" + std::to_string(++calls);
          const auto answer = fleet.Send(0, "POST", "/stream/plain/x",
                                         TurnHeaders(name, name, "", 9999), "");
          CHECK(answer.status == 200);
          CHECK(PiecesOf(answer.body) == "e1 e2 e3 e4 ");
        }
      }
    }
  }
}

// Guards against a caller that takes a stream up after a spoiled id: it was
// relayed to the caller as the last event before both endpoints broke off.
TEST_CASE("a caller never gets an id after which the stream can't go on") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    SetSpoiled(endpoint, {.number = 3, .id_line = "id: 92"});
  }
  CHECK(ReceivedOf(fleet, TurnHeaders("a", "a", "", 9999)) ==
        "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
  for (EndpointStandin& endpoint : fleet.endpoints) {
    SetSpoiled(endpoint, {.number = 3, .id_line = "id: 1"});
  }
  HeaderList take_up = TurnHeaders("b", "a", "", 9999);
  take_up.emplace_back("Last-Event-Id", "2");
  take_up.emplace_back("Resumes", "a");
  CHECK(ReceivedOf(fleet, take_up).empty());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    SetSpoiled(endpoint, {});
  }
  take_up[0].second = "c";
  CHECK(ReceivedOf(fleet, take_up) == "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n");
}

// Guards against a caller that ends the process before its key is checked, with
// a value that the configured limit allows.
TEST_CASE("a header value that no message can hold is refused") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  fleet.PublishWith(8, R"("services")",
                    R"("limits":{"max_header_bytes":131072},)");
  REQUIRE(fleet.WaitUntilInForce(8));
  const auto status_of = [&fleet](const std::string& line) {
    asio::io_context loop;
    Tcp::socket socket(loop);
    socket.connect(fleet.CallersAddress(0));
    const std::string request =
        "GET /no-route HTTP/1.1\r\nHost: h\r\n" + line +
        "\r\nX-Attempt-Id: long\r\nAuthorization: Bearer k1\r\n\r\n";
    ErrorCode ignored;  // the instance may answer before it has read all
    asio::write(socket, asio::buffer(request), ignored);
    std::string answer(12, '\0');
    asio::read(socket, asio::buffer(answer), ignored);
    return answer;
  };
  CHECK(status_of("X-Long: " + std::string(kTooLong, 'x')) == "HTTP/1.1 431");
  CHECK(status_of(std::string(kTooLong, 'X') + ": 1") == "HTTP/1.1 431");
  CHECK(status_of("X-Long: " + std::string(60'000, 'x')) == "HTTP/1.1 404");
  CHECK(fleet.Send(0, "GET", "/look/x", ToolHeaders("after"), "").status ==
        200);
}

TEST_CASE("a request with a header that no message can hold is not sent") {
  asio::io_context loop;
  OutConnection connection(loop);
  OutRequest request{.method = "GET",
                     .target = "/",
                     .host = "h",
                     .headers = {{"X-Long", std::string(kTooLong, 'x')}},
                     .body = ""};
  std::optional<ExchangeError> error;
  asio::co_spawn(
      loop,
      [&]() -> Task<> {
        error = co_await SendRequest(connection, request,
                                     std::chrono::milliseconds(100));
      },
      asio::detached);
  loop.run();
  CHECK(error == ExchangeError::kUnsendable);
}

// Guards against an exception in one call that ends all calls of the instance.
TEST_CASE("an unexpected exception costs one call") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.CutOff(0, ConnectFault::kThrows);
  for (const std::string target :
       {"/look/x", "/pay/x", "/stream/plain/x", "/stream/kept/x"}) {
    CHECK(fleet.Send(0, "POST", target, TurnHeaders(target, "p", "", 100), "")
              .status == 0);
  }
  CHECK(
      fleet.MetricsOf(0).find("celerykeel_exceptions_total{in=\"caller\"} 4") !=
      std::string::npos);
  fleet.CutOff(0, ConnectFault::kNone);
  CHECK(fleet.MetricsOf(0).find("of=\"calls_under_way\"} 0") !=
        std::string::npos);
  // The holder has learned that the turns used nothing of the budget.
  for (const std::string id : {"a", "b"}) {
    CHECK(fleet
              .Send(0, "POST", "/stream/plain/x", TurnHeaders(id, id, "", 100),
                    "")
              .status == 200);
  }
  CHECK(
      fleet
          .Send(1, "POST", "/stream/kept/x", TurnHeaders("c", "p", "", 100), "")
          .status == 200);
}

}  // namespace
}  // namespace celerykeel::testing
