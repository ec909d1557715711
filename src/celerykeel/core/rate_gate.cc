#include "celerykeel/core/rate_gate.h"

#include <algorithm>  // for std::max, std::min
#include <utility>    // for std::move

#include "celerykeel/core/rate_lender.h"  // for AnswerLoanRequest, HandOverMovedShares

namespace celerykeel {

RateLimits LimitsOf(const RateGate& gate, const std::string& team) {
  if (gate.roster.seen.empty()) {
    return {};
  }
  const auto& teams = gate.roster.seen.back().state->in_force.teams;
  const auto found = teams.find(team);
  return found == teams.end()
             ? RateLimits{}
             : RateLimits{found->second.rate, found->second.burst};
}

std::optional<Incarnation> CurrentHome(const RateGate& gate,
                                       const RateShare& share) {
  return gate.roster.seen.empty()
             ? std::nullopt
             : HomeOf(*gate.roster.seen.back().state, share);
}

void Deliver(RateGate& gate,
             Incarnation to,
             RateGateMessage message,
             Duration now,
             RateActions& actions) {
  if (to == gate.self) {
    Receive(gate, gate.self, message, now, actions);
  } else {
    actions.sends.push_back({to, std::move(message)});
  }
}

namespace {

using std::chrono::milliseconds;

// Delay before asking again if a share has no known home, or if the member
// asked does not act as its home.
constexpr Duration kAskInterval = milliseconds(50);
// After this time without an answer, the next share's home is asked.
constexpr Duration kHomeTimeout = milliseconds(75);
// `retry_after` if no home stated one.
constexpr Duration kNoAnswerRetryAfter = std::chrono::seconds(1);
constexpr Duration kSweepInterval = std::chrono::seconds(1);
// A home that refuses with a `retry_after` of at most kMaxRecallWait is asked
// again up to kMaxRecalls times before the next share's home is asked.
constexpr uint32_t kMaxRecalls = 3;
constexpr Duration kMaxRecallWait = milliseconds(30);
constexpr Duration kExhaustedLifetime = milliseconds(20);

// Gates start at different shares, so that the load is spread over both homes.
uint32_t FirstShare(const RateGate& gate, uint32_t count) {
  return count < 2 ? 0 : static_cast<uint32_t>(gate.self % count);
}

bool UseAnyToken(RateGate& gate, const std::string& team, Duration now) {
  const uint32_t count = ShareCount(LimitsOf(gate, team));
  for (uint32_t i = 0; i < count; ++i) {
    const uint32_t share = (FirstShare(gate, count) + i) % count;
    if (UseToken(gate.borrower, {team, share}, now)) {
      return true;
    }
  }
  return false;
}

// Admits waiting requests while tokens last, oldest first.
void ServeWaiting(RateGate& gate,
                  const std::string& team,
                  Duration now,
                  RateActions& actions) {
  std::erase_if(gate.waiting, [&](const WaitingRequest& waiting) {
    if (waiting.team != team || !UseAnyToken(gate, team, now)) {
      return false;
    }
    actions.verdicts.push_back(
        {.ticket = waiting.ticket, .admitted = true, .retry_after = {}});
    return true;
  });
}

bool IsExhausted(const RateGate& gate, const RateShare& share, Duration now) {
  const auto exhausted_shares = gate.exhausted_shares.find(share);
  return exhausted_shares != gate.exhausted_shares.end() &&
         now < exhausted_shares->second.until;
}

void TryNextShare(RateGate& gate,
                  WaitingRequest& waiting,
                  Duration retry_after,
                  Duration now) {
  waiting.retry_after = waiting.asked == 0
                            ? retry_after
                            : std::min(waiting.retry_after, retry_after);
  ++waiting.asked;
  waiting.recalls = 0;
  waiting.share =
      (waiting.share + 1) % ShareCount(LimitsOf(gate, waiting.team));
  waiting.ask_at = now;
}

void Ask(RateGate& gate,
         WaitingRequest& waiting,
         Duration now,
         RateActions& actions) {
  const RateShare share{waiting.team, waiting.share};
  if (IsExhausted(gate, share, now)) {
    TryNextShare(gate, waiting, gate.exhausted_shares[share].retry_after, now);
    return;
  }
  const auto home = CurrentHome(gate, share);
  if (!home) {
    waiting.request = 0;
    waiting.ask_at = now + kAskInterval;
    return;
  }
  const RequestedLoan requested =
      RequestLoan(gate.borrower, share, 1, gate.self, now);
  waiting.request = requested.id.request;
  waiting.asked_at = now;
  actions.sends.push_back({*home, requested});
}

// Handles a home's answer after which a request is still waiting: schedules a
// retry at the same share or goes on to the next one.
void RetryOrTryNextShare(RateGate& gate,
                         WaitingRequest& waiting,
                         const LoanGrant& grant,
                         Duration now) {
  waiting.request = 0;
  if (grant.not_home) {
    waiting.ask_at = now + kAskInterval;
    return;
  }
  if (grant.retry_after <= kMaxRecallWait && waiting.recalls < kMaxRecalls) {
    ++waiting.recalls;
    waiting.ask_at =
        now + std::max(grant.retry_after, Duration(milliseconds(1)));
    return;
  }
  gate.exhausted_shares[grant.share] = {now + kExhaustedLifetime,
                                        grant.retry_after};
  TryNextShare(gate, waiting, grant.retry_after, now);
}

void AskAhead(RateGate& gate,
              const std::string& team,
              Duration now,
              RateActions& actions) {
  const uint32_t count = ShareCount(LimitsOf(gate, team));
  for (uint32_t share = 0; share < count; ++share) {
    const RateShare key{team, share};
    if (IsExhausted(gate, key, now) ||
        !ShouldRequestAhead(gate.borrower, key, now)) {
      continue;
    }
    if (const auto home = CurrentHome(gate, key)) {
      Deliver(gate, *home, RequestLoan(gate.borrower, key, 0, gate.self, now),
              now, actions);
    }
  }
}

// A request to this gate itself is answered synchronously and changes
// `waiting`, so requests are sent after the loop.
void AskDue(RateGate& gate, Duration now, RateActions& actions) {
  RateActions asked;
  for (WaitingRequest& waiting : gate.waiting) {
    if (waiting.request != 0 && now - waiting.asked_at >= kHomeTimeout) {
      waiting.request = 0;
      waiting.unresponsive = true;
      TryNextShare(gate, waiting, kNoAnswerRetryAfter, now);
    }
    const uint32_t count = ShareCount(LimitsOf(gate, waiting.team));
    if (waiting.request == 0 && waiting.ask_at <= now &&
        waiting.asked < count) {
      Ask(gate, waiting, now, asked);
    }
  }
  for (RateSend& send : asked.sends) {
    Deliver(gate, send.to, std::move(send.note), now, actions);
  }
}

void RefuseDue(RateGate& gate, Duration now, RateActions& actions) {
  std::erase_if(gate.waiting, [&](const WaitingRequest& waiting) {
    const uint32_t count = ShareCount(LimitsOf(gate, waiting.team));
    const bool refused = waiting.asked >= count;
    if (!refused && now < waiting.until) {
      return false;
    }
    actions.verdicts.push_back(
        {.ticket = waiting.ticket,
         .admitted = false,
         .retry_after =
             waiting.asked > 0 ? waiting.retry_after : kNoAnswerRetryAfter,
         .home_unresponsive = !refused || waiting.unresponsive});
    return true;
  });
}

void ApplyLoanGrant(RateGate& gate,
                    const LoanGrant& grant,
                    Duration now,
                    RateActions& actions) {
  ApplyGrant(gate.borrower, grant.share, grant.request, grant.tokens, now);
  if (grant.tokens > 0) {
    gate.exhausted_shares.erase(grant.share);
    ServeWaiting(gate, grant.share.team, now, actions);
  }
  for (WaitingRequest& waiting : gate.waiting) {
    if (waiting.request == grant.request) {
      RetryOrTryNextShare(gate, waiting, grant, now);
    }
  }
}

void SendReports(RateGate& gate,
                 const std::vector<LoanReport>& reports,
                 Duration now,
                 RateActions& actions) {
  for (const LoanReport& report : reports) {
    if (const auto home = CurrentHome(gate, report.share)) {
      Deliver(gate, *home, report, now, actions);
    }
  }
}

// Resets the state of the home after a new incarnation or a suspension. Other
// members may have been the home since, so the buckets are not valid.
void ResetHome(RateGate& gate) {
  gate.home = {};
  gate.roster = {};
  gate.early_handovers.clear();
}

}  // namespace

void Admit(RateGate& gate,
           uint64_t ticket,
           const std::string& team,
           Duration now,
           RateActions& actions) {
  const uint32_t count = ShareCount(LimitsOf(gate, team));
  for (uint32_t share = 0; share < count; ++share) {
    RecordDemand(gate.borrower, {team, share}, now);
  }
  if (UseAnyToken(gate, team, now)) {
    actions.verdicts.push_back(
        {.ticket = ticket, .admitted = true, .retry_after = {}});
    AskAhead(gate, team, now, actions);
    return;
  }
  gate.waiting.push_back({.ticket = ticket,
                          .team = team,
                          .share = FirstShare(gate, count),
                          .ask_at = now,
                          .until = now + kRateTimeout});
  // The first call goes on to the second share if the first one is known to be
  // exhausted or if this gate is its home and refuses. The second call asks
  // there.
  AskDue(gate, now, actions);
  AskDue(gate, now, actions);
  RefuseDue(gate, now, actions);
}

void Receive(RateGate& gate,
             Incarnation from,
             const RateGateMessage& message,
             Duration now,
             RateActions& actions) {
  if (const auto* requested = std::get_if<RequestedLoan>(&message)) {
    if (requested->id.borrower == from) {
      AnswerLoanRequest(gate, *requested, now, actions);
    }
  } else if (const auto* grant = std::get_if<LoanGrant>(&message)) {
    ApplyLoanGrant(gate, *grant, now, actions);
  } else if (const auto* report = std::get_if<LoanReport>(&message)) {
    ApplyLoanReport(gate.home, *report, from,
                    ShareLimits(LimitsOf(gate, report->share.team)), now);
  } else if (const auto* recall = std::get_if<LoanRecall>(&message)) {
    SendReports(gate, ReturnLoans(gate.borrower, recall->share, now), now,
                actions);
  } else if (const auto* handover = std::get_if<HandoverNotice>(&message)) {
    TakeHandover(gate, from, *handover, now);
  } else if (gate.releases.size() < kMaxReleases) {
    const auto& release = std::get<ReleaseNotice>(message);
    ReleaseState& releases = gate.releases[from];
    if (release.roster_version > releases.newest.roster_version) {
      releases.newest = release;
    }
  }
}

void UpdateView(RateGate& gate,
                Incarnation self,
                std::shared_ptr<const FleetState> state,
                Duration fresh_at,
                Duration now,
                RateActions& actions) {
  // Other members may have been the home in rosters that this gate did not see
  // while its state was stale. A gate that was never fresh has never lent.
  const bool may_have_missed_homes =
      self == gate.self && gate.fresh_at > Duration::zero() &&
      !gate.roster.seen.empty() &&
      state->roster_version != gate.roster.seen.back().state->roster_version &&
      fresh_at - gate.fresh_at >= kLendFreshness;
  if (self != gate.self || may_have_missed_homes) {
    ResetHome(gate);
  }
  if (self != gate.self) {
    gate.borrower.shares.clear();
    gate.self = self;
  }
  const std::shared_ptr<const FleetState> before =
      gate.roster.seen.empty() ? nullptr : gate.roster.seen.back().state;
  RecordRoster(gate.roster, std::move(state), now);
  gate.fresh_at = fresh_at;
  const FleetState& newest = *gate.roster.seen.back().state;
  if (before != nullptr && newest.roster_version == before->roster_version) {
    return;
  }
  const auto handovers = HandOverMovedShares(gate, now, actions);
  // After a suspension, ResetHome has dropped the buckets without a handover,
  // so no release is announced.
  if (!may_have_missed_homes) {
    NotifyNewMembers(gate, before.get(), handovers, actions);
  }
  std::erase_if(gate.releases, [&newest](const auto& entry) {
    return newest.departed.contains(entry.first);
  });
  RetryEarlyHandovers(gate, now);
}

void Tick(RateGate& gate, Duration now, RateActions& actions) {
  SendReports(gate, ReviewLoans(gate.borrower, now), now, actions);
  AskDue(gate, now, actions);
  RefuseDue(gate, now, actions);
  if (now - gate.swept_at < kSweepInterval) {
    return;
  }
  gate.swept_at = now;
  std::erase_if(gate.exhausted_shares,
                [now](const auto& entry) { return entry.second.until <= now; });
  RetryEarlyHandovers(gate, now);
  for (const RateShare& share : SharesAtHome(gate)) {
    ForgetIdle(gate.home, share, ShareLimits(LimitsOf(gate, share.team)), now);
  }
}

void Resign(RateGate& gate, Duration now, RateActions& actions) {
  gate.resigned = true;
  std::vector<RateShare> borrowed;
  for (const auto& [share, held] : gate.borrower.shares) {
    borrowed.push_back(share);
  }
  for (const RateShare& share : borrowed) {
    SendReports(gate, ReturnLoans(gate.borrower, share, now), now, actions);
  }
  if (gate.roster.seen.empty()) {
    return;
  }
  FleetState without = *gate.roster.seen.back().state;
  without.members.erase(gate.self);
  for (const RateShare& share : SharesAtHome(gate)) {
    if (const auto next = HomeOf(without, share)) {
      HandOverShare(gate, share, *next, now, actions);
    }
  }
}

}  // namespace celerykeel
