#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t

namespace celerykeel {

/// @brief Limits on the open connections of callers.
struct ConnectionLimits {
  size_t total = 0;
  // In force only above `scarce`, as many callers may share one address.
  size_t per_address = 0;
  size_t scarce = 0;
};

/// @brief Divides a process's descriptors between callers' connections and
/// everything else: files, endpoints, peers and the store.
ConnectionLimits ConnectionLimitsOf(size_t max_descriptors);

/// @brief Open connections of callers, without a new one.
struct OpenConnections {
  size_t total = 0;
  size_t of_address = 0;  // of the new one's address
};

enum class ConnectionVerdict {
  kAccept,
  kReplaceIdle,           // closes the connection that is idle longest
  kReplaceIdleOfAddress,  // likewise, among those of the new one's address
};

/// @brief Decides about a new connection. If there is no idle connection to
/// replace, the new one is closed.
ConnectionVerdict JudgeConnection(const ConnectionLimits& limits,
                                  const OpenConnections& open);

/// @brief Returns how many idle connections an instance keeps to an endpoint,
/// so that all instances together use at most half of those that it accepts.
/// The other half is for calls in flight, and for connections of instances that
/// lost power, which the endpoint still counts.
/// @param max_connections that the endpoint accepts from all callers together.
/// @param instances of the fleet, this one included.
size_t IdleConnectionsPerEndpoint(uint32_t max_connections, size_t instances);

/// @brief The most idle connections to one address.
inline constexpr size_t kMaxIdleConnections = 16;

}  // namespace celerykeel
