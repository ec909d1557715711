#include "celerykeel/core/peer_choice.h"

#include <algorithm>  // for std::sort
#include <tuple>      // for std::tuple
#include <utility>    // for std::move

#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

std::vector<std::string> RankPeers(std::string_view self,
                                   uint64_t round,
                                   std::vector<PeerCandidate> candidates) {
  const std::string subject = std::string(self) + "/" + std::to_string(round);
  std::vector<std::tuple<bool, uint64_t, std::string>> ranked;
  ranked.reserve(candidates.size());
  for (PeerCandidate& candidate : candidates) {
    const uint64_t weight = RendezvousWeight(subject, candidate.instance);
    ranked.emplace_back(candidate.is_same_zone, weight,
                        std::move(candidate.instance));
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (auto& [is_same_zone, weight, instance] : ranked) {
    order.push_back(std::move(instance));
  }
  return order;
}

}  // namespace celerykeel
