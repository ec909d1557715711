#include "celerykeel/testing/slot_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "celerykeel/testing/property.h"  // for CheckProperty

namespace celerykeel::testing {
namespace {

using Kind = SlotStep::Kind;

// Steps that make progress are drawn more often than failures.
SlotStep MakeStep() {
  SlotStep step;
  step.kind = *rc::gen::weightedElement<Kind>({{6, Kind::kClaim},
                                               {6, Kind::kAdmit},
                                               {8, Kind::kAppend},
                                               {2, Kind::kAppendAnswerLost},
                                               {2, Kind::kAppendLost},
                                               {6, Kind::kDeliver},
                                               {5, Kind::kEnd},
                                               {8, Kind::kLookUpTurn},
                                               {2, Kind::kKill},
                                               {1, Kind::kPowerLoss},
                                               {1, Kind::kStoreDown},
                                               {2, Kind::kStoreUp}});
  step.which =
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 8));
  return step;
}

constexpr int kSteps = 100;
constexpr int kRuns = 3000;

bool Holds(WithoutRule rule, uint64_t seed, bool retained = false) {
  return CheckProperty(
      seed,
      [rule, retained] {
        SlotModel model(rule, retained);
        for (int i = 0; i < kSteps; ++i) {
          model.Apply(MakeStep());
          RC_ASSERT(!model.violation);
        }
      },
      kRuns);
}

TEST_CASE("budgets and turns survive failures, and each rule is needed") {
  CHECK(Holds(WithoutRule::kNone, 1));
  CHECK(Holds(WithoutRule::kNone, 2));
  CHECK(Holds(WithoutRule::kNone, 1, true));
  CHECK(Holds(WithoutRule::kNone, 2, true));
  CHECK_FALSE(Holds(WithoutRule::kCover, 1));
  CHECK_FALSE(Holds(WithoutRule::kAssumeSpent, 1));
  CHECK_FALSE(Holds(WithoutRule::kSlackOnce, 1));
  CHECK_FALSE(Holds(WithoutRule::kChargeFreePart, 1));
  CHECK_FALSE(Holds(WithoutRule::kFreePartOnce, 1));
  CHECK_FALSE(Holds(WithoutRule::kFence, 1));
  CHECK_FALSE(Holds(WithoutRule::kConfirm, 1));
  CHECK_FALSE(Holds(WithoutRule::kDurableEnd, 1));
  CHECK_FALSE(Holds(WithoutRule::kSameSequence, 1));
}

}  // namespace
}  // namespace celerykeel::testing
