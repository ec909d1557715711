#include "celerykeel/core/spent_programs.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const ProgramName kLoop{"orchard", "loop"};
const ProgramName kOther{"orchard", "other"};

TEST_CASE("a refused program is known to have spent its budget") {
  SpentPrograms spent;
  const Duration now = seconds(10);
  CHECK_FALSE(IsKnownSpent(spent, kLoop, 1000, 100, now));
  RecordSpent(spent, kLoop, 1000, 100, now);
  CHECK(IsKnownSpent(spent, kLoop, 1000, 100, now));
  CHECK(IsKnownSpent(spent, kLoop, 1000, 200, now));
  CHECK_FALSE(IsKnownSpent(spent, kOther, 1000, 100, now));
}

TEST_CASE("a turn that may fit into the budget is not refused") {
  SpentPrograms spent;
  const Duration now = seconds(10);
  RecordSpent(spent, kLoop, 1000, 100, now);
  CHECK_FALSE(IsKnownSpent(spent, kLoop, 1000, 99, now));
  CHECK_FALSE(IsKnownSpent(spent, kLoop, 1100, 100, now));
  RecordSpent(spent, kLoop, 1000, 40, now);
  CHECK(IsKnownSpent(spent, kLoop, 1000, 99, now));
}

TEST_CASE("a turn larger than the budget never fits") {
  SpentPrograms spent;
  CHECK(IsKnownSpent(spent, kLoop, 100, 101, seconds(1)));
}

TEST_CASE("unused programs are dropped") {
  SpentPrograms spent;
  RecordSpent(spent, kLoop, 1000, 100, seconds(10));
  DropUnusedSpent(spent, seconds(10) + minutes(1));
  CHECK(IsKnownSpent(spent, kLoop, 1000, 100, seconds(10) + minutes(1)));
  DropUnusedSpent(spent, seconds(10) + minutes(4));
  CHECK(spent.programs.empty());
}

}  // namespace
}  // namespace celerykeel
