#include "celerykeel/core/peer_choice.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::max_element
#include <map>        // for std::map

namespace celerykeel {
namespace {

std::vector<PeerCandidate> Candidates(int count) {
  std::vector<PeerCandidate> candidates;
  candidates.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    candidates.push_back(
        {.instance = "p" + std::to_string(i), .is_same_zone = i % 3 == 0});
  }
  return candidates;
}

// Guards against 21 cut-off instances of 61 that all load one peer.
TEST_CASE("instances that need the same work ask different peers") {
  std::map<std::string, int> asked;
  for (int i = 0; i < 21; ++i) {
    ++asked[RankPeers("cut" + std::to_string(i), 0, Candidates(40)).front()];
  }
  const auto most = std::max_element(
      asked.begin(), asked.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CHECK(asked.size() >= 8);
  CHECK(most->second <= 5);
}

TEST_CASE("peers of the own zone come first, and all are listed") {
  const auto order = RankPeers("i1", 0, Candidates(9));
  REQUIRE(order.size() == 9);
  for (size_t i = 0; i < 3; ++i) {
    CHECK(std::stoi(order[i].substr(1)) % 3 == 0);
  }
}

TEST_CASE("another round begins with another peer") {
  std::map<std::string, int> first;
  for (uint64_t round = 0; round < 20; ++round) {
    ++first[RankPeers("i1", round, Candidates(30)).front()];
  }
  CHECK(first.size() > 3);
}

}  // namespace
}  // namespace celerykeel
