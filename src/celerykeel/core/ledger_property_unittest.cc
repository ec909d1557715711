#include <doctest/doctest.h>
#include <rapidcheck.h>  // for RC_ASSERT

#include <functional>  // for std::function
#include <random>      // for std::mt19937_64
#include <set>         // for std::set

#include "celerykeel/core/journal_replay.h"     // for Replay, ReplayedFamilies
#include "celerykeel/core/ledger_simulation.h"  // for LedgerSimulation
#include "celerykeel/testing/property.h"        // for CheckProperty

namespace celerykeel {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kRuns = 3000;
constexpr int kLongRuns = 2000;
constexpr int kStepsPerLongRun = 120;

// Runs a random sequence of events. Returns false if a property was violated.
bool Holds(const std::vector<uint32_t>& choices, const Mutation& mutation) {
  LedgerSimulation world(mutation);
  for (const uint32_t choice : choices) {
    world.Step(choice);
    if (!world.Broken().empty()) {
      return false;
    }
  }
  world.Settle();
  return world.Broken().empty();
}

// Returns the properties violated within a fixed number of random sequences.
std::set<std::string> FindViolations(const Mutation& mutation) {
  std::set<std::string> broken;
  std::mt19937_64 random(kSeed);
  for (int run = 0; run < kLongRuns; ++run) {
    LedgerSimulation world(mutation);
    for (int step = 0; step < kStepsPerLongRun; ++step) {
      world.Step(static_cast<uint32_t>(random()));
    }
    world.Settle();
    broken.insert(world.Broken().begin(), world.Broken().end());
  }
  return broken;
}

TEST_CASE(
    "order, at-most-once, history and budget hold for any sequence of events") {
  CHECK(CheckProperty(
      kSeed,
      [](const std::vector<uint32_t>& choices) {
        RC_ASSERT(Holds(choices, {}));
      },
      kRuns));
}

TEST_CASE("the properties hold in long runs") {
  CHECK(FindViolations({}).empty());
}

TEST_CASE("each property is violated when its mechanism is disabled") {
  SUBCASE("sending a call before its intent is logged violates at-most-once") {
    CHECK(FindViolations({.skip_intents = true}).contains("at most once"));
  }
  SUBCASE("answering before the outcome is logged violates the history") {
    CHECK(FindViolations({.answer_before_append = true}).contains("history"));
  }
  SUBCASE("accepting late results violates the answers") {
    CHECK(FindViolations({.accept_late_results = true}).contains("answers"));
  }
  SUBCASE("without reservations the budget is exceeded") {
    CHECK(FindViolations({.ignore_reservations = true}).contains("budget"));
  }
  SUBCASE("ignoring the lease violates the rule of one owner") {
    CHECK(FindViolations({.ignore_lease = true}).contains("one owner"));
  }
  SUBCASE("versions that do not distinguish owners violate the history") {
    CHECK(FindViolations({.ignore_epoch = true}).contains("history"));
  }
  SUBCASE("calls that do not wait for their predecessor violate the order") {
    CHECK(FindViolations({.ignore_order = true}).contains("order"));
  }
}

}  // namespace
}  // namespace celerykeel
