#pragma once

#include <cstdint>      // for uint64_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel {

/// @brief A peer that could do a piece of work for this instance.
struct PeerCandidate {
  std::string instance;
  bool is_same_zone = false;
};

/// @brief Orders the peers in which this instance asks them: those of its own
/// zone first. Instances that need the same work at the same time, for example
/// all those that lost the store, ask different peers.
/// @param round another number gives another order within each zone.
std::vector<std::string> RankPeers(std::string_view self,
                                   uint64_t round,
                                   std::vector<PeerCandidate> candidates);

}  // namespace celerykeel
