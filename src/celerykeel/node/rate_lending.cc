#include "celerykeel/node/rate_lending.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/node/node.h"         // for Node
#include "celerykeel/node/rate_recall.h"  // for RecallTokens
#include "celerykeel/node/slot_log.h"     // for Enqueue
#include "celerykeel/node/slot_upkeep.h"  // for MayActAsHolder

namespace celerykeel {

namespace {

constexpr Duration kRecordTimeout = std::chrono::milliseconds(120);
// The fraction of the tokens available at the home that is reserved for the
// next home. The other tokens can be lent without a store write, also while the
// store is unavailable.
constexpr double kReserveFraction = 0.85;
// The reserve is rewritten when it differs from kReserveFraction of the
// available tokens by more than this fraction of the burst.
constexpr double kReserveDrift = 0.15;
// Reserves are rewritten for this long after the last loan request.
constexpr Duration kActiveLendingTime = std::chrono::seconds(4);

// Initializes a home's bucket from the previous home's record in the slot's
// log. Without a record, nothing was ever lent from the team's rate.
void InitializeBucket(Node& node,
                      const HeldSlot& slot,
                      const DeployedTeam& team) {
  const RateShare share = RateShareOf(team.name);
  if (uint64_t& epoch = node.rates.home_epochs[team.name];
      epoch != slot.epoch) {
    epoch = slot.epoch;
    node.rates.home_since[team.name] = Now();
    node.rates.home.buckets.erase(share);
    if (const auto kept = slot.rates.find(team.name);
        kept != slot.rates.end() && kept->second.recorded) {
      const double level = std::min(kept->second.durable, team.limits.burst);
      TakeOver(
          node.rates.home,
          {.share = share, .level = level, .lent = team.limits.burst - level},
          Now());
    }
  }
}

double CurrentReserve(const RateReserve& rate) {
  return std::max(rate.durable, rate.latest);
}

std::shared_ptr<Promise<bool>> WriteReserve(Node& node,
                                            const HeldSlotPtr& slot,
                                            const std::string& team,
                                            double kept) {
  auto written = std::make_shared<Promise<bool>>(node.io);
  RateReserve& rate = slot->rates[team];
  rate.writing = true;
  rate.latest = kept;
  Enqueue(node, slot, RateRecord{team, kept}, true,
          [slot, team, kept, written](bool durable) {
            RateReserve& now_rate = slot->rates[team];
            now_rate.writing = false;
            if (durable) {
              now_rate.durable = kept;
              now_rate.recorded = true;
            }
            written->SetValue(durable);
          });
  return written;
}

double ReserveOfLevel(double level) {
  return level * kReserveFraction;
}

// The tokens to reserve for the successor: kReserveFraction of the level. If
// this leaves too few for a waiting request that the level can serve, a quarter
// of the tokens that remain after the request.
double ReserveBesideRequest(double level, double needed) {
  const double kept = ReserveOfLevel(level);
  const bool leaves_too_few = level >= needed && level - kept < needed;
  return leaves_too_few ? (level - needed) / 4 : kept;
}

// Writes the team's first reserve, or a smaller one if the current reserve
// leaves too few tokens for a waiting request that the level can serve.
// @return false if nothing may be lent because the slot is lost or the team has
// no durable record.
Task<bool> MakeLendable(Node& node,
                        HeldSlotPtr slot,
                        std::string team,
                        double at_home,
                        double needed) {
  RateReserve& rate = slot->rates[team];
  rate.lent_at = Now();
  const bool reserve_blocks_request =
      at_home - CurrentReserve(rate) < needed && at_home >= needed;
  if (rate.recorded && !reserve_blocks_request) {
    co_return true;
  }
  const double kept = reserve_blocks_request
                          ? (at_home - needed) / 4
                          : ReserveBesideRequest(at_home, needed);
  const auto written = WriteReserve(node, slot, team, kept);
  const auto durable = co_await written->Wait(kRecordTimeout);
  co_return !slot->lost && (rate.recorded || durable.value_or(false));
}

double Level(Node& node, const RateShare& share, const RateLimits& limits) {
  return LevelAtHome(node.rates.home, share, limits, Now())
      .value_or(limits.burst);
}

}  // namespace

uint32_t HomeSlot(const Node& node, const std::string& team) {
  return SlotOfSubject(team, "rate",
                       static_cast<uint32_t>(node.fleet.slots.size()));
}

const DeployedTeam* FindTeam(const Node& node, const std::string& name) {
  if (node.deployment == nullptr) {
    return nullptr;
  }
  const auto team = node.deployment->teams.find(name);
  return team == node.deployment->teams.end() ? nullptr : &team->second;
}

Task<pb::RateGrant> LendAsHome(Node& node,
                               HeldSlotPtr slot,
                               RequestedLoan requested,
                               ProgramsUpdate programs) {
  pb::RateGrant grant;
  const bool may_lend =
      co_await AwaitMayActAsHolder(node, slot, kRecordTimeout);
  const DeployedTeam* team = FindTeam(node, requested.share.team);
  if (!may_lend || team == nullptr) {
    grant.set_not_home(true);
    co_return grant;
  }
  const std::string name = team->name;
  const RateLimits limits = team->limits;
  InitializeBucket(node, *slot, *team);
  const double at_home = Level(node, requested.share, limits);
  grant.set_scarce(IsScarce(at_home, limits));
  TeamQueue& queue = node.rates.queues[name];
  RecordProgramsStarted(queue.admission, programs.begun, Now());
  // Tokens lent ahead would be missing at the times that callers were told.
  const bool is_waiting = requested.needed > 0;
  if (IsOverRate(queue, Now())) {
    requested.wanted = requested.needed;
  }
  const QueuedCall queued =
      is_waiting ? Classify(queue, programs.call, Now())
                 : QueuedCall{.call_class = CallClass::kNewProgram};
  if (is_waiting) {
    if (const auto told = RefuseUnlessAdmitted(queue, programs.call, queued,
                                               at_home, limits, Now())) {
      RecordRefusal(node, name, queued, *told, true);
      grant.set_retry_after_ns(static_cast<uint64_t>(told->count()));
      co_return grant;
    }
  }
  if (!co_await MakeLendable(node, slot, name, at_home, requested.needed)) {
    WithdrawAdmission(queue, queued, Now());
    grant.set_not_home(true);
    co_return grant;
  }
  const auto lend = [&] {
    const LendingStart start{.first = true,
                             .acting_from = {},
                             .keep = CurrentReserve(slot->rates[name]) +
                                     TokensHeld(queue, queued, Now())};
    return Lend(node.rates.home, requested, limits, start, Now());
  };
  LendResult answer = lend();
  if (is_waiting && answer.tokens <= 0) {
    const double kept = CurrentReserve(slot->rates[name]);
    const double held = TokensHeld(queue, queued, Now());
    const bool recalled = co_await RecallTokens(node, requested, limits,
                                                requested.needed + kept + held);
    if (recalled && MayActAsHolder(node, slot)) {
      answer = lend();
    }
  }
  if (is_waiting && answer.tokens <= 0) {
    WithdrawAdmission(queue, queued, Now());
    const double level = Level(node, requested.share, limits) -
                         CurrentReserve(slot->rates[name]) -
                         TokensHeld(queue, queued, Now());
    const Duration told =
        TellReturn(queue, programs.call, queued, level, limits, Now());
    RecordRefusal(node, name, queued, told, false);
    grant.set_retry_after_ns(static_cast<uint64_t>(told.count()));
    co_return grant;
  }
  RecordTokensUsed(queue.admission, answer.tokens, Now());
  if (is_waiting) {
    RecordServed(queue, programs.call, Now());
    RecordReturn(node, name, queued);
  }
  grant.set_tokens(answer.tokens);
  co_return grant;
}

void LowerInheritedReserves(Node& node, const HeldSlotPtr& slot) {
  for (const auto& [name, rate] : slot->rates) {
    const DeployedTeam* team = FindTeam(node, name);
    if (team == nullptr || !rate.recorded || rate.writing) {
      continue;
    }
    // The level of the bucket is the reserve that is about to be lowered.
    InitializeBucket(node, *slot, *team);
    constexpr double kLent = 0.5;
    WriteReserve(node, slot, name,
                 kLent * std::min(rate.durable, team->limits.burst));
  }
}

bool MayBeInProgressAtHome(Node& node,
                           const HeldSlot& slot,
                           const std::string& name,
                           uint64_t program) {
  const DeployedTeam* team = FindTeam(node, name);
  if (team == nullptr) {
    return true;
  }
  InitializeBucket(node, slot, *team);
  return Now() < node.rates.home_since[name] + kRecentProgramTime ||
         IsRecent(node.rates.queues[name].in_progress, program);
}

Task<pb::RateGrant> LendToPeer(Node& node, pb::RateWish requested) {
  const HeldSlotPtr slot = ActiveSlot(node, HomeSlot(node, requested.team()));
  if (slot == nullptr) {
    pb::RateGrant grant;
    grant.set_not_home(true);
    co_return grant;
  }
  if (requested.wanted() <= 0 && requested.program() != 0) {
    pb::RateGrant grant;
    grant.set_in_progress(MayBeInProgressAtHome(node, *slot, requested.team(),
                                                requested.program()));
    co_return grant;
  }
  const RequestedLoan asked{
      .share = RateShareOf(requested.team()),
      .id = {.borrower = requested.borrower(), .request = requested.request()},
      .needed = requested.needed(),
      .wanted = requested.wanted()};
  co_return co_await LendAsHome(
      node, slot, asked,
      {.call = {.program = requested.program(),
                .caller = requested.caller(),
                .newcomer = requested.newcomer(),
                .program_time_left =
                    std::chrono::milliseconds(requested.time_left_ms()),
                .max_wait = std::chrono::milliseconds(requested.max_wait_ms())},
       .begun = requested.begun()});
}

void ApplyProgramsBegun(Node& node, const pb::ProgramsBegun& begun) {
  const DeployedTeam* team = FindTeam(node, begun.team());
  if (team == nullptr ||
      ActiveSlot(node, HomeSlot(node, team->name)) == nullptr) {
    return;
  }
  TeamQueue& queue = node.rates.queues[team->name];
  for (const uint64_t program : begun.programs()) {
    RecordProgramReport(queue, program, Now());
  }
}

void ApplyLoanReports(Node& node, const pb::RateNews& news) {
  for (const pb::RateUse& use : news.uses()) {
    // Reports to a former home have no effect, because its successor counts
    // all lent tokens as used.
    if (const DeployedTeam* team = FindTeam(node, use.team())) {
      ApplyLoanReport(node.rates.home,
                      {.share = RateShareOf(use.team()),
                       .request = use.request(),
                       .tokens = use.tokens(),
                       .closed = use.closed()},
                      news.borrower(), team->limits, Now());
    }
  }
}

void RewriteDriftedReserves(Node& node) {
  const Duration now = Now();
  for (const auto& [number, slot] : node.slots.held) {
    if (!slot->active) {
      continue;
    }
    for (auto& [name, rate] : slot->rates) {
      const DeployedTeam* team = FindTeam(node, name);
      if (team == nullptr || rate.writing || !rate.recorded || !rate.lent_at ||
          now > *rate.lent_at + kActiveLendingTime) {
        continue;
      }
      const auto level =
          LevelAtHome(node.rates.home, RateShareOf(name), team->limits, now);
      if (level && std::abs(ReserveOfLevel(*level) - rate.durable) >
                       kReserveDrift * team->limits.burst) {
        WriteReserve(node, slot, name, ReserveOfLevel(*level));
      }
    }
  }
}

}  // namespace celerykeel
