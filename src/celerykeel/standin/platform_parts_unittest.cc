#include <doctest/doctest.h>

#include "celerykeel/standin/instance_list.h"    // for InstanceList
#include "celerykeel/standin/lagged.h"           // for Lagged
#include "celerykeel/standin/platform_faults.h"  // for PlatformFaults
#include "celerykeel/standin/rate_meter.h"       // for RateMeter

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a meter lets through its burst, then its rate") {
  RateMeter meter = MakeRateMeter(10, 2, seconds(1));
  CHECK(TakeUnits(meter, 2, seconds(1)) == Duration::zero());
  CHECK(TakeUnits(meter, 1, seconds(1)) == milliseconds(100));
  CHECK(TakeUnits(meter, 1, seconds(1) + milliseconds(100)) ==
        Duration::zero());
}

TEST_CASE("a lagging value shows its change after the lag") {
  Lagged<int> lagged{.lag = seconds(2), .oldest = 0, .versions = {}};
  SetLagged(lagged, 1, seconds(10));
  SetLagged(lagged, 2, seconds(11));
  CHECK(ReadLagged(lagged, seconds(11)) == 0);
  CHECK(ReadLagged(lagged, seconds(12)) == 1);
  CHECK(NewestOf(lagged) == 2);
  CHECK(ReadLagged(lagged, seconds(13)) == 2);
  CHECK(NewestOf(lagged) == 2);
}

TEST_CASE("a cut meets one client, an outage all of them") {
  PlatformFaults faults;
  faults.cuts["utne-1"] = FaultMode::kClose;
  CHECK(FindFault(faults, "utne-1") == FaultMode::kClose);
  CHECK_FALSE(FindFault(faults, "utne-2").has_value());
  faults.outage = FaultMode::kRefuse;
  CHECK(FindFault(faults, "utne-2") == FaultMode::kRefuse);
}

TEST_CASE("lost answers are counted by client, or for any") {
  PlatformFaults faults;
  faults.lost["utne-1"] = 1;
  CHECK_FALSE(TakeLostAnswer(faults, "utne-2"));
  CHECK(TakeLostAnswer(faults, "utne-1"));
  CHECK_FALSE(TakeLostAnswer(faults, "utne-1"));
  faults.lost[""] = 1;
  CHECK(TakeLostAnswer(faults, "utne-2"));
}

TEST_CASE("the instance list is JSON by name") {
  CHECK(ParseInstanceState("leaving") == InstanceState::kLeaving);
  CHECK_FALSE(ParseInstanceState("dead").has_value());
  CHECK(RenderInstanceList({{"utne-1", InstanceState::kGone}}) ==
        R"([{"instance":"utne-1","state":"gone"}])");
}

}  // namespace
}  // namespace celerykeel
