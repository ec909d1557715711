#include "celerykeel/core/rate_home.h"

#include <algorithm>  // for std::min, std::max, std::clamp, std::sort
#include <utility>    // for std::pair

namespace celerykeel {

namespace {

// Fraction of the level that may be lent ahead of demand. The rest is reserved
// for requests that are waiting.
constexpr double kAheadFraction = 0.25;
// Time after which a refused borrower asks again if loans were recalled for it.
constexpr Duration kRecallDelay = std::chrono::milliseconds(20);
// Fewer tokens are not worth the messages.
constexpr double kMinRecalledTokens = 0.5;
constexpr double kTokenTolerance =
    1e-6;  // tokens; tolerance for rounding errors

double Lent(const HomeBucket& bucket) {
  double lent = bucket.previous_home_tokens;
  for (const auto& [id, loan] : bucket.loans) {
    lent += loan.tokens;
  }
  return lent;
}

Duration NextExpiry(const HomeBucket& bucket) {
  Duration next = bucket.previous_home_tokens > 0 ? bucket.previous_home_until
                                                  : Duration::max();
  for (const auto& [id, loan] : bucket.loans) {
    next = std::min(next, loan.expires_at);
  }
  return next;
}

// Tokens of an expired loan were used or are lost; they are not credited.
void DropExpired(HomeBucket& bucket, Duration now) {
  std::erase_if(bucket.loans, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  if (bucket.previous_home_until <= now) {
    bucket.previous_home_tokens = 0;
  }
}

// Lent tokens count against the burst while they are lent, so the level is
// advanced step by step to each expiry, where the sum of lent tokens drops.
void Advance(HomeBucket& bucket, const RateLimits& limits, Duration now) {
  for (Duration next = NextExpiry(bucket); next <= now;
       next = NextExpiry(bucket)) {
    Refill(bucket.bucket, limits.rate, limits.burst - Lent(bucket), next);
    DropExpired(bucket, next);
  }
  Refill(bucket.bucket, limits.rate, limits.burst - Lent(bucket), now);
}

HomeBucket StartFull(const RateLimits& limits, Duration now) {
  HomeBucket bucket;
  bucket.bucket = {.level = limits.burst, .updated_at = now};
  return bucket;
}

// The previous home may have lent up to a full burst just before it stopped,
// and these loans stay in use for kLoanValidity. Nothing is lent until then.
HomeBucket StartEmpty(const RateLimits& limits, Duration acting_from) {
  HomeBucket bucket;
  bucket.previous_home_tokens = limits.burst;
  bucket.previous_home_until = acting_from + kLoanValidity + kLoanMargin;
  bucket.bucket = {.level = 0, .updated_at = bucket.previous_home_until};
  return bucket;
}

// Recalls help only if the tokens held by others cover what is missing.
std::vector<Incarnation> BorrowersToRecall(const HomeBucket& bucket,
                                           const RequestedLoan& requested) {
  std::set<Incarnation> borrowers;
  double available = bucket.bucket.level;
  for (const auto& [id, loan] : bucket.loans) {
    if (id.borrower != requested.id.borrower && loan.tokens > 0) {
      borrowers.insert(id.borrower);
      available += loan.tokens;
    }
  }
  if (available + kTokenTolerance < requested.needed) {
    return {};
  }
  return {borrowers.begin(), borrowers.end()};
}

}  // namespace

LendResult Lend(RateHome& home,
                const RequestedLoan& requested,
                const RateLimits& limits,
                const LendingStart& start,
                Duration now) {
  // A bucket created now would make TakeOver ignore a handover that arrives
  // before `acting_from`.
  if (!start.first && now < start.acting_from &&
      !home.buckets.contains(requested.share)) {
    return {
        .tokens = 0,
        .retry_after = start.acting_from + kLoanValidity + kLoanMargin - now,
        .recall_from = {}};
  }
  const auto [found, fresh] = home.buckets.try_emplace(requested.share);
  HomeBucket& bucket = found->second;
  if (fresh) {
    bucket = start.first ? StartFull(limits, now)
                         : StartEmpty(limits, start.acting_from);
  }
  Advance(bucket, limits, now);
  const double level = std::max(bucket.bucket.level - start.keep, 0.0);
  LendResult answer;
  answer.tokens =
      std::min({level, requested.wanted,
                std::max(requested.needed, level * kAheadFraction)});
  if (answer.tokens + kTokenTolerance < requested.needed) {
    // A request cannot use less than it needs.
    answer.tokens = 0;
    answer.retry_after = AccrualTime(requested.needed - level, limits.rate);
    answer.recall_from = BorrowersToRecall(bucket, requested);
    if (!answer.recall_from.empty()) {
      answer.retry_after = std::min(answer.retry_after, kRecallDelay);
    }
    return answer;
  }
  bucket.bucket.level = std::max(bucket.bucket.level - answer.tokens, 0.0);
  // A duplicated request is granted twice, and both grants count as lent. Its
  // borrower accepts one.
  OutstandingLoan& loan = bucket.loans[requested.id];
  loan.tokens += answer.tokens;
  loan.ahead = std::max(answer.tokens - requested.needed, 0.0);
  loan.expires_at = now + kLoanValidity + kLoanMargin;
  return answer;
}

std::vector<Incarnation> BorrowersWithSpareTokens(
    const RateHome& home,
    const RequestedLoan& requested,
    double level,
    size_t most) {
  const auto found = home.buckets.find(requested.share);
  if (found == home.buckets.end()) {
    return {};
  }
  std::map<Incarnation, double> spare;
  for (const auto& [id, loan] : found->second.loans) {
    if (id.borrower != requested.id.borrower && loan.ahead > 0) {
      spare[id.borrower] += loan.ahead;
    }
  }
  std::erase_if(spare, [](const auto& entry) {
    return entry.second < kMinRecalledTokens;
  });
  double available = level;
  for (const auto& [borrower, tokens] : spare) {
    available += tokens;
  }
  if (available + kTokenTolerance < requested.needed) {
    return {};
  }
  std::vector<std::pair<double, Incarnation>> largest;
  largest.reserve(spare.size());
  for (const auto& [borrower, tokens] : spare) {
    largest.emplace_back(tokens, borrower);
  }
  std::sort(largest.rbegin(), largest.rend());
  std::vector<Incarnation> borrowers;
  for (const auto& [tokens, borrower] : largest) {
    if (borrowers.size() < most) {
      borrowers.push_back(borrower);
    }
  }
  return borrowers;
}

std::optional<double> LevelAtHome(RateHome& home,
                                  const RateShare& share,
                                  const RateLimits& limits,
                                  Duration now) {
  const auto found = home.buckets.find(share);
  if (found == home.buckets.end()) {
    return std::nullopt;
  }
  Advance(found->second, limits, now);
  return found->second.bucket.level;
}

void ApplyLoanReport(RateHome& home,
                     const LoanReport& report,
                     Incarnation borrower,
                     const RateLimits& limits,
                     Duration now) {
  const auto found = home.buckets.find(report.share);
  if (found == home.buckets.end()) {
    return;
  }
  HomeBucket& bucket = found->second;
  Advance(bucket, limits, now);
  const auto loan = bucket.loans.find({borrower, report.request});
  if (loan == bucket.loans.end()) {
    return;
  }
  const double tokens = std::clamp(report.tokens, 0.0, loan->second.tokens);
  if (report.closed) {
    bucket.bucket.level += tokens;
    bucket.loans.erase(loan);
  } else {
    loan->second.tokens = tokens;
    loan->second.ahead = std::min(loan->second.ahead, tokens);
  }
}

std::optional<ShareHandover> HandOver(RateHome& home,
                                      const RateShare& share,
                                      const RateLimits& limits,
                                      Duration now) {
  const auto found = home.buckets.find(share);
  if (found == home.buckets.end()) {
    return std::nullopt;
  }
  Advance(found->second, limits, now);
  const ShareHandover handover{.share = share,
                               .level = found->second.bucket.level,
                               .lent = Lent(found->second)};
  home.buckets.erase(found);
  return handover;
}

void TakeOver(RateHome& home, const ShareHandover& handover, Duration now) {
  HomeBucket bucket;
  bucket.bucket = {.level = handover.level, .updated_at = now};
  bucket.previous_home_tokens = handover.lent;
  bucket.previous_home_until = now + kLoanValidity + kLoanMargin;
  home.buckets.try_emplace(handover.share, std::move(bucket));
}

void ForgetIdle(RateHome& home,
                const RateShare& share,
                const RateLimits& limits,
                Duration now) {
  const auto found = home.buckets.find(share);
  if (found == home.buckets.end()) {
    return;
  }
  Advance(found->second, limits, now);
  if (Lent(found->second) <= 0 &&
      found->second.bucket.level + kTokenTolerance >= limits.burst) {
    home.buckets.erase(found);
  }
}

}  // namespace celerykeel
