#pragma once

#include <cstddef>      // for size_t
#include <deque>        // for std::deque
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Bytes on their way over a link, each released after a delay.
struct DelayedBytes {
  struct Chunk {
    Duration release_at{};
    std::string bytes;
  };

  std::deque<Chunk> chunks;
  size_t size = 0;  // bytes
};

void PushBytes(DelayedBytes& delayed,
               std::string_view bytes,
               Duration release_at);

/// @brief Bytes that may go on now; empty if there are none.
std::string_view ReleasedBytes(const DelayedBytes& delayed, Duration now);

/// @brief Drops the first `count` of the released bytes.
void DropBytes(DelayedBytes& delayed, size_t count);

/// @brief When the first bytes are released; nothing if there are none.
std::optional<Duration> NextRelease(const DelayedBytes& delayed);

}  // namespace celerykeel
