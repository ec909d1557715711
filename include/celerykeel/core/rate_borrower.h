#pragma once

#include <cstdint>   // for uint64_t
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <vector>    // for std::vector

#include "celerykeel/core/rate_home.h"  // for RateShare, kLoanValidity
#include "celerykeel/core/time.h"       // for Duration

namespace celerykeel {

/// @brief A loan that an instance holds or has requested.
struct HeldLoan {
  double tokens = 0;    // not used yet, including reserved ones
  double reserved = 0;  // part of `tokens`, see ReservedToken
  double reported = 0;  // tokens granted, or last reported to the home
  Duration asked_at{};
  bool granted = false;
};

/// @brief What an instance has borrowed of one share.
struct BorrowedShare {
  std::map<uint64_t, HeldLoan> loans;  // by request number
  double demand = 0;                   // recent requests per second
  Duration demand_at{};
  Duration reported_at{};
};

/// @brief State of an instance as a borrower.
struct RateBorrower {
  std::map<RateShare, BorrowedShare> shares;
  uint64_t next_request = 1;
};

/// @brief Counts a request in the estimate of demand.
void RecordDemand(RateBorrower& borrower, const RateShare& share, Duration now);

/// @brief One token reserved for a request, possibly made up of parts of
/// several loans.
struct ReservedToken {
  RateShare share;
  std::map<uint64_t, double> parts;  // by the loan's request number
};

/// @brief Reserves one token if the borrower holds one that has not expired.
/// The token counts as lent until it is used or returned. A request that never
/// runs costs its team nothing, because its token is returned.
std::optional<ReservedToken> ReserveToken(RateBorrower& borrower,
                                          const RateShare& share,
                                          Duration now);

/// @brief Returns true while all loans that the token comes from are open and
/// have not expired. After that, the token must not be used, because the home
/// may no longer count it as lent.
bool IsStillReserved(const RateBorrower& borrower,
                     const ReservedToken& token,
                     Duration now);

/// @brief Spends a reserved token whose request ran or may have run.
void UseReserved(RateBorrower& borrower, const ReservedToken& token);

/// @brief Releases a reserved token whose request did not run. Parts whose
/// loan was closed since the reservation are lost.
void ReturnReserved(RateBorrower& borrower, const ReservedToken& token);

/// @brief Spends one token for a request that is certain to run.
bool UseToken(RateBorrower& borrower, const RateShare& share, Duration now);

/// @brief Returns the tokens held that no request has reserved.
double FreeTokens(const RateBorrower& borrower,
                  const RateShare& share,
                  Duration now);

/// @brief Creates and records a loan request that covers `needed` tokens and
/// the expected demand.
RequestedLoan RequestLoan(RateBorrower& borrower,
                          const RateShare& share,
                          double needed,
                          Incarnation self,
                          Duration now);

/// @brief Returns true if no request is pending and FreeTokens is less than
/// half of what RequestLoan requests for the expected demand.
bool ShouldRequestAhead(const RateBorrower& borrower,
                        const RateShare& share,
                        Duration now);

/// @brief Applies the home's answer to a request. Ignores answers that are
/// duplicated, late, or to an unknown request.
void ApplyGrant(RateBorrower& borrower,
                const RateShare& share,
                uint64_t request,
                double tokens,
                Duration now);

/// @brief Closes all granted loans of a share and returns the reports for its
/// home. Pending requests remain.
std::vector<LoanReport> ReturnLoans(RateBorrower& borrower,
                                    const RateShare& share,
                                    Duration now);

/// @brief Closes the granted loans of a share that no call has reserved a part
/// of, and returns the reports for its home.
std::vector<LoanReport> ReturnUnreserved(RateBorrower& borrower,
                                         const RateShare& share,
                                         Duration now);

/// @brief Drops expired loans, closes loans that demand does not need or that
/// expire soon, and reports the tokens left of the others, so that the home no
/// longer counts used tokens as lent. Each change is returned once; the caller
/// must send it to the home.
std::vector<LoanReport> ReviewShare(RateBorrower& borrower,
                                    const RateShare& share,
                                    Duration now);

/// @brief Calls ReviewShare for each share that has not been reviewed
/// recently, to limit the number of messages.
std::vector<LoanReport> ReviewLoans(RateBorrower& borrower, Duration now);

}  // namespace celerykeel
