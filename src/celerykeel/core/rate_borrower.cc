#include "celerykeel/core/rate_borrower.h"

#include <algorithm>  // for std::all_of, std::min, std::max
#include <cmath>      // for std::exp

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

// Time constant of the exponential decay of the demand estimate.
constexpr Duration kDemandMemory = std::chrono::seconds(1);
constexpr Duration kAheadWindow =
    milliseconds(200);  // of expected demand to hold
constexpr Duration kAnswerTimeout =
    milliseconds(100);  // after this, a request is presumed lost
constexpr Duration kReportInterval = milliseconds(50);
// Loans older than this are returned, because tokens that expire are lost to
// the team.
constexpr Duration kReturnAge = milliseconds(600);
// Closing a loan forfeits its reserved tokens, so a loan that has any is closed
// only at this age.
constexpr Duration kReservedReturnAge = milliseconds(850);
// Requests per second below which no tokens are borrowed ahead of requests,
// because a held token is not used soon.
constexpr double kMinDemandToBorrowAhead = 2;
constexpr double kRounding = 1e-9;  // tokens; tolerance for rounding errors
// Requests per second below which a share without loans is dropped.
constexpr double kIdleDemand = 0.01;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Validity is counted from when the request was sent. The home starts counting
// later, so a loan that arrives late, or whose borrower was suspended, is never
// used after it has expired at the home.
bool IsLive(const HeldLoan& loan, Duration now) {
  return loan.granted && now < loan.asked_at + kLoanValidity;
}

bool IsRequestPending(const HeldLoan& loan, Duration now) {
  return !loan.granted && now < loan.asked_at + kAnswerTimeout;
}

double DemandNow(const BorrowedShare& held, Duration now) {
  const double age = Seconds(std::max(now - held.demand_at, Duration::zero()));
  return held.demand * std::exp(-age / Seconds(kDemandMemory));
}

double Unreserved(const HeldLoan& loan) {
  return loan.tokens - loan.reserved;
}

double FreeTokensOf(const BorrowedShare& held, Duration now) {
  double tokens = 0;
  for (const auto& [request, loan] : held.loans) {
    tokens += IsLive(loan, now) ? Unreserved(loan) : 0;
  }
  return tokens;
}

// Returns the tokens to borrow ahead of requests: none at low demand, otherwise
// at least one, because a request cannot use less.
double AheadTokens(const BorrowedShare& held, Duration now) {
  const double demand = DemandNow(held, now);
  return demand < kMinDemandToBorrowAhead
             ? 0
             : std::max(demand * Seconds(kAheadWindow), 1.0);
}

// Reports changes since the last report. Closes loans that are used up or old
// enough to be returned.
void ReportUse(const RateShare& share,
               BorrowedShare& held,
               Duration now,
               std::vector<LoanReport>& reports) {
  held.reported_at = now;
  for (auto& [request, loan] : held.loans) {
    const Duration due =
        loan.reserved > kRounding ? kReservedReturnAge : kReturnAge;
    if (IsLive(loan, now) && now >= loan.asked_at + due) {
      reports.push_back({share, request, Unreserved(loan), true});
      loan.tokens = 0;
    } else if (loan.granted && loan.tokens != loan.reported) {
      loan.reported = loan.tokens;
      const bool used_up = loan.tokens < kRounding;
      reports.push_back({share, request, used_up ? 0 : loan.tokens, used_up});
    }
  }
  std::erase_if(held.loans, [](const auto& entry) {
    return entry.second.granted && entry.second.tokens < kRounding;
  });
}

// Closing a loan forfeits its reserved tokens, so loans with any remain.
void CloseUnreserved(const RateShare& share,
                     BorrowedShare& held,
                     Duration now,
                     std::vector<LoanReport>& reports) {
  std::erase_if(held.loans, [&](const auto& entry) {
    const auto& [request, loan] = entry;
    const bool is_unreserved = IsLive(loan, now) && loan.reserved < kRounding;
    if (is_unreserved) {
      reports.push_back({share, request, loan.tokens, true});
    }
    return is_unreserved;
  });
}

}  // namespace

void RecordDemand(RateBorrower& borrower,
                  const RateShare& share,
                  Duration now) {
  BorrowedShare& held = borrower.shares[share];
  held.demand = DemandNow(held, now) + 1 / Seconds(kDemandMemory);
  held.demand_at = now;
}

std::optional<ReservedToken> ReserveToken(RateBorrower& borrower,
                                          const RateShare& share,
                                          Duration now) {
  const auto found = borrower.shares.find(share);
  if (found == borrower.shares.end() ||
      FreeTokensOf(found->second, now) + kRounding < 1) {
    return std::nullopt;
  }
  ReservedToken token{.share = share, .parts = {}};
  double left = 1;
  for (auto& [request, loan] : found->second.loans) {
    if (const double part = std::min(Unreserved(loan), left);
        IsLive(loan, now) && part > 0) {
      loan.reserved += part;
      left -= part;
      token.parts[request] = part;
    }
  }
  return token;
}

namespace {

// Skips parts whose loan was closed after the reservation.
template <typename Change>
void ChangeParts(RateBorrower& borrower,
                 const ReservedToken& token,
                 Change change) {
  const auto held = borrower.shares.find(token.share);
  if (held == borrower.shares.end()) {
    return;
  }
  for (const auto& [request, part] : token.parts) {
    if (const auto loan = held->second.loans.find(request);
        loan != held->second.loans.end()) {
      change(loan->second, part);
    }
  }
}

}  // namespace

bool IsStillReserved(const RateBorrower& borrower,
                     const ReservedToken& token,
                     Duration now) {
  const auto held = borrower.shares.find(token.share);
  return held != borrower.shares.end() &&
         std::all_of(token.parts.begin(), token.parts.end(),
                     [&](const auto& part) {
                       const auto loan = held->second.loans.find(part.first);
                       return loan != held->second.loans.end() &&
                              IsLive(loan->second, now);
                     });
}

void UseReserved(RateBorrower& borrower, const ReservedToken& token) {
  ChangeParts(borrower, token, [](HeldLoan& loan, double part) {
    loan.reserved -= part;
    loan.tokens -= part;
  });
}

void ReturnReserved(RateBorrower& borrower, const ReservedToken& token) {
  ChangeParts(borrower, token,
              [](HeldLoan& loan, double part) { loan.reserved -= part; });
}

bool UseToken(RateBorrower& borrower, const RateShare& share, Duration now) {
  const auto token = ReserveToken(borrower, share, now);
  if (token) {
    UseReserved(borrower, *token);
  }
  return token.has_value();
}

double FreeTokens(const RateBorrower& borrower,
                  const RateShare& share,
                  Duration now) {
  const auto found = borrower.shares.find(share);
  return found == borrower.shares.end() ? 0 : FreeTokensOf(found->second, now);
}

RequestedLoan RequestLoan(RateBorrower& borrower,
                          const RateShare& share,
                          double needed,
                          Incarnation self,
                          Duration now) {
  BorrowedShare& held = borrower.shares[share];
  const uint64_t request = borrower.next_request++;
  held.loans[request] = {.asked_at = now};
  return {.share = share,
          .id = {.borrower = self, .request = request},
          .needed = needed,
          .wanted = needed + AheadTokens(held, now)};
}

bool ShouldRequestAhead(const RateBorrower& borrower,
                        const RateShare& share,
                        Duration now) {
  const auto found = borrower.shares.find(share);
  if (found == borrower.shares.end()) {
    return false;
  }
  const BorrowedShare& held = found->second;
  const bool awaited = std::any_of(
      held.loans.begin(), held.loans.end(),
      [now](const auto& entry) { return IsRequestPending(entry.second, now); });
  return !awaited && FreeTokensOf(held, now) < AheadTokens(held, now) / 2;
}

void ApplyGrant(RateBorrower& borrower,
                const RateShare& share,
                uint64_t request,
                double tokens,
                Duration now) {
  const auto found = borrower.shares.find(share);
  if (found == borrower.shares.end()) {
    return;
  }
  auto& loans = found->second.loans;
  const auto loan = loans.find(request);
  if (loan == loans.end() || loan->second.granted) {
    return;
  }
  if (tokens <= 0 || now >= loan->second.asked_at + kLoanValidity) {
    loans.erase(loan);
    return;
  }
  loan->second.granted = true;
  loan->second.tokens = tokens;
  loan->second.reported = tokens;
}

std::vector<LoanReport> ReturnLoans(RateBorrower& borrower,
                                    const RateShare& share,
                                    Duration now) {
  std::vector<LoanReport> reports;
  const auto found = borrower.shares.find(share);
  if (found == borrower.shares.end()) {
    return reports;
  }
  std::erase_if(found->second.loans, [&](const auto& entry) {
    const auto& [request, loan] = entry;
    if (IsLive(loan, now)) {
      reports.push_back({share, request, Unreserved(loan), true});
    }
    return loan.granted;
  });
  return reports;
}

std::vector<LoanReport> ReturnUnreserved(RateBorrower& borrower,
                                         const RateShare& share,
                                         Duration now) {
  std::vector<LoanReport> reports;
  if (const auto found = borrower.shares.find(share);
      found != borrower.shares.end()) {
    CloseUnreserved(share, found->second, now, reports);
  }
  return reports;
}

std::vector<LoanReport> ReviewShare(RateBorrower& borrower,
                                    const RateShare& share,
                                    Duration now) {
  std::vector<LoanReport> reports;
  const auto found = borrower.shares.find(share);
  if (found == borrower.shares.end()) {
    return reports;
  }
  BorrowedShare& held = found->second;
  std::erase_if(held.loans, [now](const auto& entry) {
    return now >= entry.second.asked_at + kLoanValidity;
  });
  ReportUse(share, held, now, reports);
  // Closes all loans without reserved tokens if much more is held than the
  // expected demand needs.
  if (FreeTokensOf(held, now) > 2 * AheadTokens(held, now) + 1) {
    CloseUnreserved(share, held, now, reports);
  }
  return reports;
}

std::vector<LoanReport> ReviewLoans(RateBorrower& borrower, Duration now) {
  std::vector<LoanReport> reports;
  for (auto& [share, held] : borrower.shares) {
    if (now - held.reported_at >= kReportInterval) {
      for (LoanReport& report : ReviewShare(borrower, share, now)) {
        reports.push_back(std::move(report));
      }
    }
  }
  std::erase_if(borrower.shares, [now](const auto& entry) {
    return entry.second.loans.empty() &&
           DemandNow(entry.second, now) < kIdleDemand;
  });
  return reports;
}

}  // namespace celerykeel
