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

/// @brief One of the shares into which a team's rate is split; each share has
/// a home of its own.
struct RateShare {
  std::string team;
  uint32_t share = 0;

  friend bool operator==(const RateShare&, const RateShare&) = default;
  friend bool operator<(const RateShare& a, const RateShare& b) {
    return std::tie(a.team, a.share) < std::tie(b.team, b.share);
  }
};

/// @brief Names a loan: the borrower and the number of its request.
struct LoanId {
  Incarnation borrower = 0;
  uint64_t request = 0;

  friend bool operator==(const LoanId&, const LoanId&) = default;
  friend bool operator<(const LoanId& a, const LoanId& b) {
    return std::tie(a.borrower, a.request) < std::tie(b.borrower, b.request);
  }
};

struct LoanOut {
  double tokens = 0;  // that the borrower may still hold
  Duration expires_at{};
};

/// @brief A share's tokens: those at home, those lent, and those that an
/// earlier home may have lent. Together they never exceed the burst.
struct HomeBucket {
  TokenBucket bucket;
  std::map<LoanId, LoanOut> loans;
  double foreign = 0;  // lent by an earlier home
  Duration foreign_until{};
};

/// @brief What a gate lends as the home of shares.
struct RateHome {
  std::map<RateShare, HomeBucket> buckets;  // none: full, nothing lent
};

struct LoanWish {
  RateShare share;
  LoanId id;
  double needed = 0;  // for a request that waits now
  double wanted = 0;  // in all, `needed` included
};

struct LoanAnswer {
  double tokens = 0;
  Duration retry_after{};               // when less than needed was granted
  std::vector<Incarnation> call_loans;  // borrowers to call loans back from
};

/// @brief A loan that is used in part, or closed by its borrower.
struct LoanNews {
  RateShare share;
  uint64_t request = 0;
  double tokens = 0;  // closed: given back; else: still held
  bool closed = false;
};

/// @brief What a home passes on to the next one.
struct HomeHandover {
  RateShare share;
  double level = 0;
  double lent = 0;
};

/// @brief Longest validity of a loan, counted from when it was asked for.
inline constexpr Duration kLoanValidity = std::chrono::seconds(1);
/// @brief The home counts a loan as lent for longer than its borrower does, by
/// clocks that differ in pace.
inline constexpr Duration kLoanMargin = std::chrono::milliseconds(100);

/// @brief How a home begins with a share of which it knows nothing.
struct LendStart {
  bool first = false;      // nobody lent from it before: it starts full
  Duration acting_from{};  // else: by then no earlier home lends; starts empty
  double keep = 0;         // tokens that are not lent now
};

/// @brief Lends from a share.
/// @param start used only if the home knows nothing of the share.
LoanAnswer Lend(RateHome& home,
                const LoanWish& wish,
                const RateLimits& limits,
                const LendStart& start,
                Duration now);

/// @brief Tokens at home, brought up to now; nothing if the home knows nothing
/// of the share.
std::optional<double> LevelAtHome(RateHome& home,
                                  const RateShare& share,
                                  const RateLimits& limits,
                                  Duration now);

/// @brief Takes a borrower's word on what it still holds of a loan, or gives
/// back. May come late, twice or out of order.
void TakeLoanNews(RateHome& home,
                  const LoanNews& news,
                  Incarnation borrower,
                  const RateLimits& limits,
                  Duration now);

/// @brief Stops acting for a share; nothing if there is nothing to pass on.
std::optional<HomeHandover> HandOver(RateHome& home,
                                     const RateShare& share,
                                     const RateLimits& limits,
                                     Duration now);

/// @brief Begins with what an earlier home passed on, unless begun already.
void TakeOver(RateHome& home, const HomeHandover& handover, Duration now);

/// @brief Forgets a share that is full and has lent nothing, so that an idle
/// team costs nothing.
void ForgetIdle(RateHome& home,
                const RateShare& share,
                const RateLimits& limits,
                Duration now);

}  // namespace celerykeel
