#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>    // for std::atomic
#include <mutex>     // for std::mutex
#include <optional>  // for std::optional
#include <thread>    // for std::thread
#include <vector>    // for std::vector

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/node_fleet.h"  // for NodeFleet

namespace celerykeel::testing {
namespace {

std::string Head(const std::string& id) {
  return "GET /look/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
         "\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 1000\r\n\r\n";
}

// @param done body of the expected answer.
// @return what arrived instead; nothing if the complete answer arrived.
std::optional<std::string> ReadOther(Tcp::socket& socket,
                                     const std::string& done) {
  asio::streambuf answer;
  ErrorCode error;
  asio::read_until(socket, answer, done, error);
  if (!error) {
    return std::nullopt;
  }
  const auto bytes = answer.data();
  return error.message() + " after: " +
         std::string(asio::buffers_begin(bytes), asio::buffers_end(bytes));
}

struct Tally {
  std::atomic<int> answered{0};
  std::atomic<int> incomplete{0};  // connected, but no complete answer arrived
  std::mutex mutex;
  std::string others;  // what these got instead, and when; guarded by `mutex`
};

// Sends one request per connection until the instance accepts no more
// connections.
void SendUntilClosed(const Tcp::endpoint& address,
                     const std::string& prefix,
                     Tally& tally) {
  for (int i = 0;; ++i) {
    asio::io_context loop;
    Tcp::socket socket(loop);
    ErrorCode error;
    socket.connect(address, error);
    if (error) {
      return;
    }
    const std::string id = prefix + std::to_string(i);
    asio::write(socket, asio::buffer(Head(id)), error);
    // Keeps the four callers below their team's 1,000 requests a second.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const auto sent_at = std::chrono::steady_clock::now();
    const auto other = error ? error.message() + " while sending"
                             : ReadOther(socket, "done " + id);
    if (!other) {
      ++tally.answered;
      continue;
    }
    ++tally.incomplete;
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - sent_at);
    const std::lock_guard lock(tally.mutex);
    tally.others +=
        fmt::format("{} after {} ms: {}\n", id, waited.count(), *other);
  }
}

TEST_CASE("a planned stop under load aborts no request") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  const Tcp::endpoint address = fleet.CallersAddress(0);
  asio::io_context loop;
  Tcp::socket slow(loop);
  ErrorCode error;
  slow.connect(address, error);
  const std::string head = Head("slow");
  Tally tally;
  std::vector<std::thread> callers;
  for (const char* prefix : {"a", "b", "c", "d"}) {
    callers.emplace_back(
        [&, prefix] { SendUntilClosed(address, prefix, tally); });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.Stop(0);
  // The first part of this request arrives before the instance stops accepting
  // connections, and the rest after.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  asio::write(slow, asio::buffer(head.substr(0, 20)));
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  asio::write(slow, asio::buffer(head.substr(20)), error);
  CHECK_FALSE(ReadOther(slow, "done slow"));
  for (std::thread& caller : callers) {
    caller.join();
  }
  CAPTURE(tally.others);
  CHECK(tally.answered.load() > 100);
  CHECK(tally.incomplete.load() == 0);
}

// Guards against an idle connection that is closed when the listening socket
// is: a request that its caller sent at that moment got no answer.
TEST_CASE("a connection stays open when the listening socket is closed") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  asio::io_context loop;
  Tcp::socket socket(loop);
  ErrorCode error;
  socket.connect(fleet.CallersAddress(0), error);
  asio::write(socket, asio::buffer(Head("first")), error);
  REQUIRE_FALSE(ReadOther(socket, "done first"));
  fleet.StopAccepting(0);
  Tcp::socket refused(loop);
  refused.connect(fleet.CallersAddress(0), error);
  CHECK(error == asio::error::connection_refused);
  asio::write(socket, asio::buffer(Head("second")), error);
  CHECK(ReadOther(socket, "done second").value_or("") == "");
}

// Guards against a connection that is accepted just as a planned stop begins
// and closed unread. Both wait for the end of the pause, the stop first.
TEST_CASE("a connection accepted as a planned stop begins is served") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  fleet.Freeze(0, std::chrono::milliseconds(300));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  asio::io_context loop;
  Tcp::socket socket(loop);
  ErrorCode error;
  socket.connect(fleet.CallersAddress(0), error);
  asio::write(socket, asio::buffer(Head("early")), error);
  fleet.Stop(0);
  CHECK(ReadOther(socket, "done early").value_or("") == "");
}

// Guards against requests that come late in a planned stop, are passed on and
// then cut at its end.
TEST_CASE("a planned stop refuses what it might cut") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.pause_ms = 900;
  }
  asio::io_context loop;
  Tcp::socket socket(loop);
  ErrorCode error;
  socket.connect(fleet.CallersAddress(0), error);
  const std::string head =
      "POST /stream/plain/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\n"
      "Authorization: Bearer k1\r\nX-Deadline-Ms: 4000\r\n"
      "Content-Length: 2\r\n\r\n";
  asio::write(socket, asio::buffer(head + "i"), error);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.Stop(0);
  std::this_thread::sleep_for(std::chrono::milliseconds(4500));
  asio::write(socket, asio::buffer("n", 1), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  CHECK(error == asio::error::eof);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("not run") != std::string::npos);
  CHECK(RunsOf(fleet.endpoints[0], "late") == 0);
  CHECK(RunsOf(fleet.endpoints[1], "late") == 0);
}

}  // namespace
}  // namespace celerykeel::testing
