#include "celerykeel/core/endpoint_path.h"

#include <algorithm>  // for std::min, std::max
#include <utility>    // for std::pair

#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

namespace {

// A peer in another zone is used once those of the own zone have this many more
// tunnels: bytes between zones cost the users, and an overloaded peer more.
constexpr uint32_t kOtherZoneTunnels = 6;

// At least one, also if no endpoint is known any more.
size_t Threshold(size_t count, size_t endpoints) {
  return std::max<size_t>(std::min(count, endpoints), 1);
}

}  // namespace

bool RecordConnectFailure(EndpointPath& path,
                          std::string_view endpoint,
                          size_t endpoints,
                          Duration now) {
  path.reached.clear();
  if (path.is_cut_off) {
    return false;
  }
  std::erase_if(path.failed, [now](const auto& entry) {
    return entry.second + kConnectFailureWindow < now;
  });
  path.failed.insert_or_assign(std::string(endpoint), now);
  path.is_cut_off = path.failed.size() >= Threshold(kCutOffFailures, endpoints);
  return path.is_cut_off;
}

bool RecordConnectSuccess(EndpointPath& path,
                          std::string_view endpoint,
                          size_t endpoints) {
  path.failed.clear();
  if (!path.is_cut_off) {
    return false;
  }
  path.reached.emplace(endpoint);
  if (path.reached.size() < Threshold(kReturnSuccesses, endpoints)) {
    return false;
  }
  path.reached.clear();
  path.is_cut_off = false;
  return true;
}

const TunnelPeer* ChooseTunnelPeer(std::span<const TunnelPeer> peers,
                                   std::string_view subject) {
  const TunnelPeer* best = nullptr;
  std::pair<uint32_t, uint64_t> lowest;
  for (const TunnelPeer& peer : peers) {
    const std::pair<uint32_t, uint64_t> rank{
        peer.tunnels + (peer.is_in_zone ? 0 : kOtherZoneTunnels),
        RendezvousWeight(subject, peer.instance)};
    if (best == nullptr || rank < lowest) {
      best = &peer;
      lowest = rank;
    }
  }
  return best;
}

}  // namespace celerykeel
