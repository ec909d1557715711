#pragma once

#include <array>     // for std::array
#include <cstddef>   // for size_t
#include <optional>  // for std::optional

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief How long outages of the store have lasted, as seen by one instance.
struct OutageEstimate {
  std::optional<Duration> began_at;   // of the present outage
  Duration noticed_at{};              // a call that began then failed
  std::array<Duration, 8> lengths{};  // of the last outages
  size_t count = 0;                   // of all outages that have ended
};

/// @brief Assumed before an outage has ended. Observed outages last 3 to 9 s.
inline constexpr Duration kUsualOutage = std::chrono::seconds(5);
/// @brief Shorter failures are single lost answers, and say nothing about how
/// long an outage lasts.
inline constexpr Duration kShortestOutage = std::chrono::seconds(1);
/// @brief The store is expected within this time at the latest. A longer
/// outage is then estimated anew.
inline constexpr Duration kLongestWait = std::chrono::seconds(10);
/// @brief The store's return is never expected sooner than this.
inline constexpr Duration kShortestWait = std::chrono::milliseconds(300);

/// @brief Most failures end with the first probe, which is sent after 300 ms. A
/// caller that waits for this long is not refused for a single lost answer.
inline constexpr Duration kFirstProbes = std::chrono::milliseconds(600);

void BeginOutage(OutageEstimate& estimate, Duration began_at, Duration now);
void EndOutage(OutageEstimate& estimate, Duration now);

/// @brief Returns the time until the store is probably back: the mean of what
/// is left of those earlier outages that lasted longer than the present one has
/// by now. Of an outage that is longer than all of them, a third of its length
/// so far is assumed to be left. Zero if there is no outage.
Duration ExpectedOutageLeft(const OutageEstimate& estimate, Duration now);

/// @brief Returns how long a call waits for the store before it is refused: a
/// third of its time. A program fails with the third failure of a turn, so a
/// turn that waits bridges a longer outage than one that is refused at once. If
/// earlier outages show that the store will not return within the caller's
/// time, the call is refused after the first probes.
/// @param time_left until the caller's deadline.
Duration WorthwhileWait(const OutageEstimate& estimate,
                        Duration time_left,
                        Duration now);

/// @brief True if a turn that begins now can be recorded before the caller's
/// deadline, with some margin for an outage that lasts longer than expected.
bool CanBeRecordedInTime(const OutageEstimate& estimate,
                         Duration time_left,
                         Duration now);

/// @brief Returns when a caller that was refused for the outage should come
/// back: after the store's expected return, spread over half of the wait again,
/// at most a second, so that the callers don't all return at the same moment.
/// @param spread from 0 to 1, drawn for each refusal.
/// @param most the longest time that the caller waits. A later time is useless
/// to it, so it is told to come back as late as it may.
Duration RetryAfterOutage(Duration left, Duration most, double spread);

}  // namespace celerykeel
