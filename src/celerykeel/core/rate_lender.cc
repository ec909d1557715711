#include "celerykeel/core/rate_lender.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

constexpr Duration kEarlyHandoverLifetime = std::chrono::seconds(10);
constexpr size_t kMaxEarlyHandovers = 4096;

// Returns true if a member announced a release in a roster that contains this
// gate, and all handovers of that announcement have arrived.
bool HasReleased(const ReleaseState& releases, Fence joined_at) {
  const bool all_arrived =
      releases.newest.handovers == 0 ||
      (releases.handed_over_version == releases.newest.roster_version &&
       releases.handed_over_shares.size() == releases.newest.handovers);
  return releases.newest.roster_version >= joined_at && all_arrived;
}

// Returns true if no member ever departed from the fleet and each other member
// has announced that it lends only its own shares. Then a new fleet need not
// wait for earlier loans to expire. While members only join, this gate has been
// the home of its shares since it joined, so an announcement based on any
// roster that contains this gate is sufficient.
bool NoOtherMemberLends(const RateGate& gate) {
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

// Shares that move to another home are handed over when the view is updated, so
// a share with a bucket needs no check against the rosters.
std::optional<LendingStart> LendingStartOf(const RateGate& gate,
                                           const RateShare& share) {
  if (gate.home.buckets.contains(share)) {
    return LendingStart{};
  }
  const auto tenure = TenureOf(gate.roster, share, gate.self);
  if (!tenure) {
    return std::nullopt;
  }
  return LendingStart{.first = NoOtherMemberLends(gate),
                      .acting_from = tenure->acting_from};
}

// Rejects late or duplicated handovers from an earlier period. The handover
// must either be based on the roster that made this gate the home, or on a
// later one, or come from a member that resigned, has left the roster and was
// the home before this period.
bool IsFromThisTenure(const RateGate& gate,
                      Incarnation from,
                      const HandoverNotice& notice,
                      const HomeTenure& tenure) {
  if (notice.roster_version >= tenure.roster_version) {
    return true;
  }
  if (!notice.resigned ||
      gate.roster.seen.back().state->members.contains(from)) {
    return false;
  }
  const RosterHistory::Seen* before = nullptr;
  for (const RosterHistory::Seen& seen : gate.roster.seen) {
    if (seen.state->roster_version < tenure.roster_version) {
      before = &seen;
    }
  }
  return before != nullptr &&
         HomeOf(*before->state, notice.handover.share) == from;
}

bool TryTakeOver(RateGate& gate,
                 Incarnation from,
                 const HandoverNotice& notice,
                 Duration now) {
  const auto tenure = TenureOf(gate.roster, notice.handover.share, gate.self);
  if (!tenure || !IsFromThisTenure(gate, from, notice, *tenure)) {
    return false;
  }
  TakeOver(gate.home, notice.handover, now);
  return true;
}

}  // namespace

void AnswerLoanRequest(RateGate& gate,
                       const RequestedLoan& requested,
                       Duration now,
                       RateActions& actions) {
  LoanGrant grant{.share = requested.share,
                  .request = requested.id.request,
                  .tokens = 0,
                  .retry_after = {},
                  .not_home = true};
  const auto start = LendingStartOf(gate, requested.share);
  const RateLimits team = LimitsOf(gate, requested.share.team);
  if (start && !gate.resigned && now - gate.fresh_at < kLendFreshness &&
      requested.share.share < ShareCount(team)) {
    const LendResult answer =
        Lend(gate.home, requested, ShareLimits(team), *start, now);
    grant.not_home = false;
    grant.tokens = answer.tokens;
    grant.retry_after = answer.retry_after;
    for (const Incarnation borrower : answer.recall_from) {
      Deliver(gate, borrower, LoanRecall{requested.share}, now, actions);
    }
  }
  Deliver(gate, requested.id.borrower, grant, now, actions);
}

void TakeHandover(RateGate& gate,
                  Incarnation from,
                  const HandoverNotice& notice,
                  Duration now) {
  if (gate.releases.size() >= kMaxReleases) {
    return;
  }
  ReleaseState& releases = gate.releases[from];
  if (notice.roster_version > releases.handed_over_version) {
    releases.handed_over_version = notice.roster_version;
    releases.handed_over_shares.clear();
  }
  if (notice.roster_version == releases.handed_over_version) {
    releases.handed_over_shares.insert(notice.handover.share);
  }
  if (!TryTakeOver(gate, from, notice, now) &&
      gate.early_handovers.size() < kMaxEarlyHandovers) {
    gate.early_handovers.push_back(
        {from, notice, now + kEarlyHandoverLifetime});
  }
}

void RetryEarlyHandovers(RateGate& gate, Duration now) {
  std::erase_if(gate.early_handovers, [&](const EarlyHandover& early) {
    return now >= early.until ||
           TryTakeOver(gate, early.from, early.notice, now);
  });
}

void HandOverShare(RateGate& gate,
                   const RateShare& share,
                   Incarnation to,
                   Duration now,
                   RateActions& actions) {
  const auto handover =
      HandOver(gate.home, share, ShareLimits(LimitsOf(gate, share.team)), now);
  if (handover) {
    actions.sends.push_back(
        {to, HandoverNotice{.handover = *handover,
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

std::map<Incarnation, uint32_t> HandOverMovedShares(RateGate& gate,
                                                    Duration now,
                                                    RateActions& actions) {
  std::map<Incarnation, uint32_t> handovers;
  for (const RateShare& share : SharesAtHome(gate)) {
    const auto home = CurrentHome(gate, share);
    if (home && *home != gate.self) {
      HandOverShare(gate, share, *home, now, actions);
      ++handovers[*home];
    }
  }
  return handovers;
}

void NotifyNewMembers(const RateGate& gate,
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
         ReleaseNotice{
             .roster_version = state.roster_version,
             .handovers = passed == handovers.end() ? 0 : passed->second}});
  }
}

}  // namespace celerykeel
