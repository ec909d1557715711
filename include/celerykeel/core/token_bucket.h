#pragma once

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Parameters of a token bucket.
struct RateLimits {
  double rate = 0;   // tokens per second
  double burst = 0;  // tokens

  friend bool operator==(const RateLimits&, const RateLimits&) = default;
};

struct TokenBucket {
  double level = 0;  // tokens
  Duration updated_at{};
};

/// @brief Adds the tokens accrued since the last update and caps the level at
/// `ceiling` tokens. Adds nothing if `now` is before the last update.
void Refill(TokenBucket& bucket, double rate, double ceiling, Duration now);

/// @brief Takes `tokens` from a bucket that was just refilled, or returns the
/// time until it has that many.
///
///     if (auto taken = Take(bucket, 1, limits.rate); !taken) {
///       RetryAfter(taken.error());
///     }
tl::expected<void, Duration> Take(TokenBucket& bucket,
                                  double tokens,
                                  double rate);

/// @brief Returns the time in which `rate` yields `tokens`, at most one hour,
/// also if `rate` is 0.
Duration AccrualTime(double tokens, double rate);

}  // namespace celerykeel
