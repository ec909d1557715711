#include "celerykeel/core/retry_budget.h"

#include <algorithm>  // for std::min

namespace celerykeel {

namespace {

constexpr uint32_t kMaxBackoffShift = 16;  // prevents overflow in Backoff

std::string TeamSubject(std::string_view team) {
  return "team/" + std::string(team);
}

std::string EndpointSubject(std::string_view endpoint) {
  return "endpoint/" + std::string(endpoint);
}

double LevelOf(const RetryBudget& budget, const std::string& subject) {
  const auto found = budget.levels.find(subject);
  return found == budget.levels.end() ? budget.options.burst : found->second;
}

void Earn(RetryBudget& budget, const std::string& subject) {
  const auto found = budget.levels.find(subject);
  if (found == budget.levels.end()) {
    return;
  }
  found->second += budget.options.retries_per_call;
  if (found->second >= budget.options.burst) {
    budget.levels.erase(found);
  }
}

}  // namespace

void EarnRetry(RetryBudget& budget,
               std::string_view team,
               std::string_view endpoint) {
  Earn(budget, TeamSubject(team));
  Earn(budget, EndpointSubject(endpoint));
}

bool TakeRetry(RetryBudget& budget,
               std::string_view team,
               std::string_view endpoint) {
  const std::string by_team = TeamSubject(team);
  const std::string by_endpoint = EndpointSubject(endpoint);
  const double team_level = LevelOf(budget, by_team);
  const double endpoint_level = LevelOf(budget, by_endpoint);
  if (std::min(team_level, endpoint_level) < 1) {
    return false;
  }
  budget.levels[by_team] = team_level - 1;
  budget.levels[by_endpoint] = endpoint_level - 1;
  return true;
}

Duration Backoff(const RetryOptions& options,
                 uint32_t attempts,
                 double jitter) {
  const uint32_t shift =
      std::min(attempts == 0 ? 0 : attempts - 1, kMaxBackoffShift);
  const Duration whole = std::min(
      Duration(options.initial_backoff.count() << shift), options.max_backoff);
  return std::chrono::duration_cast<Duration>(whole * (0.5 + jitter / 2));
}

}  // namespace celerykeel
