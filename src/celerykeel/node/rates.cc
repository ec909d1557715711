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
constexpr double kOwnPart = 0.1;
constexpr Duration kAnswerPatience = std::chrono::milliseconds(150);
// A home that died has a successor within about this time.
constexpr Duration kHomePatience = std::chrono::milliseconds(400);
constexpr Duration kAskAgain = std::chrono::milliseconds(40);
constexpr Duration kHomeSilentRetry = std::chrono::milliseconds(400);
constexpr Duration kRecordPatience = std::chrono::milliseconds(120);
// Of the tokens at home, the part that is left for the next home. What comes in
// above it is lent freely, also while the store is away.
constexpr double kKeptPart = 0.85;
// The kept part is written anew once it is off by so much of the burst.
constexpr double kDrift = 0.15;
// A home's word that a team is short of tokens holds for so long.
constexpr Duration kScarceFor = std::chrono::milliseconds(600);
constexpr Duration kNewcomerRetry = std::chrono::milliseconds(900);
constexpr Duration kUnderWayFor = std::chrono::seconds(10);
constexpr Duration kLendingLasts = std::chrono::seconds(4);

RateShare ShareOf(const std::string& team) {
  return {team, 0};
}

RateLimits Part(const RateLimits& limits, double part) {
  return {.rate = limits.rate * part, .burst = limits.burst * part};
}

RateLimits HomePart(const DeployedTeam& team) {
  return Part(team.limits, 1 - kOwnPart);
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

const DeployedTeam* TeamNamed(const Node& node, const std::string& name) {
  if (node.deployment == nullptr) {
    return nullptr;
  }
  const auto team = node.deployment->teams.find(name);
  return team == node.deployment->teams.end() ? nullptr : &team->second;
}

// Begins a home's bucket with what the home before left in the slot's log; a
// team without a record was never lent from.
void OpenBucket(Node& node, const HeldSlot& slot, const DeployedTeam& team) {
  const RateShare share = ShareOf(team.name);
  if (uint64_t& epoch = node.rates.home_epochs[team.name];
      epoch != slot.epoch) {
    epoch = slot.epoch;
    node.rates.home.buckets.erase(share);
    if (const auto kept = slot.rates.find(team.name);
        kept != slot.rates.end() && kept->second.recorded) {
      const double level = std::min(kept->second.durable, HomePart(team).burst);
      TakeOver(node.rates.home,
               {.share = share,
                .level = level,
                .lent = HomePart(team).burst - level},
               Now());
    }
  }
}

double Kept(const KeptRate& rate) {
  return std::max(rate.durable, rate.asked);
}

std::shared_ptr<Promise<bool>> WriteKept(Node& node,
                                         const HeldSlotPtr& slot,
                                         const std::string& team,
                                         double kept) {
  auto written = std::make_shared<Promise<bool>>(node.io);
  KeptRate& rate = slot->rates[team];
  rate.writing = true;
  rate.asked = kept;
  Enqueue(node, slot, RateRecord{team, kept}, true,
          [slot, team, kept, written](bool durable) {
            KeptRate& now_rate = slot->rates[team];
            now_rate.writing = false;
            if (durable) {
              now_rate.durable = kept;
              now_rate.recorded = true;
            }
            written->Give(durable);
          });
  return written;
}

double KeptOf(double level) {
  return level * kKeptPart;
}

LoanAnswer LendKeeping(Node& node,
                       const HeldSlot& slot,
                       const DeployedTeam& team,
                       const LoanWish& wish) {
  const auto rate = slot.rates.find(team.name);
  const LendStart start{
      .first = true,
      .acting_from = {},
      .keep = rate == slot.rates.end() ? 0 : Kept(rate->second)};
  return Lend(node.rates.home, wish, HomePart(team), start, Now());
}

// Lends as the home. Tokens that are kept for a successor are freed first by
// a record that keeps fewer.
Task<std::optional<LoanAnswer>> LendHere(Node& node,
                                         HeldSlotPtr slot,
                                         LoanWish wish) {
  const DeployedTeam* team = TeamNamed(node, wish.share.team);
  if (team == nullptr) {
    co_return std::nullopt;
  }
  const DeployedTeam known = *team;
  OpenBucket(node, *slot, known);
  KeptRate& rate = slot->rates[known.name];
  rate.lent_at = Now();
  const auto level =
      LevelAtHome(node.rates.home, wish.share, HomePart(known), Now());
  const double at_home = level.value_or(HomePart(known).burst);
  const bool short_of_kept =
      at_home - Kept(rate) < wish.needed && at_home >= wish.needed;
  if (!rate.recorded || short_of_kept) {
    const double kept = short_of_kept
                            ? std::max((at_home - wish.needed) / 4, 0.0)
                            : KeptOf(at_home);
    const auto written = WriteKept(node, slot, known.name, kept);
    const auto durable = co_await written->Wait(kRecordPatience);
    if (slot->lost || (!rate.recorded && !durable.value_or(false))) {
      co_return std::nullopt;
    }
  }
  co_return LendKeeping(node, *slot, known, wish);
}

struct Asked {
  bool answered = false;
  Duration retry_after{};
};

// What a home decides on a wish of any instance, this one among them.
Task<pb::RateGrant> Decide(Node& node,
                           HeldSlotPtr slot,
                           LoanWish wish,
                           bool newcomer) {
  pb::RateGrant grant;
  const DeployedTeam* team = TeamNamed(node, wish.share.team);
  if (team == nullptr) {
    grant.set_not_home(true);
    co_return grant;
  }
  const RateLimits limits = HomePart(*team);
  NewcomerGate& gate = node.rates.newcomers[team->name];
  OpenBucket(node, *slot, *team);
  const auto level = LevelAtHome(node.rates.home, wish.share, limits, Now());
  const double at_home = level.value_or(limits.burst);
  grant.set_scarce(IsScarce(at_home, limits));
  if (newcomer && !AdmitNewcomer(gate, at_home, limits, Now())) {
    grant.set_retry_after_ns(static_cast<uint64_t>(kNewcomerRetry.count()));
    co_return grant;
  }
  const auto answer = co_await LendHere(node, slot, wish);
  if (!answer) {
    grant.set_not_home(true);
    co_return grant;
  }
  NoteTokensUsed(node.rates.newcomers[wish.share.team], answer->tokens, Now());
  grant.set_tokens(answer->tokens);
  grant.set_retry_after_ns(static_cast<uint64_t>(answer->retry_after.count()));
  co_return grant;
}

Asked TakeAnswer(Node& node, const LoanWish& wish, const pb::RateGrant& grant) {
  if (grant.not_home()) {
    return {};
  }
  TakeGrant(node.rates.borrower, wish.share, wish.id.request, grant.tokens(),
            Now());
  if (grant.scarce()) {
    node.rates.scarce_until[wish.share.team] = Now() + kScarceFor;
  }
  return {true, Duration(grant.retry_after_ns())};
}

Task<Asked> AskPeerHome(Node& node,
                        PeerLinkPtr link,
                        LoanWish wish,
                        bool newcomer) {
  pb::NodeFrame frame;
  pb::RateWish& asked = *frame.mutable_rate_wish();
  asked.set_team(wish.share.team);
  asked.set_borrower(node.incarnation);
  asked.set_request(wish.id.request);
  asked.set_needed(wish.needed);
  asked.set_wanted(wish.wanted);
  asked.set_newcomer(newcomer);
  for (const LoanNews& news : Review(node.rates.borrower, Now())) {
    if (news.share == wish.share) {
      pb::RateUse& use = *asked.add_uses();
      use.set_request(news.request);
      use.set_tokens(news.tokens);
      use.set_closed(news.closed);
    }
  }
  const auto answer = co_await CallPeer(node.io, node.peers, link,
                                        std::move(frame), kAnswerPatience);
  if (!answer || !answer->has_rate_grant()) {
    co_return Asked{};
  }
  co_return TakeAnswer(node, wish, answer->rate_grant());
}

Task<Asked> AskHome(Node& node,
                    std::string team,
                    double needed,
                    bool newcomer) {
  const uint32_t number = HomeSlot(node, team);
  const LoanWish wish = AskFor(node.rates.borrower, ShareOf(team), needed,
                               node.incarnation, Now());
  if (const HeldSlotPtr slot = ActiveSlot(node, number)) {
    const pb::RateGrant grant = co_await Decide(node, slot, wish, newcomer);
    co_return TakeAnswer(node, wish, grant);
  }
  const PeerLinkPtr link = LinkToHolder(node, number);
  if (link == nullptr) {
    co_return Asked{};
  }
  co_return co_await AskPeerHome(node, link, wish, newcomer);
}

Task<> AskAhead(Node& node, std::string team) {
  co_await AskHome(node, team, 0, false);
  node.rates.asking.erase(team);
}

void AskAheadIfDue(Node& node, const std::string& team, Duration now) {
  if (ShouldAskAhead(node.rates.borrower, ShareOf(team), now) &&
      node.rates.asking.insert(team).second) {
    Spawn(node.io, AskAhead(node, team));
  }
}

bool TakeAny(Node& node, const DeployedTeam& team) {
  const Duration now = Now();
  return UseToken(node.rates.borrower, ShareOf(team.name), now) ||
         TakeOwn(node, team, now);
}

}  // namespace

Task<pb::RateGrant> LendToPeer(Node& node, pb::RateWish wish) {
  pb::RateGrant grant;
  const HeldSlotPtr slot = ActiveSlot(node, HomeSlot(node, wish.team()));
  const DeployedTeam* team = TeamNamed(node, wish.team());
  if (slot == nullptr || team == nullptr) {
    grant.set_not_home(true);
    co_return grant;
  }
  for (const pb::RateUse& use : wish.uses()) {
    TakeLoanNews(node.rates.home,
                 {.share = ShareOf(wish.team()),
                  .request = use.request(),
                  .tokens = use.tokens(),
                  .closed = use.closed()},
                 wish.borrower(), HomePart(*team), Now());
  }
  const LoanWish asked{
      .share = ShareOf(wish.team()),
      .id = {.borrower = wish.borrower(), .request = wish.request()},
      .needed = wish.needed(),
      .wanted = wish.wanted()};
  co_return co_await Decide(node, slot, asked, wish.newcomer());
}

void KeepRates(Node& node) {
  const Duration now = Now();
  for (const auto& [number, slot] : node.slots.held) {
    if (!slot->active) {
      continue;
    }
    for (auto& [name, rate] : slot->rates) {
      const DeployedTeam* team = TeamNamed(node, name);
      if (team == nullptr || rate.writing || !rate.recorded || !rate.lent_at ||
          now > *rate.lent_at + kLendingLasts) {
        continue;
      }
      const auto level =
          LevelAtHome(node.rates.home, ShareOf(name), HomePart(*team), now);
      if (level && std::abs(KeptOf(*level) - rate.durable) >
                       kDrift * HomePart(*team).burst) {
        WriteKept(node, slot, name, KeptOf(*level));
      }
    }
  }
}

void ForgetPrograms(Node& node) {
  const Duration now = Now();
  std::erase_if(node.rates.under_way, [now](const auto& entry) {
    return entry.second + kUnderWayFor < now;
  });
}

Task<tl::expected<void, Duration>> TakeFromRate(Node& node,
                                                DeployedTeam team,
                                                std::string program,
                                                bool may_begin) {
  if (team.limits.rate <= 0) {
    co_return tl::expected<void, Duration>();
  }
  NoteDemand(node.rates.borrower, ShareOf(team.name), Now());
  const ProgramName name{team.name, program};
  const auto scarce = node.rates.scarce_until.find(team.name);
  const bool is_scarce =
      scarce != node.rates.scarce_until.end() && Now() < scarce->second;
  const bool newcomer = may_begin && !program.empty() && is_scarce &&
                        !node.rates.under_way.contains(name);
  if (!newcomer && TakeAny(node, team)) {
    node.rates.under_way[name] = Now();
    AskAheadIfDue(node, team.name, Now());
    co_return tl::expected<void, Duration>();
  }
  const Duration until = Now() + kHomePatience;
  Asked asked;
  while (true) {
    asked = co_await AskHome(node, team.name, 1, newcomer);
    const bool turned_away =
        newcomer && asked.answered && asked.retry_after > Duration::zero();
    if (!turned_away && TakeAny(node, team)) {
      node.rates.under_way[name] = Now();
      co_return tl::expected<void, Duration>();
    }
    if (asked.answered || Now() + kAskAgain >= until) {
      break;
    }
    co_await Sleep(node.io, kAskAgain);
  }
  co_return tl::unexpected(asked.answered &&
                                   asked.retry_after > Duration::zero()
                               ? asked.retry_after
                               : kHomeSilentRetry);
}

}  // namespace celerykeel
