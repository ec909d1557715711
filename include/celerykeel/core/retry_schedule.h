#pragma once

#include <array>    // for std::array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for std::multimap

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Kinds of a team's calls, most favored first.
enum class CallClass : uint8_t {
  kInProgress,  // of a program with earlier calls
  kPlain,       // of no program
  kNewProgram,  // the first of a program
};
inline constexpr size_t kCallClasses = 3;

/// @brief A refused call that was told to return at `due`.
struct RetryBooking {
  uint64_t caller = 0;  // identifies the call and its retry
  CallClass call_class = CallClass::kPlain;
};

/// @brief Calls of one team that were refused and told when to return. Each
/// gets a time of its own, so that they don't return together, and a token is
/// held for it at that time.
struct RetrySchedule {
  std::multimap<Duration, RetryBooking> by_due;
  std::array<uint32_t, kCallClasses> pending{};  // number in `by_due`, by class
  std::array<Duration, kCallClasses> last_due{};
};

/// @brief Max bookings of one team; about 70 bytes each.
inline constexpr size_t kMaxRetryBookings = 1024;

/// @brief Drops the bookings whose callers did not return in time.
void DropMissedReturns(RetrySchedule& schedule, Duration now);

/// @brief Removes the booking of a caller that returned when it was told to.
/// @return false if it has none that is due.
bool TakeBooking(RetrySchedule& schedule, uint64_t caller, Duration now);

/// @brief Number of calls told to return now, which go before a call of
/// `call_class` that was not told so.
double CountDueBefore(const RetrySchedule& schedule,
                      CallClass call_class,
                      Duration now);

/// @brief Number of bookings of this class and of the more favored ones.
double CountPending(const RetrySchedule& schedule, CallClass call_class);

/// @brief Returns when a refused call should return, counted from now. Books
/// the time if the caller can wait that long.
/// @param wait until its class can be served, after earlier bookings.
/// @param interval between two returns of this class.
/// @param max_wait of the caller; zero if unknown, nothing is booked then.
Duration BookReturn(RetrySchedule& schedule,
                    const RetryBooking& booking,
                    Duration wait,
                    Duration interval,
                    Duration max_wait,
                    Duration now);

}  // namespace celerykeel
