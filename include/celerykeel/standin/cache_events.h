#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <deque>    // for std::deque
#include <vector>   // for std::vector

#include "celerykeel/core/time.h"             // for Duration
#include "celerykeel/standin/prefix_cache.h"  // for CacheChange

namespace celerykeel {

struct CacheEvent {
  uint64_t sequence = 0;
  Duration visible_at{};
  CacheChange change;
};

/// @brief An engine's cache events, late and with gaps: a lost event takes a
/// sequence number that no reader ever sees.
struct CacheEventLog {
  Duration lag{};
  uint32_t loss_permille = 0;
  uint64_t random = 1;       // state of the generator that picks lost events
  size_t capacity = 10'000;  // events kept
  uint64_t next_sequence = 1;
  std::deque<CacheEvent> events;
};

void PublishEvent(CacheEventLog& log, const CacheChange& change, Duration now);

/// @brief At most `max` events from sequence number `from` on that are
/// visible by now.
std::vector<CacheEvent> ReadEvents(const CacheEventLog& log,
                                   uint64_t from,
                                   size_t max,
                                   Duration now);

}  // namespace celerykeel
