#include "celerykeel/core/rate_borrower.h"

#include <doctest/doctest.h>

#include <cstddef>  // for size_t
#include <vector>   // for std::vector

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RateShare kOrchard{"orchard", 0};
const RateShare kKiln{"kiln", 0};

RateBorrower WithLoan(const RateShare& share, double tokens, Duration now) {
  RateBorrower borrower;
  const RequestedLoan requested = RequestLoan(borrower, share, tokens, 1, now);
  ApplyGrant(borrower, share, requested.id.request, tokens, now);
  return borrower;
}

TEST_CASE("an unused loan is returned before it expires") {
  const Duration start = seconds(10);
  RateBorrower borrower = WithLoan(kOrchard, 1, start);
  CHECK(ReviewShare(borrower, kOrchard, start + milliseconds(300)).empty());
  const auto reports =
      ReviewShare(borrower, kOrchard, start + milliseconds(650));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].closed);
  CHECK(reports[0].tokens == 1);
  CHECK(FreeTokens(borrower, kOrchard, start + milliseconds(650)) == 0);
}

// Guards against reports on one team's loans that are sent to another team's
// home and are lost.
TEST_CASE("a review of one share does not consume the reports of others") {
  const Duration start = seconds(10);
  RateBorrower borrower = WithLoan(kOrchard, 1, start);
  const RequestedLoan requested = RequestLoan(borrower, kKiln, 1, 1, start);
  ApplyGrant(borrower, kKiln, requested.id.request, 1, start);
  REQUIRE(UseToken(borrower, kOrchard, start));
  REQUIRE(UseToken(borrower, kKiln, start));
  const auto of_kiln = ReviewShare(borrower, kKiln, start + milliseconds(60));
  REQUIRE(of_kiln.size() == 1);
  CHECK(of_kiln[0].share == kKiln);
  const auto rest = ReviewLoans(borrower, start + milliseconds(60));
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].share == kOrchard);
}

// Guards against a call that takes a token before its budget is checked and
// never returns it: a program that loops beyond its budget then uses up its
// team's rate.
TEST_CASE("a request that is not run costs its team no tokens") {
  const Duration start = seconds(10);
  RateBorrower borrower = WithLoan(kOrchard, 1, start);
  for (int i = 0; i < 60; ++i) {
    const auto token = ReserveToken(borrower, kOrchard, start);
    REQUIRE(token);
    CHECK_FALSE(ReserveToken(borrower, kOrchard, start));
    ReturnReserved(borrower, *token);
  }
  CHECK(FreeTokens(borrower, kOrchard, start) == 1);
  const auto used = ReserveToken(borrower, kOrchard, start);
  REQUIRE(used);
  UseReserved(borrower, *used);
  CHECK_FALSE(ReserveToken(borrower, kOrchard, start));
}

TEST_CASE(
    "a reserved token counts as lent until its request's outcome is known") {
  const Duration start = seconds(10);
  RateBorrower borrower = WithLoan(kOrchard, 1, start);
  const auto token = ReserveToken(borrower, kOrchard, start);
  REQUIRE(token);
  CHECK(ReviewShare(borrower, kOrchard, start + milliseconds(60)).empty());
  SUBCASE("it is used: the loan is reported as used up") {
    UseReserved(borrower, *token);
    const auto reports =
        ReviewShare(borrower, kOrchard, start + milliseconds(120));
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].closed);
    CHECK(reports[0].tokens == 0);
  }
  SUBCASE("its loan is due for return: it is closed and the token is lost") {
    const auto reports =
        ReviewShare(borrower, kOrchard, start + milliseconds(900));
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].closed);
    CHECK(reports[0].tokens == 0);
    ReturnReserved(borrower, *token);
    CHECK(FreeTokens(borrower, kOrchard, start + milliseconds(900)) == 0);
  }
}

// Guards against a request sent on a loan that has expired at its home, after
// the call waited for the store or the process was suspended.
TEST_CASE("a reserved token is invalid once its loan has expired") {
  const Duration start = seconds(10);
  RateBorrower borrower = WithLoan(kOrchard, 1, start);
  const auto token = ReserveToken(borrower, kOrchard, start);
  REQUIRE(token);
  CHECK(IsStillReserved(borrower, *token, start + milliseconds(990)));
  CHECK_FALSE(IsStillReserved(borrower, *token, start + kLoanValidity));
  ReviewShare(borrower, kOrchard, start + milliseconds(900));
  CHECK_FALSE(IsStillReserved(borrower, *token, start + milliseconds(990)));
}

TEST_CASE("a token made of parts of loans is returned to these loans") {
  const Duration start = seconds(10);
  RateBorrower borrower = WithLoan(kOrchard, 0.75, start);
  const RequestedLoan requested =
      RequestLoan(borrower, kOrchard, 0.75, 1, start);
  ApplyGrant(borrower, kOrchard, requested.id.request, 0.75, start);
  const auto token = ReserveToken(borrower, kOrchard, start);
  REQUIRE(token);
  CHECK(token->parts.size() == 2);
  CHECK(FreeTokens(borrower, kOrchard, start) == doctest::Approx(0.5));
  ReturnReserved(borrower, *token);
  CHECK(FreeTokens(borrower, kOrchard, start) == doctest::Approx(1.5));
}

/// A team's requests, spread over instances that borrow from one home.
struct DistributedTeam {
  RateLimits limits{.rate = 58, .burst = 58};
  bool reports = true;  // use of loans is reported to the home
  RateHome home;
  std::vector<RateBorrower> borrowers;
  int served = 0;
  int refused = 0;
};

void Report(DistributedTeam& team, size_t instance, Duration now) {
  for (const LoanReport& report : ReviewLoans(team.borrowers[instance], now)) {
    if (team.reports) {
      ApplyLoanReport(team.home, report, instance + 1, team.limits, now);
    }
  }
}

void Ask(DistributedTeam& team, size_t instance, double needed, Duration now) {
  RateBorrower& borrower = team.borrowers[instance];
  Report(team, instance, now);
  const RequestedLoan requested =
      RequestLoan(borrower, kOrchard, needed, instance + 1, now);
  const LendingStart start{.first = true, .acting_from = {}, .keep = 0};
  const LendResult answer = Lend(team.home, requested, team.limits, start, now);
  ApplyGrant(borrower, kOrchard, requested.id.request, answer.tokens, now);
}

void Request(DistributedTeam& team, size_t instance, Duration now) {
  RateBorrower& borrower = team.borrowers[instance];
  RecordDemand(borrower, kOrchard, now);
  if (!UseToken(borrower, kOrchard, now)) {
    Ask(team, instance, 1, now);
    if (!UseToken(borrower, kOrchard, now)) {
      ++team.refused;
      return;
    }
  }
  ++team.served;
  if (ShouldRequestAhead(borrower, kOrchard, now)) {
    Ask(team, instance, 0, now);
  }
}

// Sends 50 requests within half a second every two seconds, and eight a second
// in between. This never exceeds a rate of 58 with a burst of 58.
void SimulateBursts(DistributedTeam& team) {
  constexpr int kInstances = 13;
  constexpr int kMillis = 20000;
  team.borrowers.resize(kInstances);
  int number = 0;
  for (int at = 0; at < kMillis; ++at) {
    const Duration now = seconds(50) + milliseconds(at);
    const bool in_burst = at % 2000 < 500;
    if (at % (in_burst ? 10 : 125) == 0) {
      // Distributes callers unevenly, like a hash.
      Request(team, static_cast<size_t>(number * number % kInstances), now);
      ++number;
    }
    if (at % 300 == 0) {
      for (size_t i = 0; i < team.borrowers.size(); ++i) {
        Report(team, i, now);
      }
    }
  }
}

TEST_CASE("bursts within the rate, spread over instances, are all served") {
  DistributedTeam team;
  SimulateBursts(team);
  CHECK(team.refused == 0);

  DistributedTeam no_reports;
  no_reports.reports = false;
  SimulateBursts(no_reports);
  CHECK(no_reports.refused > 0);
}

}  // namespace
}  // namespace celerykeel
