#include <doctest/doctest.h>

#include <sys/socket.h>  // for send
#include <unistd.h>      // for close

#include <algorithm>  // for std::min

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/byte_mutations.h"  // for ByteMutations
#include "celerykeel/testing/edge_process.h"    // for EdgeProcess

namespace celerykeel::testing {
namespace {

constexpr size_t kShortRun = 400;
constexpr size_t kRoundsPerCheck = 100;
constexpr size_t kMaxGrowth = 40UL * 1024 * 1024;

// After each hundred streams the process must live, have kept its memory, and
// answer an ordinary request. Streams of the failing hundred are drawn again
// with FUZZ_SEED and FUZZ_ROUNDS.
void CheckAfter(EdgeProcess& edge, size_t round, size_t memory_before) {
  if (round % kRoundsPerCheck != kRoundsPerCheck - 1) {
    return;
  }
  CAPTURE(round);
  REQUIRE(edge.IsAlive());
#ifndef CELERYKEEL_SANITIZED
  REQUIRE(edge.Memory("VmHWM") <= memory_before + kMaxGrowth);
#endif
  REQUIRE(edge.SendOrdinary() == 200);
}

// Sends bytes in pieces and closes the connection, without waiting for an
// answer every other time.
void SendAndClose(const std::string& ip,
                  uint16_t port,
                  const std::string& bytes,
                  ByteMutations& mutations) {
  const int opened = OpenConnection(ip, port);
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = send(
        opened, bytes.data() + sent,
        std::min(bytes.size() - sent, 1 + mutations.Below(4096)), MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    sent += static_cast<size_t>(count);
  }
  if (mutations.Below(2) == 0) {
    const timeval limit{.tv_sec = 0, .tv_usec = 20000};
    setsockopt(opened, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    char piece[4096];
    recv(opened, piece, sizeof(piece), 0);
  }
  close(opened);
}

void FuzzPort(const std::string& corpus, uint16_t port) {
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  const size_t before = edge.Memory("VmHWM");
  ByteMutations mutations("src/celerykeel/soak/testdata/" + corpus, FuzzSeed());
  for (size_t round = 0; round < FuzzRounds(kShortRun); ++round) {
    const std::string bytes = mutations.Draw();
    SendAndClose(edge.Ip(), port, bytes, mutations);
    CheckAfter(edge, round, before);
  }
}

// Guards against byte streams that end the process, hang it or take its
// memory.
TEST_CASE("fuzzed requests of callers") {
  FuzzPort("callers", EdgeProcess::kCallersPort);
}

TEST_CASE("fuzzed frames of peers") {
  FuzzPort("peers", EdgeProcess::kPeerPort);
}

TEST_CASE("fuzzed answers of endpoints") {
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  const size_t before = edge.Memory("VmHWM");
  ByteMutations mutations("src/celerykeel/soak/testdata/endpoints", FuzzSeed());
  for (size_t round = 0; round < FuzzRounds(kShortRun); ++round) {
    SetRawAnswer(edge.endpoint, mutations.Draw());
    const char* target = mutations.Below(2) == 0 ? "/pay/x" : "/stream/plain/x";
    const std::string answer = edge.Exchange(
        fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c1\r\n"
                    "Authorization: Bearer k1\r\nX-Deadline-Ms: 300\r\n"
                    "Connection: close\r\nContent-Length: 2\r\n\r\nin",
                    target));
    SetRawAnswer(edge.endpoint, "");
    CheckAfter(edge, round, before);
  }
}

}  // namespace
}  // namespace celerykeel::testing
