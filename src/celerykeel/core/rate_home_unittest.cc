#include <doctest/doctest.h>

#include <memory>   // for std::make_shared
#include <utility>  // for std::move

#include "celerykeel/core/rate_gate.h"  // for RateGate

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RateShare kShare{"orchard", 0};
constexpr RateLimits kLimits{.rate = 10, .burst = 3};
constexpr LendingStart kFirst{.first = true, .acting_from = {}};

RequestedLoan MakeRequest(Incarnation borrower,
                          uint64_t request,
                          double needed) {
  return {.share = kShare,
          .id = {.borrower = borrower, .request = request},
          .needed = needed,
          .wanted = needed};
}

// Guards against tokens that accrue from time zero of the boot clock. The clock
// reads a few seconds right after a boot and hours later on.
TEST_CASE("the first loan of a home does not depend on the clock reading") {
  constexpr RateLimits kSlow{.rate = 0.001, .burst = 2};
  for (const Duration now :
       {Duration::zero(), Duration(seconds(7)), Duration(seconds(420)),
        Duration(std::chrono::hours(300))}) {
    RateHome first;
    CHECK(Lend(first, MakeRequest(2, 1, 2), kSlow, kFirst, now).tokens == 2);
    CHECK(Lend(first, MakeRequest(2, 2, 1), kSlow, kFirst, now).tokens == 0);

    RateHome successor;
    const LendingStart after{.first = false, .acting_from = now + seconds(5)};
    CHECK(Lend(successor, MakeRequest(2, 1, 1), kSlow, after, now).tokens == 0);
    CHECK(Lend(successor, MakeRequest(2, 2, 1), kSlow, after, now + seconds(5))
              .tokens == 0);
  }
}

// Guards against a level that is refilled to the full burst for the time in
// which tokens were still lent. The property test of the fleet found this
// fault.
TEST_CASE("a loan counts against the burst while it is lent") {
  RateHome home;
  const Duration start = seconds(100);
  CHECK(Lend(home, MakeRequest(2, 1, 3), kLimits, kFirst, start).tokens == 3);
  ApplyLoanReport(home, {kShare, 1, 0, true}, 2, kLimits,
                  start + milliseconds(500));
  const LendResult answer = Lend(home, MakeRequest(2, 2, 1), kLimits, kFirst,
                                 start + milliseconds(500));
  CHECK(answer.tokens == 0);
  CHECK(answer.retry_after == milliseconds(100));
}

TEST_CASE("a duplicated return is credited once") {
  RateHome home;
  const Duration start = seconds(100);
  Lend(home, MakeRequest(2, 1, 3), kLimits, kFirst, start);
  const LoanReport closed{kShare, 1, 2, true};
  ApplyLoanReport(home, closed, 2, kLimits, start);
  ApplyLoanReport(home, closed, 2, kLimits, start);
  CHECK(home.buckets.at(kShare).bucket.level == 2);
}

TEST_CASE("a grant counts once, and not after it has expired") {
  RateBorrower borrower;
  const Duration start = seconds(100);
  const auto first = RequestLoan(borrower, kShare, 1, 2, start).id.request;
  ApplyGrant(borrower, kShare, first, 1, start);
  ApplyGrant(borrower, kShare, first, 1, start);
  CHECK(UseToken(borrower, kShare, start));
  CHECK_FALSE(UseToken(borrower, kShare, start));
  const auto second = RequestLoan(borrower, kShare, 1, 2, start).id.request;
  ApplyGrant(borrower, kShare, second, 1, start);
  CHECK_FALSE(UseToken(borrower, kShare, start + kLoanValidity));
  const auto third = RequestLoan(borrower, kShare, 1, 2, start).id.request;
  ApplyGrant(borrower, kShare, third, 1, start + kLoanValidity);
  CHECK(borrower.shares.at(kShare).loans.count(third) == 0);
}

std::shared_ptr<const FleetState> RosterOf(Incarnation only, Offset version) {
  FleetState state;
  state.roster_version = version;
  state.members[only].join.incarnation = only;
  state.departed[99].departed_at = 1;
  state.in_force.teams["orchard"].rate = kLimits.rate;
  state.in_force.teams["orchard"].burst = kLimits.burst;
  return std::make_shared<const FleetState>(std::move(state));
}

bool LendsNow(RateGate& gate, Duration now) {
  RateActions actions;
  Receive(gate, 7, RequestedLoan(MakeRequest(7, 1, 1)), now, actions);
  return std::get<LoanGrant>(actions.sends.at(0).note).tokens > 0;
}

// Other members may have been the home during the suspension, although the
// rosters before and after it both make this gate the home.
TEST_CASE("a home suspended during roster changes starts empty") {
  RateGate gate;
  RateActions actions;
  UpdateView(gate, 1, RosterOf(1, 2), seconds(100), seconds(100), actions);
  UpdateView(gate, 1, RosterOf(1, 2), seconds(109), seconds(109), actions);
  UpdateView(gate, 1, RosterOf(1, 2), seconds(110), seconds(110), actions);
  CHECK(LendsNow(gate, seconds(110)));
  UpdateView(gate, 1, RosterOf(1, 8), seconds(120), seconds(120), actions);
  CHECK_FALSE(LendsNow(gate, seconds(120)));
  UpdateView(gate, 1, RosterOf(1, 8), seconds(127), seconds(127), actions);
  CHECK(LendsNow(gate, seconds(127)));
}

// The steward passes a gate the roster before the gate has joined, and with a
// stale time.
TEST_CASE(
    "a member of a new fleet lends once the others have announced a release") {
  FleetState state;
  state.members[1].fence = 1;
  state.members[2].fence = 2;
  state.roster_version = 2;
  state.in_force.teams["orchard"].rate = kLimits.rate;
  state.in_force.teams["orchard"].burst = kLimits.burst;
  const auto before = std::make_shared<const FleetState>();
  const auto roster = std::make_shared<const FleetState>(state);
  const Incarnation home = HomeOf(state, kShare).value();
  RateGate gate;
  RateGate other;
  RateActions actions;
  UpdateView(gate, 0, before, seconds(0), seconds(100), actions);
  UpdateView(gate, home, roster, seconds(100), seconds(100), actions);
  CHECK_FALSE(LendsNow(gate, seconds(100)));
  actions.sends.clear();
  UpdateView(other, 0, before, seconds(0), seconds(100), actions);
  UpdateView(other, 3 - home, roster, seconds(100), seconds(100), actions);
  REQUIRE(actions.sends.size() == 1);
  RateActions none;
  Receive(gate, 3 - home, actions.sends[0].note, seconds(100), none);
  CHECK(LendsNow(gate, seconds(100)));
}

}  // namespace
}  // namespace celerykeel
