#include "celerykeel/core/rate_lender.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

constexpr Duration kEarlyKept = std::chrono::seconds(10);
constexpr size_t kMaxEarly = 4096;

bool HasReleased(const Releases& releases, Fence joined_at) {
  const bool none_lost =
      releases.newest.handovers == 0 ||
      (releases.passed_on_version == releases.newest.roster_version &&
       releases.passed_on.size() == releases.newest.handovers);
  return releases.newest.roster_version >= joined_at && none_lost;
}

// True in a fleet from which nobody has departed, once each other member has
// said that it lends only what is its own: a new fleet need not wait. While
// members only join, a share that is this gate's now has been since it joined,
// so a word by any roster that names this gate will do.
bool NobodyElseLends(const RateGate& gate) {
  const FleetState& state = *gate.roster.seen.back().state;
  const auto self = state.members.find(gate.self);
  if (!state.departed.empty() || self == state.members.end()) {
    return false;
  }
  for (const auto& [incarnation, member] : state.members) {
    const auto found = gate.releases.find(incarnation);
    if (incarnation != gate.self &&
        (found == gate.releases.end() ||
         !HasReleased(found->second, self->second.fence))) {
      return false;
    }
  }
  return true;
}

// A share that is no longer this gate's is passed on with the view, so one
// with a bucket needs no look at the rosters.
std::optional<LendStart> StartOf(const RateGate& gate, const RateShare& share) {
  if (gate.home.buckets.contains(share)) {
    return LendStart{};
  }
  const auto era = EraOf(gate.roster, share, gate.self);
  if (!era) {
    return std::nullopt;
  }
  return LendStart{.first = NobodyElseLends(gate),
                   .acting_from = era->acting_from};
}

// An earlier note of the same sender, late or doubled, must not pass for one
// of now: the sender must know the roster that made this gate the home, or
// never lend again and be the home before it.
bool IsOfThisEra(const RateGate& gate,
                 Incarnation from,
                 const HandoverNote& note,
                 const HomeEra& era) {
  if (note.roster_version >= era.roster_version) {
    return true;
  }
  if (!note.resigned || gate.roster.seen.back().state->members.contains(from)) {
    return false;
  }
  const RosterHistory::Seen* before = nullptr;
  for (const RosterHistory::Seen& seen : gate.roster.seen) {
    if (seen.state->roster_version < era.roster_version) {
      before = &seen;
    }
  }
  return before != nullptr &&
         HomeOf(*before->state, note.handover.share) == from;
}

bool TryTakeOver(RateGate& gate,
                 Incarnation from,
                 const HandoverNote& note,
                 Duration now) {
  const auto era = EraOf(gate.roster, note.handover.share, gate.self);
  if (!era || !IsOfThisEra(gate, from, note, *era)) {
    return false;
  }
  TakeOver(gate.home, note.handover, now);
  return true;
}

}  // namespace

void AnswerWish(RateGate& gate,
                const LoanWish& wish,
                Duration now,
                RateActions& actions) {
  LoanGrant grant{.share = wish.share,
                  .request = wish.id.request,
                  .tokens = 0,
                  .retry_after = {},
                  .not_home = true};
  const auto start = StartOf(gate, wish.share);
  const RateLimits team = LimitsOf(gate, wish.share.team);
  if (start && !gate.resigned && now - gate.fresh_at < kLendFreshness &&
      wish.share.share < ShareCount(team)) {
    const LoanAnswer answer =
        Lend(gate.home, wish, ShareLimits(team), *start, now);
    grant.not_home = false;
    grant.tokens = answer.tokens;
    grant.retry_after = answer.retry_after;
    for (const Incarnation borrower : answer.call_loans) {
      Deliver(gate, borrower, LoanRecall{wish.share}, now, actions);
    }
  }
  Deliver(gate, wish.id.borrower, grant, now, actions);
}

void TakeHandover(RateGate& gate,
                  Incarnation from,
                  const HandoverNote& note,
                  Duration now) {
  if (gate.releases.size() >= kMaxReleases) {
    return;
  }
  Releases& releases = gate.releases[from];
  if (note.roster_version > releases.passed_on_version) {
    releases.passed_on_version = note.roster_version;
    releases.passed_on.clear();
  }
  if (note.roster_version == releases.passed_on_version) {
    releases.passed_on.insert(note.handover.share);
  }
  if (!TryTakeOver(gate, from, note, now) && gate.early.size() < kMaxEarly) {
    gate.early.push_back({from, note, now + kEarlyKept});
  }
}

void TryEarly(RateGate& gate, Duration now) {
  std::erase_if(gate.early, [&](const EarlyHandover& early) {
    return now >= early.until || TryTakeOver(gate, early.from, early.note, now);
  });
}

void PassOn(RateGate& gate,
            const RateShare& share,
            Incarnation to,
            Duration now,
            RateActions& actions) {
  const auto handover =
      HandOver(gate.home, share, ShareLimits(LimitsOf(gate, share.team)), now);
  if (handover) {
    actions.sends.push_back(
        {to, HandoverNote{.handover = *handover,
                          .roster_version =
                              gate.roster.seen.back().state->roster_version,
                          .resigned = gate.resigned}});
  }
}

std::vector<RateShare> SharesAtHome(const RateGate& gate) {
  std::vector<RateShare> shares;
  for (const auto& [share, bucket] : gate.home.buckets) {
    shares.push_back(share);
  }
  return shares;
}

// Passes on what is no longer this gate's.
std::map<Incarnation, uint32_t> PassOnAll(RateGate& gate,
                                          Duration now,
                                          RateActions& actions) {
  std::map<Incarnation, uint32_t> handovers;
  for (const RateShare& share : SharesAtHome(gate)) {
    const auto home = HomeNow(gate, share);
    if (home && *home != gate.self) {
      PassOn(gate, share, *home, now, actions);
      ++handovers[*home];
    }
  }
  return handovers;
}

void TellNewMembers(const RateGate& gate,
                    const FleetState* before,
                    const std::map<Incarnation, uint32_t>& handovers,
                    RateActions& actions) {
  const FleetState& state = *gate.roster.seen.back().state;
  for (const auto& [incarnation, member] : state.members) {
    if (incarnation == gate.self ||
        (before != nullptr && before->members.contains(incarnation))) {
      continue;
    }
    const auto passed = handovers.find(incarnation);
    actions.sends.push_back(
        {incarnation,
         ReleaseNote{
             .roster_version = state.roster_version,
             .handovers = passed == handovers.end() ? 0 : passed->second}});
  }
}

}  // namespace celerykeel
