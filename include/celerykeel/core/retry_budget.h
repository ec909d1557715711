#pragma once

#include <cstdint>      // for uint32_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

struct RetryOptions {
  double earned_per_call = 0.1;  // retries that a first attempt pays for
  double burst = 10;             // retries
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(2);
};

/// @brief Bounds retries to a share of the first attempts, so that a failing
/// endpoint is not buried under them. A subject that is not there has its
/// whole burst.
struct RetryBudget {
  RetryOptions options;
  std::map<std::string, double> levels;  // retries left, by subject
};

/// @brief A first attempt, which pays for part of a later retry.
void EarnRetry(RetryBudget& budget,
               std::string_view team,
               std::string_view endpoint);

/// @brief Takes a retry from the team and from the endpoint that failed.
/// @return false if either has none left; then nothing is taken.
bool TakeRetry(RetryBudget& budget,
               std::string_view team,
               std::string_view endpoint);

/// @brief Time before the retry that follows `attempts` attempts: it doubles,
/// and `jitter` (from 0 to 1) spreads it from a half to the whole.
Duration Backoff(const RetryOptions& options, uint32_t attempts, double jitter);

}  // namespace celerykeel
