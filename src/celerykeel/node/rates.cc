#include "celerykeel/node/rates.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"     // for Now
#include "celerykeel/node/fleet.h"     // for LinkToHolder
#include "celerykeel/node/node.h"      // for Node
#include "celerykeel/node/slot_log.h"  // for Enqueue

namespace celerykeel {

namespace {

// The part of a team's rate that is divided evenly among the instances and
// needs no word of the home, so that one that is cut off still serves.
constexpr double kOwnPart = 0.3;
constexpr Duration kPatience = std::chrono::milliseconds(150);
constexpr Duration kHomeSilentRetry = std::chrono::milliseconds(400);
// A home lends for so long after its last word from the store; the next one
// begins when that is over.
constexpr Duration kHomeLease = std::chrono::milliseconds(1500);
// A home that lent within this time renews its lease before it ends.
constexpr Duration kLendingLasts = std::chrono::seconds(4);
constexpr Duration kLeaseMargin = std::chrono::milliseconds(200);

RateShare ShareOf(const std::string& team) {
  return {team, 0};
}

RateLimits Part(const RateLimits& limits, double part) {
  return {.rate = limits.rate * part, .burst = limits.burst * part};
}

double FleetSize(const Node& node) {
  return double(node.fleet.members.size() + 1);
}

// Starts empty: an earlier start of this instance may have used its part.
bool TakeOwn(Node& node, const DeployedTeam& team, Duration now) {
  const RateLimits own = Part(team.limits, kOwnPart / FleetSize(node));
  const auto [found, fresh] = node.rates.own.try_emplace(team.name);
  if (fresh) {
    found->second.updated_at = now;
  }
  const double burst = std::max(own.burst, 1.0);
  Refill(found->second, own.rate, burst, now);
  return Take(found->second, 1, own.rate).has_value();
}

uint32_t HomeSlot(const Node& node, const std::string& team) {
  return SlotOfSubject(team, "rate",
                       static_cast<uint32_t>(node.fleet.slots.size()));
}

// While the store is away for all, nobody can take the slot either.
Task<bool> MayLend(Node& node, HeldSlotPtr slot) {
  slot->lent_at = Now();
  if (Now() < slot->appended_at + kHomeLease || !StoreIsReached(node)) {
    co_return true;
  }
  co_return co_await ConfirmHeld(node, slot);
}

LoanAnswer LendHere(Node& node, const HeldSlot& slot, const LoanWish& wish) {
  const auto team = node.deployment->teams.find(wish.share.team);
  if (team == node.deployment->teams.end()) {
    return {};
  }
  // A bucket of an earlier term says nothing of what others lent since.
  if (uint64_t& epoch = node.rates.home_epochs[wish.share.team];
      epoch != slot.epoch) {
    epoch = slot.epoch;
    node.rates.home.buckets.erase(wish.share);
  }
  const LendStart start{
      .first = slot.first_ever,
      .acting_from = slot.claimed_at + kHomeLease + kLeaseMargin};
  return Lend(node.rates.home, wish, Part(team->second.limits, 1 - kOwnPart),
              start, Now());
}

struct Asked {
  bool answered = false;
  Duration retry_after{};
};

Task<Asked> AskHome(Node& node, std::string team, double needed) {
  const Duration now = Now();
  const RateShare share = ShareOf(team);
  const uint32_t number = HomeSlot(node, team);
  const LoanWish wish =
      AskFor(node.rates.borrower, share, needed, node.incarnation, now);
  if (const HeldSlotPtr slot = ActiveSlot(node, number)) {
    if (!co_await MayLend(node, slot)) {
      co_return Asked{};
    }
    const LoanAnswer answer = LendHere(node, *slot, wish);
    TakeGrant(node.rates.borrower, share, wish.id.request, answer.tokens,
              Now());
    co_return Asked{true, answer.retry_after};
  }
  const PeerLinkPtr link = LinkToHolder(node, number);
  if (link == nullptr) {
    co_return Asked{};
  }
  pb::NodeFrame frame;
  pb::RateWish& asked = *frame.mutable_rate_wish();
  asked.set_team(team);
  asked.set_borrower(node.incarnation);
  asked.set_request(wish.id.request);
  asked.set_needed(wish.needed);
  asked.set_wanted(wish.wanted);
  for (const LoanNews& news : Review(node.rates.borrower, now)) {
    if (news.share.team == team) {
      pb::RateUse& use = *asked.add_uses();
      use.set_request(news.request);
      use.set_tokens(news.tokens);
      use.set_closed(news.closed);
    }
  }
  const auto answer =
      co_await CallPeer(node.io, node.peers, link, std::move(frame), kPatience);
  if (!answer || !answer->has_rate_grant() || answer->rate_grant().not_home()) {
    co_return Asked{};
  }
  const pb::RateGrant& grant = answer->rate_grant();
  TakeGrant(node.rates.borrower, share, wish.id.request, grant.tokens(), Now());
  co_return Asked{true, Duration(grant.retry_after_ns())};
}

Task<> AskAhead(Node& node, std::string team) {
  co_await AskHome(node, team, 0);
  node.rates.asking.erase(team);
}

void AskAheadIfDue(Node& node, const std::string& team, Duration now) {
  if (ShouldAskAhead(node.rates.borrower, ShareOf(team), now) &&
      node.rates.asking.insert(team).second) {
    Spawn(node.io, AskAhead(node, team));
  }
}

}  // namespace

Task<pb::RateGrant> LendToPeer(Node& node, pb::RateWish wish) {
  pb::RateGrant grant;
  const HeldSlotPtr slot = ActiveSlot(node, HomeSlot(node, wish.team()));
  if (slot == nullptr || node.deployment == nullptr ||
      !co_await MayLend(node, slot)) {
    grant.set_not_home(true);
    co_return grant;
  }
  if (const auto team = node.deployment->teams.find(wish.team());
      team != node.deployment->teams.end()) {
    for (const pb::RateUse& use : wish.uses()) {
      TakeLoanNews(node.rates.home,
                   {.share = ShareOf(wish.team()),
                    .request = use.request(),
                    .tokens = use.tokens(),
                    .closed = use.closed()},
                   wish.borrower(), Part(team->second.limits, 1 - kOwnPart),
                   Now());
    }
  }
  const LoanAnswer answer =
      LendHere(node, *slot,
               {.share = ShareOf(wish.team()),
                .id = {.borrower = wish.borrower(), .request = wish.request()},
                .needed = wish.needed(),
                .wanted = wish.wanted()});
  grant.set_tokens(answer.tokens);
  grant.set_retry_after_ns(static_cast<uint64_t>(answer.retry_after.count()));
  co_return grant;
}

void RenewHomes(Node& node) {
  const Duration now = Now();
  for (const auto& [number, slot] : node.slots.held) {
    if (slot->active && !slot->writing && slot->lent_at &&
        now < *slot->lent_at + kLendingLasts &&
        now > slot->appended_at + kHomeLease / 2) {
      Enqueue(node, slot, ClaimRecord{node.fleet.self, slot->epoch}, true,
              [](bool) {});
    }
  }
}

Task<tl::expected<void, Duration>> TakeFromRate(Node& node, DeployedTeam team) {
  if (team.limits.rate <= 0) {
    co_return tl::expected<void, Duration>();
  }
  const RateShare share = ShareOf(team.name);
  NoteDemand(node.rates.borrower, share, Now());
  if (TakeOwn(node, team, Now()) ||
      UseToken(node.rates.borrower, share, Now())) {
    AskAheadIfDue(node, team.name, Now());
    co_return tl::expected<void, Duration>();
  }
  const Asked asked = co_await AskHome(node, team.name, 1);
  if (UseToken(node.rates.borrower, share, Now()) ||
      TakeOwn(node, team, Now())) {
    co_return tl::expected<void, Duration>();
  }
  co_return tl::unexpected(asked.answered &&
                                   asked.retry_after > Duration::zero()
                               ? asked.retry_after
                               : kHomeSilentRetry);
}

}  // namespace celerykeel
