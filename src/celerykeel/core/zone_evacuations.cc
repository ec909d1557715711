#include "celerykeel/core/zone_evacuations.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

namespace celerykeel {

bool IsEvacuated(const ZoneEvacuations& evacuations, std::string_view zone) {
  const auto found = evacuations.zones.find(zone);
  return found != evacuations.zones.end() && found->second.in_force;
}

bool RecordEvacuation(ZoneEvacuations& evacuations,
                      std::string_view zone,
                      const ZoneEvacuation& record,
                      size_t max_zones) {
  const auto found = evacuations.zones.find(zone);
  if (found == evacuations.zones.end()) {
    if (evacuations.zones.size() >= max_zones) {
      return false;
    }
    evacuations.zones.emplace(zone, record);
    return record.in_force;
  }
  if (record.offset <= found->second.offset) {
    return false;
  }
  const bool is_change = record.in_force != found->second.in_force;
  found->second = record;
  return is_change;
}

// The offset of the record that revoked an evacuation is not known: it may have
// been deleted. It was written before the end of the read or shortly after, and
// a new evacuation can only have a later record than that.
std::vector<std::string> RevokeUnlisted(ZoneEvacuations& evacuations,
                                        const CompleteKeyRead& read,
                                        Duration now) {
  std::vector<std::string> revoked;
  for (auto& [zone, known] : evacuations.zones) {
    // The store may answer with older data, so the time alone proves nothing.
    if (known.in_force && !read.zones.contains(zone) &&
        known.offset < read.end && known.recorded_at < read.began_at) {
      known = {.in_force = false, .offset = read.end - 1, .recorded_at = now};
      revoked.push_back(zone);
    }
  }
  return revoked;
}

uint64_t DigestOf(const ZoneEvacuations& evacuations) {
  uint64_t digest = 0;
  for (const auto& [zone, known] : evacuations.zones) {
    digest ^= XXH3_64bits_withSeed(zone.data(), zone.size(),
                                   known.offset * 2 + (known.in_force ? 1 : 0));
  }
  return digest;
}

}  // namespace celerykeel
