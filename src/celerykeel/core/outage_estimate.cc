#include "celerykeel/core/outage_estimate.h"

#include <algorithm>  // for std::clamp

namespace celerykeel {

namespace {

constexpr Duration kMaxSpread = std::chrono::seconds(1);
constexpr int kWaitDivisor = 3;  // of the time left, before a refusal
// After the store's return, queued records are written at the next retry.
constexpr Duration kRecordTime = std::chrono::milliseconds(300);

}  // namespace

void BeginOutage(OutageEstimate& estimate, Duration began_at, Duration now) {
  if (!estimate.began_at) {
    estimate.began_at = began_at;
    estimate.noticed_at = now;
  }
}

void EndOutage(OutageEstimate& estimate, Duration now) {
  if (!estimate.began_at) {
    return;
  }
  const Duration length = now - *estimate.began_at;
  estimate.began_at.reset();
  if (length >= kShortestOutage) {
    estimate.lengths[estimate.count++ % estimate.lengths.size()] = length;
  }
}

Duration ExpectedOutageLeft(const OutageEstimate& estimate, Duration now) {
  if (!estimate.began_at) {
    return Duration::zero();
  }
  const Duration so_far = now - *estimate.began_at;
  const size_t known = std::min(estimate.count, estimate.lengths.size());
  Duration sum{};
  int longer = 0;
  for (size_t i = 0; i < known; ++i) {
    if (estimate.lengths[i] > so_far) {
      sum += estimate.lengths[i] - so_far;
      ++longer;
    }
  }
  Duration left = so_far / 3;
  if (longer > 0) {
    left = sum / longer;
  } else if (known == 0 && so_far < kUsualOutage) {
    left = kUsualOutage - so_far;
  }
  return std::clamp(left, kShortestWait, kLongestWait);
}

Duration WorthwhileWait(const OutageEstimate& estimate,
                        Duration time_left,
                        Duration now) {
  const Duration longest = time_left / kWaitDivisor;
  const bool knows_outages = estimate.began_at && estimate.count > 0;
  if (!knows_outages || ExpectedOutageLeft(estimate, now) <= time_left) {
    return longest;
  }
  return std::clamp(estimate.noticed_at + kFirstProbes - now, Duration::zero(),
                    std::max(longest, Duration::zero()));
}

bool CanBeRecordedInTime(const OutageEstimate& estimate,
                         Duration time_left,
                         Duration now) {
  const Duration left = ExpectedOutageLeft(estimate, now);
  return left + left / 4 + kRecordTime <= time_left - time_left / 4;
}

Duration RetryAfterOutage(Duration left, Duration most, double spread) {
  const Duration range = std::min(left / 2, kMaxSpread);
  const Duration later(
      static_cast<Duration::rep>(double(range.count()) * spread));
  if (left >= most) {
    // Not all at the last moment either.
    return std::max(most - later / 4, Duration::zero());
  }
  return std::min(left + later, most);
}

}  // namespace celerykeel
