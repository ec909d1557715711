#include "celerykeel/core/rate_roster.h"

#include <string>   // for std::to_string
#include <tuple>    // for std::tie
#include <utility>  // for std::move

#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

namespace {

constexpr size_t kMaxRosters = 64;
// Half of a smaller burst would not hold a complete token for long.
constexpr double kMinBurstToSplit = 8;

std::optional<Incarnation> BestMember(const FleetState& state,
                                      const RateShare& share,
                                      std::optional<Incarnation> excluded) {
  const std::string subject =
      "team/" + share.team + "/" + std::to_string(share.share);
  std::optional<Incarnation> best;
  uint64_t highest = 0;
  for (const auto& [incarnation, member] : state.members) {
    const uint64_t weight = RendezvousWeight(subject, member.join.instance);
    if (incarnation != excluded &&
        (!best || std::tie(weight, incarnation) > std::tie(highest, *best))) {
      highest = weight;
      best = incarnation;
    }
  }
  return best;
}

}  // namespace

uint32_t ShareCount(const RateLimits& team) {
  return team.burst >= kMinBurstToSplit ? 2 : 1;
}

RateLimits ShareLimits(const RateLimits& team) {
  const double count = ShareCount(team);
  return {.rate = team.rate / count, .burst = team.burst / count};
}

// The second share never has the same home as the first, so that the failure of
// one instance leaves the team half of its rate.
std::optional<Incarnation> HomeOf(const FleetState& state,
                                  const RateShare& share) {
  if (share.share == 0 || state.members.size() == 1) {
    return BestMember(state, share, std::nullopt);
  }
  return BestMember(state, share, HomeOf(state, {share.team, 0}));
}

void RecordRoster(RosterHistory& history,
                  std::shared_ptr<const FleetState> state,
                  Duration now) {
  if (!history.seen.empty() &&
      history.seen.back().state->roster_version == state->roster_version) {
    history.seen.back().state = std::move(state);
    return;
  }
  history.seen.push_back({std::move(state), now});
  if (history.seen.size() > kMaxRosters) {
    history.seen.pop_front();
  }
}

// A member that has not seen the roster change that made `self` the home has
// had no fresh state since that change. The change precedes `seen->at`, so such
// a member stops lending by `seen->at` + kLendFreshness.
std::optional<HomeTenure> TenureOf(const RosterHistory& history,
                                   const RateShare& share,
                                   Incarnation self) {
  std::optional<HomeTenure> tenure;
  for (auto seen = history.seen.rbegin(); seen != history.seen.rend(); ++seen) {
    if (HomeOf(*seen->state, share) != self) {
      break;
    }
    tenure = {.roster_version = seen->state->roster_version,
              .acting_from = seen->at + kLendFreshness + kLendMargin};
  }
  return tenure;
}

}  // namespace celerykeel
