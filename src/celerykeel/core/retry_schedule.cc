#include "celerykeel/core/retry_schedule.h"

#include <algorithm>  // for std::clamp, std::max

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

// A caller's timer and its way here vary by a few milliseconds.
constexpr Duration kEarly = milliseconds(20);
// A caller that has not returned by then has given up: its retry takes one
// round trip and, on a busy instance, a pause of up to 100 ms.
constexpr Duration kLate = milliseconds(250);
// A shorter wait would have the caller return before the refusal's cause ends,
// as clocks and round trips vary.
constexpr Duration kMinWait = milliseconds(25);
constexpr Duration kMaxWait = std::chrono::seconds(30);

size_t Index(CallClass call_class) {
  return static_cast<size_t>(call_class);
}

}  // namespace

void DropMissedReturns(RetrySchedule& schedule, Duration now) {
  while (!schedule.by_due.empty() &&
         schedule.by_due.begin()->first + kLate < now) {
    --schedule.pending[Index(schedule.by_due.begin()->second.call_class)];
    schedule.by_due.erase(schedule.by_due.begin());
  }
}

bool TakeBooking(RetrySchedule& schedule, uint64_t caller, Duration now) {
  DropMissedReturns(schedule, now);
  for (auto at = schedule.by_due.begin();
       at != schedule.by_due.end() && at->first <= now + kEarly; ++at) {
    if (at->second.caller == caller) {
      --schedule.pending[Index(at->second.call_class)];
      schedule.by_due.erase(at);
      return true;
    }
  }
  return false;
}

double CountDueBefore(const RetrySchedule& schedule,
                      CallClass call_class,
                      Duration now) {
  double count = 0;
  for (const auto& [due, booking] : schedule.by_due) {
    if (due > now + kEarly) {
      break;
    }
    count += due + kLate >= now && booking.call_class <= call_class ? 1 : 0;
  }
  return count;
}

double CountPending(const RetrySchedule& schedule, CallClass call_class) {
  double count = 0;
  for (size_t i = 0; i <= Index(call_class); ++i) {
    count += schedule.pending[i];
  }
  return count;
}

Duration BookReturn(RetrySchedule& schedule,
                    const RetryBooking& booking,
                    Duration wait,
                    Duration interval,
                    Duration max_wait,
                    Duration now) {
  Duration& last_due = schedule.last_due[Index(booking.call_class)];
  const Duration earliest = now + std::clamp(wait, kMinWait, kMaxWait);
  const Duration due =
      std::min(std::max(earliest, last_due + interval), now + kMaxWait);
  if (due - now <= max_wait && schedule.by_due.size() < kMaxRetryBookings) {
    schedule.by_due.emplace(due, booking);
    ++schedule.pending[Index(booking.call_class)];
    last_due = due;
  }
  return due - now;
}

}  // namespace celerykeel
