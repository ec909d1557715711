#include "celerykeel/core/stream_origin.h"

#include <algorithm>  // for std::max

namespace celerykeel {

bool RecordOrigin(StreamOrigins& origins,
                  const StreamName& stream,
                  const StreamOrigin& origin,
                  Duration now) {
  if (const auto found = origins.streams.find(stream);
      found != origins.streams.end()) {
    const bool differs = found->second.origin != origin;
    if (differs) {
      found->second.origin = origin;
      found->second.in_log = false;
    }
    return differs;
  }
  if (origins.streams.size() >= kMaxStreamOrigins) {
    return false;
  }
  origins.streams[stream] = {
      .origin = origin, .began_at = now, .in_log = false};
  return true;
}

void ReplayOrigin(StreamOrigins& origins,
                  const StreamRecord& record,
                  WallMillis wall,
                  Duration now) {
  // The clock of the writer may be ahead.
  const Duration age = std::chrono::milliseconds(
      std::max<WallMillis>(wall - record.began_at, 0));
  if (age > kStreamOriginLifetime) {
    return;
  }
  RecordOrigin(origins, record.stream, record.origin, now - age);
  if (const auto found = origins.streams.find(record.stream);
      found != origins.streams.end()) {
    found->second.in_log = true;
  }
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
