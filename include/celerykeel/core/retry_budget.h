#pragma once

#include <cstdint>      // for uint32_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

struct RetryOptions {
  double retries_per_call = 0.1;  // retries earned by a first attempt
  double burst = 10;              // max retries saved up
  Duration initial_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
};

/// @brief Limits retries to a share of the first attempts, so that retries do
/// not overload a failing endpoint. A team or endpoint without an entry has its
/// full burst.
struct RetryBudget {
  RetryOptions options;
  std::map<std::string, double> levels;  // retries left, by team or endpoint
};

/// @brief Records a first attempt, which earns a fraction of a later retry.
void EarnRetry(RetryBudget& budget,
               std::string_view team,
               std::string_view endpoint);

/// @brief Takes one retry from the team and one from the endpoint that failed.
/// @return false if either has none left; neither is then charged.
bool TakeRetry(RetryBudget& budget,
               std::string_view team,
               std::string_view endpoint);

/// @brief Returns the delay before the retry that follows `attempts` attempts.
/// The delay doubles with each attempt up to `max_backoff`. `jitter` (from
/// 0 to 1) scales it between half and full length.
Duration Backoff(const RetryOptions& options, uint32_t attempts, double jitter);

}  // namespace celerykeel
