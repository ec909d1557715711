#include "celerykeel/core/connection_limits.h"

#include <algorithm>  // for std::max, std::clamp

namespace celerykeel {

namespace {

constexpr size_t kFileDescriptors = 200;
constexpr size_t kMinConnections = 16;
constexpr size_t kAddressDivisor = 4;  // of all callers' connections

}  // namespace

ConnectionLimits ConnectionLimitsOf(size_t max_descriptors) {
  const size_t usable =
      max_descriptors - std::min(max_descriptors, kFileDescriptors);
  // A third is left for endpoints, peers and the store.
  const size_t total = std::max(usable / 3 * 2, kMinConnections);
  return {.total = total,
          .per_address = std::max<size_t>(total / kAddressDivisor, 1),
          .scarce = total / 4 * 3};
}

ConnectionVerdict JudgeConnection(const ConnectionLimits& limits,
                                  const OpenConnections& open) {
  if (open.total >= limits.scarce && open.of_address >= limits.per_address) {
    return ConnectionVerdict::kReplaceIdleOfAddress;
  }
  return open.total >= limits.total ? ConnectionVerdict::kReplaceIdle
                                    : ConnectionVerdict::kAccept;
}

size_t IdleConnectionsPerEndpoint(uint32_t max_connections, size_t instances) {
  return std::clamp<size_t>(
      max_connections / 2 / std::max<size_t>(instances, 1), 1,
      kMaxIdleConnections);
}

}  // namespace celerykeel
