#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The newest known record of a zone's evacuation in the store.
struct ZoneEvacuation {
  bool in_force = false;   // false: the operators have revoked it
  uint64_t offset = 0;     // a later record has a higher one
  Duration recorded_at{};  // when this instance recorded it
};

/// @brief The evacuations of zones that this instance knows.
struct ZoneEvacuations {
  // Also those that were revoked, to reject older reports; at most
  // kMaxEvacuationZones.
  std::map<std::string, ZoneEvacuation, std::less<>> zones;
  // When all keys were first read; empty before, when an evacuation in force
  // may not be known.
  std::optional<Duration> read_at;
};

/// @brief True if no further calls may be sent to endpoints of the zone.
bool IsEvacuated(const ZoneEvacuations& evacuations, std::string_view zone);

/// @brief Bounds the memory for zones that operators or peers name.
inline constexpr size_t kMaxEvacuationZones = 256;
/// @brief Most of them that are no zone of the installation: other writers'
/// keys leave room for the real zones.
inline constexpr size_t kMaxUnknownEvacuationZones = 128;

/// @brief Records what a record of the store says, unless a record with the
/// same or a higher offset is known.
/// @param max_zones no further zone is added to this many.
/// @return true if the evacuation began or was revoked by this.
bool RecordEvacuation(ZoneEvacuations& evacuations,
                      std::string_view zone,
                      const ZoneEvacuation& record,
                      size_t max_zones = kMaxEvacuationZones);

/// @brief A complete read of the keys, which is not a snapshot.
struct CompleteKeyRead {
  std::set<std::string, std::less<>> zones;  // listed as evacuated
  // All records with lower offsets were taken into account.
  uint64_t end = 0;
  Duration began_at{};
};

/// @brief Revokes the evacuations that the read does not list, except those
/// that may have been written after it began.
/// @return the zones whose evacuations were revoked by this.
std::vector<std::string> RevokeUnlisted(ZoneEvacuations& evacuations,
                                        const CompleteKeyRead& read,
                                        Duration now);

/// @brief Digest of the zones, their states and offsets. Two instances with the
/// same digest know the same evacuations. 0 if none is known.
uint64_t DigestOf(const ZoneEvacuations& evacuations);

}  // namespace celerykeel
