#include "celerykeel/standin/cache_events.h"

#include <algorithm>  // for std::ranges::lower_bound

namespace celerykeel {

namespace {

constexpr uint32_t kPermille = 1000;

// SplitMix64: the same seed loses the same events.
uint64_t NextRandom(uint64_t& state) {
  state += 0x9E3779B97F4A7C15U;
  uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
  return mixed ^ (mixed >> 31U);
}

}  // namespace

void PublishEvent(CacheEventLog& log, const CacheChange& change, Duration now) {
  const uint64_t sequence = log.next_sequence++;
  if (NextRandom(log.random) % kPermille < log.loss_permille) {
    return;
  }
  log.events.push_back({sequence, now + log.lag, change});
  if (log.events.size() > log.capacity) {
    log.events.pop_front();
  }
}

std::vector<CacheEvent> ReadEvents(const CacheEventLog& log,
                                   uint64_t from,
                                   size_t max,
                                   Duration now) {
  std::vector<CacheEvent> visible;
  auto event =
      std::ranges::lower_bound(log.events, from, {}, &CacheEvent::sequence);
  for (; event != log.events.end() && event->visible_at <= now &&
         visible.size() < max;
       ++event) {
    visible.push_back(*event);
  }
  return visible;
}

}  // namespace celerykeel
