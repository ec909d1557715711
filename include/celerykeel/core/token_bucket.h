#pragma once

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief A rate with a burst.
struct RateLimits {
  double rate = 0;   // tokens per second
  double burst = 0;  // tokens

  friend bool operator==(const RateLimits&, const RateLimits&) = default;
};

struct TokenBucket {
  double level = 0;  // tokens
  Duration updated_at{};
};

/// @brief Adds what came since the last update, up to `ceiling` tokens. A
/// level above the ceiling falls to it; time that runs back adds nothing.
void Refill(TokenBucket& bucket, double rate, double ceiling, Duration now);

/// @brief Takes `tokens` from a bucket that was refilled, or says how long it
/// takes until they are there.
///
///     if (auto taken = Take(bucket, 1, limits.rate); !taken) {
///       RetryAfter(taken.error());
///     }
tl::expected<void, Duration> Take(TokenBucket& bucket,
                                  double tokens,
                                  double rate);

/// @brief Time in which `rate` makes `tokens`; an hour if it never does.
Duration TimeFor(double tokens, double rate);

}  // namespace celerykeel
