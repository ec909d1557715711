#include <doctest/doctest.h>

#include <algorithm>  // for std::max

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/crowd.h"         // for Crowd
#include "celerykeel/testing/edge_process.h"  // for EdgeProcess

namespace celerykeel::testing {
namespace {

constexpr size_t kMiB = 1024UL * 1024;
constexpr size_t kMaxGrowth = 40 * kMiB;
constexpr size_t kSpareDescriptors = 32;
constexpr size_t kTotalBytes = 128 * kMiB;
constexpr size_t kCrowd = 20;
constexpr auto kIdle = std::chrono::seconds(2);

std::string Head(const std::string& target,
                 const std::string& fields,
                 const std::string& key = "k1") {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c\r\n"
      "X-Token-Usage: 1,1\r\nX-Program-Id: p\r\n"
      "Authorization: Bearer {}\r\n{}",
      target, key, fields);
}

std::string ChunkedHead() {
  return Head("/pay/x", "Transfer-Encoding: chunked\r\n\r\n");
}

std::string Repeated(const std::string& text, size_t times) {
  std::string all;
  for (size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

const std::string kFiller(4096, 'x');

// Lets a crowd exceed a limit, then checks that the process lives, kept its
// bounds, and answers an ordinary request. Memory under a sanitizer says
// nothing and isn't checked then.
void CheckBounded(EdgeProcess& edge,
                  Crowd& crowd,
                  size_t connections,
                  size_t total_bytes,
                  size_t descriptors,
                  std::chrono::milliseconds idle = kIdle) {
  const size_t before = edge.Memory("VmHWM");
  size_t most_descriptors = 0;
  const auto is_over = [&] {
    most_descriptors = std::max(most_descriptors, edge.Descriptors());
    return !edge.IsAlive() || edge.Memory("VmRSS") > before + 2 * kMaxGrowth;
  };
  crowd.Send(total_bytes, idle, is_over);
  edge.WaitUntilIdle();
  most_descriptors = std::max(most_descriptors, edge.Descriptors());
  REQUIRE(edge.IsAlive());
  const size_t growth = edge.Memory("VmHWM") - before;
  MESSAGE("growth " << growth / kMiB << " MiB, " << crowd.sent_bytes / kMiB
                    << " MiB sent, " << crowd.replaced << " replaced, "
                    << most_descriptors << " descriptors, " << descriptors
                    << " before");
#ifndef CELERYKEEL_SANITIZED
  CHECK(growth <= kMaxGrowth);
#endif
  CHECK(most_descriptors <= descriptors + connections + kSpareDescriptors);
}

void CheckRow(const CrowdBytes& bytes,
              size_t connections = kCrowd,
              size_t total_bytes = kTotalBytes,
              const std::string& settings = "",
              uint16_t port = EdgeProcess::kCallersPort) {
  EdgeProcess edge(settings);
  REQUIRE(edge.WaitUntilServing());
  const size_t descriptors = edge.Descriptors();
  {
    Crowd crowd(edge.Ip(), port, connections, bytes);
    CheckBounded(edge, crowd, connections, total_bytes, descriptors);
  }
  CHECK(edge.SendOrdinary() == 200);
  CHECK(edge.IsAlive());
}

// Each case guards against bytes of callers that take an instance's memory:
// what a parser holds without an end, and bodies that nobody counts.
TEST_CASE("endless trailer fields") {
  CheckRow({.first = ChunkedHead() + "2\r\nin\r\n0\r\n",
            .again = "X-More: " + kFiller + "\r\n"});
}

TEST_CASE("one endless trailer field") {
  CheckRow(
      {.first = ChunkedHead() + "2\r\nin\r\n0\r\nX-More: ", .again = kFiller});
}

TEST_CASE("endless chunk extensions") {
  CheckRow({.first = ChunkedHead() + "2", .again = ";more=" + kFiller});
}

TEST_CASE("a chunk size of endless zeros") {
  CheckRow({.first = ChunkedHead(), .again = std::string(4096, '0')});
}

TEST_CASE("empty header fields, repeatedly") {
  CheckRow({.again = Head("/pay/x", Repeated("a:\r\n", 250)) +
                     "Content-Length: 2\r\n\r\nin"});
}

TEST_CASE("blank lines before a request") {
  CheckRow({.again = Repeated("\r\n", 2048)});
}

TEST_CASE("bodies up to the limit, never finished") {
  const std::string head = Head("/pay/x", "Content-Length: 4194304\r\n\r\n");
  CheckRow({.first = head + std::string(4194000, 'x'),
            .connection_bytes = head.size() + 4194000});
}

TEST_CASE("chunked bodies up to the limit, never finished") {
  const std::string first =
      ChunkedHead() + "3fff00\r\n" + std::string(4193000, 'x');
  CheckRow({.first = first, .connection_bytes = first.size()});
}

TEST_CASE("bodies of several hundred connections, never finished") {
  const std::string head = Head("/pay/x", "Content-Length: 1048576\r\n\r\n");
  CheckRow({.first = head + std::string(1048000, 'x')}, 200, 256 * kMiB,
           R"(,"memory_mb":64)");
}

TEST_CASE("tiny chunks with extensions") {
  CheckRow({.first = ChunkedHead(), .again = "1;a=b\r\nx\r\n"});
}

TEST_CASE("an endless header") {
  CheckRow({.first = "POST /pay/x HTTP/1.1\r\n",
            .again = "X-More: " + kFiller + "\r\n"});
}

TEST_CASE("wrong keys with large bodies") {
  const std::string first =
      Head("/pay/x", "Content-Length: 4194304\r\n\r\n", "wrong") +
      std::string(4194000, 'x');
  CheckRow({.first = first, .connection_bytes = first.size()});
}

TEST_CASE("pipelined requests whose answers aren't read") {
  CheckRow(
      {.again = Head("/pay/x", "Content-Length: 2\r\n\r\nin"), .reads = false});
}

TEST_CASE("slowly arriving headers and bodies") {
  for (const std::string& first :
       {std::string("POST /pay/x HTTP/1.1\r\n"),
        Head("/pay/x", "Content-Length: 4194304\r\n\r\n")}) {
    CheckRow({.first = first, .again = "X", .piece_bytes = 1}, 200, 20000);
  }
}

TEST_CASE("an endless header on the readiness address") {
  CheckRow({.first = "GET /readyz HTTP/1.1\r\nHost: h\r\n",
            .again = "X-More: " + kFiller + "\r\n"},
           kCrowd, kTotalBytes, "", EdgeProcess::kReadinessPort);
}

TEST_CASE("a body on the readiness address") {
  CheckRow({.first = "POST /readyz HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
            .again = "1000\r\n" + kFiller + "\r\n"},
           kCrowd, kTotalBytes, "", EdgeProcess::kReadinessPort);
}

TEST_CASE("frames that never end on the peers' port") {
  // The length of the frame, big-endian.
  CheckRow({.first = std::string("\x03\xff\xff\xff", 4), .again = kFiller},
           kCrowd, kTotalBytes, "", EdgeProcess::kPeerPort);
}

TEST_CASE("streams that aren't read") {
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  const size_t descriptors = edge.Descriptors();
  edge.endpoint.events = 100000;
  edge.endpoint.pause_ms = 0;
  edge.endpoint.event_filler_bytes = 16384;
  constexpr size_t kReaders = 200;
  const std::string request =
      Head("/stream/plain/x", "Content-Length: 2\r\n\r\nin");
  {
    // An endpoint's connection for each.
    Crowd crowd(edge.Ip(), EdgeProcess::kCallersPort, kReaders,
                {.first = request, .reads = false});
    CheckBounded(edge, crowd, 2 * kReaders, kTotalBytes, descriptors,
                 std::chrono::seconds(5));
  }
  edge.endpoint.events = 4;
  edge.endpoint.event_filler_bytes = 0;
  CHECK(edge.SendOrdinary() == 200);
  CHECK(edge.IsAlive());
}

}  // namespace
}  // namespace celerykeel::testing
