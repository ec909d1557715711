#include "celerykeel/core/retry_budget.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

int TakeAll(RetryBudget& budget,
            std::string_view team,
            std::string_view endpoint) {
  int taken = 0;
  while (TakeRetry(budget, team, endpoint)) {
    ++taken;
  }
  return taken;
}

TEST_CASE("retries are limited by the burst and a share of first attempts") {
  RetryBudget budget;
  CHECK(TakeAll(budget, "coop", "engine-1") == 10);
  for (int i = 0; i < 25; ++i) {
    EarnRetry(budget, "coop", "engine-1");
  }
  CHECK(TakeAll(budget, "coop", "engine-1") == 2);
}

TEST_CASE("a team without retries left does not use up those of an endpoint") {
  RetryBudget budget;
  CHECK(TakeAll(budget, "coop", "engine-1") == 10);
  CHECK_FALSE(TakeRetry(budget, "coop", "engine-2"));
  CHECK(TakeAll(budget, "orchard", "engine-2") == 10);
}

TEST_CASE("a team or endpoint with a full burst needs no entry") {
  RetryBudget budget;
  CHECK(TakeRetry(budget, "coop", "engine-1"));
  for (int i = 0; i < 11; ++i) {
    EarnRetry(budget, "coop", "engine-1");
  }
  CHECK(budget.levels.empty());
}

TEST_CASE("the backoff doubles up to its max and is spread by jitter") {
  const RetryOptions options;
  CHECK(Backoff(options, 1, 1) == options.initial_backoff);
  CHECK(Backoff(options, 1, 0) == options.initial_backoff / 2);
  CHECK(Backoff(options, 3, 1) == 4 * options.initial_backoff);
  CHECK(Backoff(options, 100, 1) == options.max_backoff);
}

}  // namespace
}  // namespace celerykeel
