#include "celerykeel/standin/delayed_bytes.h"

namespace celerykeel {

void PushBytes(DelayedBytes& delayed,
               std::string_view bytes,
               Duration release_at) {
  delayed.chunks.push_back({release_at, std::string(bytes)});
  delayed.size += bytes.size();
}

std::string_view ReleasedBytes(const DelayedBytes& delayed, Duration now) {
  if (delayed.chunks.empty() || delayed.chunks.front().release_at > now) {
    return {};
  }
  return delayed.chunks.front().bytes;
}

void DropBytes(DelayedBytes& delayed, size_t count) {
  std::string& bytes = delayed.chunks.front().bytes;
  bytes.erase(0, count);
  delayed.size -= count;
  if (bytes.empty()) {
    delayed.chunks.pop_front();
  }
}

std::optional<Duration> NextRelease(const DelayedBytes& delayed) {
  if (delayed.chunks.empty()) {
    return std::nullopt;
  }
  return delayed.chunks.front().release_at;
}

}  // namespace celerykeel
