#include "celerykeel/testing/slot_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "celerykeel/testing/property.h"  // for CheckProperty

namespace celerykeel::testing {
namespace {

using Kind = SlotStep::Kind;

// Steps that make progress are drawn more often than failures.
// @param extra a kind of step that is not drawn otherwise.
SlotStep MakeStep(std::optional<Kind> extra) {
  SlotStep step;
  step.kind = *rc::gen::weightedElement<Kind>({{6, Kind::kClaim},
                                               {6, Kind::kAdmit},
                                               {8, Kind::kAppend},
                                               {2, Kind::kAppendAnswerLost},
                                               {2, Kind::kAppendLost},
                                               {6, Kind::kDeliver},
                                               {5, Kind::kEnd},
                                               {8, Kind::kLookUpTurn},
                                               {3, Kind::kEndCover},
                                               {2, Kind::kKill},
                                               {1, Kind::kPowerLoss},
                                               {1, Kind::kStoreDown},
                                               {2, Kind::kStoreUp}});
  constexpr int kOthersPerExtra = 12;
  if (extra && *rc::gen::inRange(0, kOthersPerExtra) == 0) {
    step.kind = *extra;
  }
  step.which =
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 8));
  return step;
}

constexpr int kSteps = 100;
constexpr int kRuns = 3000;

bool Holds(WithoutRule rule,
           uint64_t seed,
           TurnKinds kinds = TurnKinds::kPlain,
           std::array<uint64_t, 2> sizes = {10, 10},
           std::optional<Kind> extra = std::nullopt) {
  return CheckProperty(
      seed,
      [rule, kinds, sizes, extra] {
        SlotModel model(rule, kinds, sizes);
        for (int i = 0; i < kSteps; ++i) {
          model.Apply(MakeStep(extra));
          RC_ASSERT(!model.violation);
        }
      },
      kRuns);
}

TEST_CASE("budgets and turns survive failures, and each rule is needed") {
  CHECK(Holds(WithoutRule::kNone, 1));
  CHECK(Holds(WithoutRule::kNone, 2));
  CHECK(Holds(WithoutRule::kNone, 1, TurnKinds::kRetained));
  CHECK(Holds(WithoutRule::kNone, 2, TurnKinds::kRetained));
  CHECK(Holds(WithoutRule::kNone, 3, TurnKinds::kPlain, {14, 6}));
  CHECK(Holds(WithoutRule::kNone, 3, TurnKinds::kRetained, {14, 6}));
  CHECK_FALSE(Holds(WithoutRule::kCover, 1));
  CHECK_FALSE(Holds(WithoutRule::kAssumeSpent, 1));
  CHECK_FALSE(Holds(WithoutRule::kSlackOnce, 1));
  CHECK_FALSE(Holds(WithoutRule::kChargeFreePart, 1));
  CHECK_FALSE(Holds(WithoutRule::kFreePartOnce, 1));
  CHECK_FALSE(Holds(WithoutRule::kChargeSecondPart, 1));
  CHECK_FALSE(Holds(WithoutRule::kSecondPartLimit, 1));
  CHECK_FALSE(Holds(WithoutRule::kDurableCover, 1));
  CHECK_FALSE(Holds(WithoutRule::kFence, 1));
  CHECK_FALSE(Holds(WithoutRule::kConfirm, 1, TurnKinds::kRetained));
  CHECK_FALSE(Holds(WithoutRule::kDurableEnd, 1, TurnKinds::kRetained));
  CHECK_FALSE(Holds(WithoutRule::kSameSequence, 1));
}

// Guards against a charge that depends on the turn that a program sends first
// after a takeover: it may be of another kind, or state another budget, than
// those before.
TEST_CASE("budgets survive failures of programs with turns of both kinds") {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    CHECK(Holds(WithoutRule::kNone, seed, TurnKinds::kMixed));
    CHECK(Holds(WithoutRule::kNone, seed, TurnKinds::kMixed, {14, 6}));
    CHECK(Holds(WithoutRule::kNone, seed, TurnKinds::kMixed, {6, 2}));
  }
  CHECK(Holds(WithoutRule::kNone, 5, TurnKinds::kMixed, {10, 10},
              Kind::kAbandon));
}

// A holder may take the relay of a turn for gone that still delivers.
TEST_CASE("budgets survive failures and abandoned turns") {
  CHECK(Holds(WithoutRule::kNone, 1, TurnKinds::kPlain, {10, 10},
              Kind::kAbandon));
  CHECK(Holds(WithoutRule::kNone, 2, TurnKinds::kRetained, {10, 10},
              Kind::kAbandon));
  CHECK(
      Holds(WithoutRule::kNone, 3, TurnKinds::kPlain, {14, 6}, Kind::kAbandon));
  CHECK(Holds(WithoutRule::kNone, 4, TurnKinds::kRetained, {14, 6},
              Kind::kAbandon));
}

// A slow admission is requested again, and the second request is processed
// late.
TEST_CASE("budgets survive failures and repeated admissions") {
  CHECK(Holds(WithoutRule::kNone, 1, TurnKinds::kPlain, {10, 10},
              Kind::kAdmitAgain));
  CHECK(Holds(WithoutRule::kNone, 2, TurnKinds::kRetained, {14, 6},
              Kind::kAdmitAgain));
  CHECK_FALSE(Holds(WithoutRule::kRefuseEnded, 1, TurnKinds::kPlain, {10, 10},
                    Kind::kAdmitAgain));
}

// Applies the steps to instance 0; `turn` is the index of a turn.
void ApplyToTurn(SlotModel& model,
                 const std::vector<Kind>& kinds,
                 uint32_t turn = 0) {
  for (const Kind kind : kinds) {
    model.Apply({.kind = kind, .which = 2 * turn});
  }
}

// Guards against two turns of lost instances whose tokens nobody counts.
TEST_CASE("only the first abandoned turn of a program counts nothing") {
  const auto violation = [](WithoutRule rule) {
    SlotModel model(rule, TurnKinds::kPlain);
    ApplyToTurn(model, {Kind::kClaim});
    for (uint32_t turn = 0; turn < 2; ++turn) {
      ApplyToTurn(model, {Kind::kAdmit, Kind::kAppend, Kind::kDeliver}, turn);
      ApplyToTurn(model, {Kind::kAbandon, Kind::kAppend});
    }
    for (uint32_t turn = 2; turn < 6; ++turn) {
      ApplyToTurn(model, {Kind::kAdmit, Kind::kAppend, Kind::kDeliver}, turn);
    }
    return model.violation;
  };
  CHECK_FALSE(violation(WithoutRule::kNone));
  CHECK(violation(WithoutRule::kAbandonOnce));
}

// Guards against a successor that grants the slack again which an abandoned
// turn has used.
TEST_CASE("an abandoned turn ends when its record is durable") {
  const auto violation = [](WithoutRule rule) {
    SlotModel model(rule, TurnKinds::kPlain);
    ApplyToTurn(model,
                {Kind::kClaim, Kind::kAdmit, Kind::kAdmit, Kind::kAdmit,
                 Kind::kAppend, Kind::kDeliver, Kind::kAbandon, Kind::kAdmit});
    for (uint32_t turn = 1; turn < 4; ++turn) {
      ApplyToTurn(model, {Kind::kDeliver}, turn);
    }
    ApplyToTurn(model, {Kind::kKill, Kind::kClaim, Kind::kAppend, Kind::kAdmit,
                        Kind::kAppend});
    for (uint32_t turn = 3; turn < 5; ++turn) {
      ApplyToTurn(model, {Kind::kDeliver}, turn);
    }
    return model.violation;
  };
  CHECK_FALSE(violation(WithoutRule::kNone));
  CHECK(violation(WithoutRule::kDurableAbandon));
}

// Guards against a cover that is forgotten together with what a program was
// charged: its large turn was refused, so it had no record.
TEST_CASE("a cover ends with records of the programs that were charged") {
  const auto violation = [](WithoutRule rule) {
    SlotModel model(rule, TurnKinds::kPlain, {12, 5});
    const auto apply = [&model](const std::vector<Kind>& kinds,
                                uint32_t which = 0) {
      for (const Kind kind : kinds) {
        model.Apply({.kind = kind, .which = which});
      }
    };
    const auto run_small_turns = [&] {
      apply({Kind::kAdmit, Kind::kAdmit}, 2);
      apply({Kind::kDeliver});
      apply({Kind::kDeliver}, 2);
    };
    apply({Kind::kClaim});
    run_small_turns();
    apply({Kind::kAdmit});
    apply({Kind::kDeliver}, 4);
    for (int i = 0; i < 4; ++i) {
      apply({Kind::kPowerLoss, Kind::kClaim, Kind::kAppend});
      run_small_turns();
      // The next holder ends the cover of this one.
      apply({Kind::kPowerLoss, Kind::kClaim, Kind::kAdmit, Kind::kEndCover,
             Kind::kAppend, Kind::kAppend, Kind::kAppend});
    }
    return model.violation;
  };
  CHECK_FALSE(violation(WithoutRule::kNone));
  CHECK(violation(WithoutRule::kRecordsBeforeCoverEnd));
}

}  // namespace
}  // namespace celerykeel::testing
