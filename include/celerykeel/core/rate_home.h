#pragma once

#include <cstdint>   // for uint64_t
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string
#include <tuple>     // for std::tie
#include <vector>    // for std::vector

#include "celerykeel/core/identity.h"      // for Incarnation
#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/core/token_bucket.h"  // for TokenBucket, RateLimits

namespace celerykeel {

/// @brief One of the shares into which a team's rate is split. Each share has
/// its own home.
struct RateShare {
  std::string team;
  uint32_t share = 0;

  friend bool operator==(const RateShare&, const RateShare&) = default;
  friend bool operator<(const RateShare& a, const RateShare& b) {
    return std::tie(a.team, a.share) < std::tie(b.team, b.share);
  }
};

/// @brief Identifies a loan by its borrower and the borrower's request number.
struct LoanId {
  Incarnation borrower = 0;
  uint64_t request = 0;

  friend bool operator==(const LoanId&, const LoanId&) = default;
  friend bool operator<(const LoanId& a, const LoanId& b) {
    return std::tie(a.borrower, a.request) < std::tie(b.borrower, b.request);
  }
};

/// @brief A loan as recorded by the home.
struct OutstandingLoan {
  double tokens = 0;  // that the borrower may still hold
  double ahead = 0;   // part of `tokens` lent ahead of requests
  Duration expires_at{};
};

/// @brief Tokens of a share: available at the home, lent, and possibly lent by
/// a previous home. Their sum never exceeds the burst.
struct HomeBucket {
  TokenBucket bucket;
  std::map<LoanId, OutstandingLoan> loans;
  double previous_home_tokens = 0;  // tokens lent by a previous home
  Duration previous_home_until{};
};

/// @brief State of an instance as the home of shares.
struct RateHome {
  std::map<RateShare, HomeBucket> buckets;  // absent: full, nothing lent
};

/// @brief A borrower's request for a loan.
struct RequestedLoan {
  RateShare share;
  LoanId id;
  double needed = 0;  // tokens for a request that is waiting
  double wanted = 0;  // total tokens, including `needed`
};

/// @brief The home's decision on a RequestedLoan.
struct LendResult {
  double tokens = 0;
  Duration retry_after{};                // set if the request is refused
  std::vector<Incarnation> recall_from;  // borrowers to recall loans from
};

/// @brief A borrower's report that a loan was partly used or is closed.
struct LoanReport {
  RateShare share;
  uint64_t request = 0;
  double tokens = 0;  // closed: returned; otherwise: still held
  bool closed = false;
};

/// @brief State of a share that a home hands over to the next one.
struct ShareHandover {
  RateShare share;
  double level = 0;  // tokens available at the home
  double lent = 0;   // tokens lent, also by earlier homes
};

/// @brief Validity of a loan, counted from the borrower's request.
inline constexpr Duration kLoanValidity = std::chrono::seconds(1);
/// @brief Extra time for which the home counts a loan as lent, because clocks
/// of the home and the borrower may run at different rates.
inline constexpr Duration kLoanMargin = std::chrono::milliseconds(100);

/// @brief Initial conditions for a home that has no bucket for a share.
struct LendingStart {
  bool first = false;      // no previous home: the bucket starts full
  Duration acting_from{};  // otherwise: no previous home lends after this
                           // time; the bucket starts empty
  double keep = 0;         // tokens to hold back from lending
};

/// @brief Lends tokens of a share.
/// @param start `keep` always applies; the other fields are used only if the
/// home has no bucket for the share.
LendResult Lend(RateHome& home,
                const RequestedLoan& requested,
                const RateLimits& limits,
                const LendingStart& start,
                Duration now);

/// @brief Returns the borrowers with the most tokens lent ahead of requests, if
/// these and the level cover what is needed.
/// @param level tokens that may be lent now.
/// @param most number of borrowers returned at most.
std::vector<Incarnation> BorrowersWithSpareTokens(
    const RateHome& home,
    const RequestedLoan& requested,
    double level,
    size_t most);

/// @brief Returns the tokens available at the home at `now`, or nothing if the
/// home has no bucket for the share.
std::optional<double> LevelAtHome(RateHome& home,
                                  const RateShare& share,
                                  const RateLimits& limits,
                                  Duration now);

/// @brief Applies a borrower's report of the tokens of a loan that it still
/// holds or returns. Reports may arrive late, twice or out of order.
void ApplyLoanReport(RateHome& home,
                     const LoanReport& report,
                     Incarnation borrower,
                     const RateLimits& limits,
                     Duration now);

/// @brief Removes the bucket of a share and returns its state, or nothing if
/// the home has no bucket for the share.
std::optional<ShareHandover> HandOver(RateHome& home,
                                      const RateShare& share,
                                      const RateLimits& limits,
                                      Duration now);

/// @brief Creates the bucket of a share from a previous home's state. Does
/// nothing if the share already has a bucket.
void TakeOver(RateHome& home, const ShareHandover& handover, Duration now);

/// @brief Drops the bucket of a share that is full and has no loans, so that
/// idle teams use no memory.
void ForgetIdle(RateHome& home,
                const RateShare& share,
                const RateLimits& limits,
                Duration now);

}  // namespace celerykeel
