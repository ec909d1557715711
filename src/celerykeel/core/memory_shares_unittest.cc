#include <doctest/doctest.h>

#include <algorithm>  // for std::count
#include <vector>     // for std::vector

#include "celerykeel/core/memory_shares.h"  // for MemoryShares

namespace celerykeel {
namespace {

using Verdict = MemoryShares::Verdict;

constexpr size_t kKiB = 1024;
constexpr size_t kBudget = 16UL * 1024 * kKiB;
constexpr size_t kLargestBody = 4UL * 1024 * kKiB;
constexpr Duration kNow = std::chrono::seconds(100);

// Asks, and closes whatever the shares name. Returns false if it was refused.
bool Grow(MemoryShares& shares, MemoryShares::Request request, size_t bytes) {
  auto decision = shares.Resize(request, bytes, kNow);
  while (decision.verdict == Verdict::kClose) {
    shares.Close(decision.request);
    decision = shares.Resize(request, bytes, kNow);
  }
  return decision.verdict == Verdict::kGranted;
}

// Load: one caller sends bodies that it never finishes over many connections.
TEST_CASE("a holder of much memory does not refuse others") {
  MemoryShares shares(kBudget);
  for (int i = 0; i < 200; ++i) {
    Grow(shares, shares.Open("greedy", kNow), 1024 * kKiB);
  }
  CHECK(shares.UsedBytes() <= kBudget);
  const auto other = shares.Open("modest", kNow);
  CHECK(Grow(shares, other, kLargestBody));
  CHECK(shares.UsedBytes() <= kBudget);
  // A small request of the greedy holder closes one of its large ones.
  CHECK(Grow(shares, shares.Open("greedy", kNow), 2 * kKiB));
  // The modest holder's request is never the one closed.
  for (int i = 0; i < 200; ++i) {
    Grow(shares, shares.Open("greedy", kNow), 1024 * kKiB);
  }
  CHECK(shares.Resize(other, kLargestBody, kNow).verdict == Verdict::kGranted);
  CHECK(shares.UsedBytes() <= kBudget + kBudget / 4);
}

// Load: requests that are being served can't be closed, as they may have run.
TEST_CASE("large requests are refused while served ones hold the budget") {
  MemoryShares shares(kBudget);
  for (int i = 0; i < 4; ++i) {
    const auto served = shares.Open("a", kNow);
    REQUIRE(Grow(shares, served, kLargestBody));
    shares.SetClosable(served, false, kNow);
  }
  CHECK_FALSE(Grow(shares, shares.Open("b", kNow), 1024 * kKiB));
  // The reserve is for small requests.
  CHECK(Grow(shares, shares.Open("b", kNow), 16 * kKiB));
}

// Load: a caller holds bodies that have stopped arriving, and sends an
// ordinary large one beside them.
TEST_CASE("stalled requests are closed before larger ones with progress") {
  MemoryShares shares(kBudget);
  std::vector<MemoryShares::Request> stalled;
  for (int i = 0; i < 16; ++i) {
    stalled.push_back(shares.Open("a", kNow));
    REQUIRE(Grow(shares, stalled.back(), 1024 * kKiB));
  }
  const Duration later = kNow + std::chrono::seconds(1);
  const auto ordinary = shares.Open("a", later);
  const auto decision = shares.Resize(ordinary, kLargestBody, later);
  CHECK(decision.verdict == Verdict::kClose);
  CHECK(std::count(stalled.begin(), stalled.end(), decision.request) == 1);
  // Without a stall, the request that asks for the most yields.
  CHECK(shares.Resize(ordinary, kLargestBody, kNow).verdict ==
        Verdict::kRefused);
}

// Guards against memory that is counted twice or never given back.
TEST_CASE("closed and moved requests give their memory back") {
  MemoryShares shares(kBudget);
  const auto request = shares.Open("127.0.0.1", kNow);
  REQUIRE(Grow(shares, request, 1024 * kKiB));
  shares.SetHolder(request, "team");
  CHECK(shares.UsedBytes() == 1024 * kKiB);
  CHECK(Grow(shares, request, kKiB));
  CHECK(shares.UsedBytes() == kKiB);
  shares.Close(request);
  shares.Close(request);
  CHECK(shares.UsedBytes() == 0);
}

}  // namespace
}  // namespace celerykeel
