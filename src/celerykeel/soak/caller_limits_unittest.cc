#include <doctest/doctest.h>

#include <sys/socket.h>  // for send
#include <unistd.h>      // for close

#include <algorithm>  // for std::max
#include <chrono>     // for std::chrono::milliseconds
#include <thread>     // for std::this_thread::sleep_for

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/crowd.h"         // for Crowd
#include "celerykeel/testing/edge_process.h"  // for EdgeProcess

namespace celerykeel::testing {
namespace {

constexpr size_t kMiB = 1024UL * 1024;
// The default body limit.
constexpr size_t kLargestBody = 4 * kMiB;

std::string Head(const std::string& fields, const std::string& key = "k1") {
  return fmt::format(
      "POST /pay/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c\r\n"
      "Authorization: Bearer {}\r\n{}\r\n",
      key, fields);
}

std::string LengthHead(size_t length, const std::string& key = "k1") {
  return Head(
      fmt::format("Connection: close\r\nContent-Length: {}\r\n", length), key);
}

int StatusOf(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 ") ? std::atoi(answer.c_str() + 9) : 0;
}

// Guards against refusing what HTTP/1.1 allows inside the limits.
TEST_CASE("chunk extensions, trailers and large bodies of ordinary size") {
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  CHECK(StatusOf(edge.Exchange(
            Head("Connection: close\r\nTransfer-Encoding: chunked\r\n") +
            "0002;name=value;other=\"quoted\"\r\nin\r\n"
            "0;last\r\nX-Checksum: 1\r\nX-More: 2\r\n\r\n")) == 200);
  CHECK(BodyOf(edge.endpoint, "c") == "in");
  const std::string body(kLargestBody, 'x');
  CHECK(StatusOf(edge.Exchange(LengthHead(body.size()) + body)) == 200);
  CHECK(BodyOf(edge.endpoint, "c") == body);
  CHECK(StatusOf(edge.Exchange(
            Head("Connection: close\r\nTransfer-Encoding: chunked\r\n") +
            fmt::format("{:x}\r\n", body.size()) + body + "\r\n0\r\n\r\n")) ==
        200);
}

// Guards against holding a body for a caller without a valid key, and against
// refusals that are lost because their connection is reset.
TEST_CASE("requests are refused before their body is read") {
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  // Nothing of the body is sent: an answer shows that it was not awaited.
  CHECK(StatusOf(edge.Exchange(LengthHead(kMiB, "wrong"))) == 401);
  CHECK(StatusOf(edge.Exchange(LengthHead(kLargestBody + 1))) == 413);
  CHECK(StatusOf(edge.Exchange(
            Head("Expect: 100-continue\r\nContent-Length: 10\r\n", "wrong"))) ==
        401);
  // The whole body is written before the answer is read.
  const std::string body(kLargestBody, 'x');
  for (int i = 0; i < 5; ++i) {
    CHECK(StatusOf(edge.Exchange(LengthHead(body.size(), "wrong") + body)) ==
          401);
    CHECK(StatusOf(edge.Exchange(LengthHead(body.size() + 1) + body + "x")) ==
          413);
  }
  // A body that has arrived with its head does not cost the connection.
  const std::string small = Head("Content-Length: 2\r\n", "wrong") + "in";
  const std::string answers = edge.Exchange(small + LengthHead(2) + "in");
  CHECK(StatusOf(answers) == 401);
  CHECK(answers.find("HTTP/1.1 200") != std::string::npos);
}

TEST_CASE("a request with too many fields is refused") {
  EdgeProcess edge(R"(,"max_header_fields":50)");
  REQUIRE(edge.WaitUntilServing());
  std::string fields = "Content-Length: 0\r\n";
  for (int i = 0; i < 60; ++i) {
    fields += "a:\r\n";
  }
  CHECK(StatusOf(edge.Exchange(Head(fields))) == 431);
}

// Sends the pieces with a pause before each one, and returns the answer.
std::string SendSlowly(EdgeProcess& edge,
                       const std::string& head,
                       const std::string& piece,
                       int pieces) {
  const int opened = OpenConnection(edge.Ip(), EdgeProcess::kCallersPort);
  send(opened, head.data(), head.size(), MSG_NOSIGNAL);
  for (int i = 0; i < pieces; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    send(opened, piece.data(), piece.size(), MSG_NOSIGNAL);
  }
  std::string answer(65536, '\0');
  const ssize_t count = recv(opened, answer.data(), answer.size(), 0);
  close(opened);
  answer.resize(static_cast<size_t>(std::max<ssize_t>(count, 0)));
  return answer;
}

// Guards against bodies that trickle in for minutes, and against cutting a
// sound body that takes longer than the header timeout on a slow link. 12
// pieces of 16 KiB take 2.4 s, four times the grace, at 80 KiB/s.
TEST_CASE("a body must make progress, however long it takes") {
  EdgeProcess edge("", R"({"header_timeout_ms":300})");
  REQUIRE(edge.WaitUntilServing());
  constexpr size_t kPiece = 16384;
  constexpr int kPieces = 12;
  CHECK(StatusOf(SendSlowly(edge, LengthHead(kPiece * kPieces),
                            std::string(kPiece, 'x'), kPieces)) == 200);
  CHECK(StatusOf(SendSlowly(edge, LengthHead(kPiece * kPieces), "x", 6)) ==
        408);
  CHECK(StatusOf(SendSlowly(edge, "POST /pay/x HTTP/1.1\r\n", "x", 3)) == 408);
}

// Guards against callers whose unfinished bodies keep others' from being
// served.
TEST_CASE("a large request is served beside bodies that are never finished") {
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  const std::string first =
      LengthHead(kLargestBody, "k2") + std::string(kLargestBody - 100, 'x');
  Crowd crowd(edge.Ip(), EdgeProcess::kCallersPort, 20, {.first = first});
  crowd.Send(64 * kMiB, std::chrono::milliseconds(500), [] { return false; });
  const std::string body(kLargestBody, 'x');
  CHECK(StatusOf(edge.Exchange(LengthHead(body.size()) + body)) == 200);
}

// Guards against callers that take the descriptors of endpoints, peers and the
// store.
TEST_CASE("connections beyond the limit replace idle ones") {
  EdgeProcess edge(R"(,"max_fds":400)");
  REQUIRE(edge.WaitUntilServing());
  const size_t descriptors = edge.Descriptors();
  constexpr size_t kMostCallers = (400UL - 200) / 3 * 2;
  Crowd crowd(edge.Ip(), EdgeProcess::kCallersPort, 300, {});
  crowd.Send(1, std::chrono::milliseconds(500), [] { return false; });
  CHECK(edge.Descriptors() <= descriptors + kMostCallers + 4);
  CHECK(edge.SendOrdinary() == 200);
}

}  // namespace
}  // namespace celerykeel::testing
