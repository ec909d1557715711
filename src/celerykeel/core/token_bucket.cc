#include "celerykeel/core/token_bucket.h"

#include <algorithm>  // for std::min, std::max
#include <cmath>      // for std::ceil

namespace celerykeel {

namespace {

constexpr Duration kLongest = std::chrono::hours(1);
// Tolerance for rounding errors in sums of fractional tokens.
constexpr double kRounding = 1e-9;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Refill(TokenBucket& bucket, double rate, double ceiling, Duration now) {
  if (now > bucket.updated_at) {
    bucket.level += rate * Seconds(now - bucket.updated_at);
    bucket.updated_at = now;
  }
  bucket.level = std::min(bucket.level, std::max(ceiling, 0.0));
}

tl::expected<void, Duration> Take(TokenBucket& bucket,
                                  double tokens,
                                  double rate) {
  if (bucket.level + kRounding < tokens) {
    return tl::unexpected(AccrualTime(tokens - bucket.level, rate));
  }
  bucket.level = std::max(bucket.level - tokens, 0.0);
  return {};
}

Duration AccrualTime(double tokens, double rate) {
  if (tokens <= 0) {
    return {};
  }
  const double seconds = rate > 0 ? tokens / rate : Seconds(kLongest);
  if (seconds >= Seconds(kLongest)) {
    return kLongest;
  }
  return Duration(static_cast<int64_t>(std::ceil(seconds * 1e9)));
}

}  // namespace celerykeel
