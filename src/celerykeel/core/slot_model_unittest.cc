#include "celerykeel/testing/slot_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "celerykeel/testing/property.h"  // for HoldsAlways

namespace celerykeel::testing {
namespace {

using What = SlotStep::What;

// Steps that make progress are drawn more often than failures.
SlotStep MakeStep() {
  SlotStep step;
  step.what = *rc::gen::weightedElement<What>({{6, What::kClaim},
                                               {6, What::kAdmit},
                                               {8, What::kAppend},
                                               {2, What::kAppendAnswerLost},
                                               {2, What::kAppendLost},
                                               {6, What::kHandOut},
                                               {5, What::kEnd},
                                               {8, What::kAskForTurn},
                                               {2, What::kKill},
                                               {1, What::kPowerLoss},
                                               {1, What::kStoreDown},
                                               {2, What::kStoreUp}});
  step.which =
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 8));
  return step;
}

constexpr int kSteps = 100;
constexpr int kRuns = 3000;

bool Holds(WithoutRule rule, uint64_t seed, bool retained = false) {
  return HoldsAlways(
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
