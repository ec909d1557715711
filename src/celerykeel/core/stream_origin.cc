#include "celerykeel/core/stream_origin.h"

namespace celerykeel {

bool RecordOrigin(StreamOrigins& origins,
                  const StreamName& stream,
                  const StreamOrigin& origin,
                  Duration now) {
  if (const auto found = origins.streams.find(stream);
      found != origins.streams.end()) {
    const bool differs = found->second.origin != origin;
    found->second.origin = origin;
    return differs;
  }
  if (origins.streams.size() >= kMaxStreamOrigins) {
    return false;
  }
  origins.streams[stream] = {.origin = origin, .began_at = now};
  return true;
}

const StreamOrigin* FindOrigin(const StreamOrigins& origins,
                               const StreamName& stream) {
  const auto found = origins.streams.find(stream);
  return found == origins.streams.end() ? nullptr : &found->second.origin;
}

void ExpireOrigins(StreamOrigins& origins, Duration now) {
  std::erase_if(origins.streams, [now](const auto& entry) {
    return entry.second.began_at + kStreamOriginLifetime < now;
  });
}

}  // namespace celerykeel
