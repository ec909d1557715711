#include <doctest/doctest.h>
#include <rapidcheck.h>  // for rc::check

#include <functional>  // for std::function
#include <random>      // for std::mt19937_64
#include <set>         // for std::set

#include "celerykeel/core/journal_replay.h"  // for Replay, FamilyImages
#include "celerykeel/core/ledger_world.h"    // for LedgerWorld

namespace celerykeel {
namespace {

constexpr char kConfiguration[] = "seed=20261204 max_success=3000 max_size=80";

// Runs a drawn sequence of events; false if a property broke.
bool Holds(const std::vector<uint32_t>& choices, const Mutation& mutation) {
  LedgerWorld world(mutation);
  for (const uint32_t choice : choices) {
    world.Step(choice);
    if (!world.Broken().empty()) {
      return false;
    }
  }
  world.Settle();
  return world.Broken().empty();
}

// What `world` finds broken within a fixed number of drawn sequences.
std::set<std::string> FindBroken(const Mutation& mutation) {
  std::set<std::string> broken;
  std::mt19937_64 random(20261204);
  for (int run = 0; run < 2000; ++run) {
    LedgerWorld world(mutation);
    for (int step = 0; step < 120; ++step) {
      world.Step(static_cast<uint32_t>(random()));
    }
    world.Settle();
    broken.insert(world.Broken().begin(), world.Broken().end());
  }
  return broken;
}

TEST_CASE("order, at most once, history and budget hold over any events") {
  setenv("RC_PARAMS", kConfiguration, 1);
  CHECK(rc::check([](const std::vector<uint32_t>& choices) {
    RC_ASSERT(Holds(choices, {}));
  }));
}

TEST_CASE("long runs hold too") {
  CHECK(FindBroken({}).empty());
}

TEST_CASE("each property breaks when its mechanism is off") {
  SUBCASE("an intent that is not awaited breaks at most once") {
    CHECK(FindBroken({.skip_intents = true}).contains("at most once"));
  }
  SUBCASE("an outcome that is not awaited breaks the history") {
    CHECK(FindBroken({.answer_before_append = true}).contains("history"));
  }
  SUBCASE("late results that are taken break the answers") {
    CHECK(FindBroken({.accept_late_results = true}).contains("answers"));
  }
  SUBCASE("a budget that is not reserved is overrun") {
    CHECK(FindBroken({.forget_reservations = true}).contains("budget"));
  }
  SUBCASE("a lease that is not checked breaks the one owner") {
    CHECK(FindBroken({.ignore_lease = true}).contains("one owner"));
  }
  SUBCASE("versions that do not tell owners apart break the history") {
    CHECK(FindBroken({.ignore_epoch = true}).contains("history"));
  }
  SUBCASE("calls that do not wait for their predecessor break the order") {
    CHECK(FindBroken({.skip_order = true}).contains("order"));
  }
}

}  // namespace
}  // namespace celerykeel
