#include "celerykeel/node/rates.h"

#include <algorithm>  // for std::max
#include <map>        // for std::map
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/fleet.h"         // for LinkToHolder
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/rate_lending.h"  // for LendAsHome
#include "celerykeel/node/slot_upkeep.h"   // for MayActAsHolder

namespace celerykeel {

namespace {

// The fraction of a team's rate that all instances together admit while its
// home does not answer. Deployments allow this overshoot.
constexpr double kRateFractionWithoutHome = 0.1;
constexpr Duration kHomeAnswerTimeout = std::chrono::milliseconds(150);
// A home that died has a successor within about this time.
constexpr Duration kHomeSuccessionTimeout = std::chrono::milliseconds(400);
constexpr Duration kHomeRetryPause = std::chrono::milliseconds(40);
constexpr Duration kRetryAfterSilentHome = std::chrono::milliseconds(400);
// How long a home's report that a team is short of tokens is valid.
constexpr Duration kScarcityReportValidity = std::chrono::milliseconds(600);
// Programs of a team that wait to be reported at most; later ones are reported
// with one of their next calls.
constexpr size_t kMaxUnreportedPrograms = 512;

double FleetSize(const Node& node) {
  return double(node.fleet.members.size() + 1);
}

// Admits a small part of the rate while no home answers. The bucket starts
// empty when the home stops answering, so the length of the outage bounds what
// is admitted.
bool TakeWithoutHome(Node& node, const DeployedTeam& team, Duration now) {
  const auto found = node.rates.without_home.find(team.name);
  if (found == node.rates.without_home.end()) {
    return false;
  }
  const double part = kRateFractionWithoutHome / FleetSize(node);
  const double rate = team.limits.rate * part;
  Refill(found->second, rate, std::max(team.limits.burst * part, 1.0), now);
  return Take(found->second, 1, rate).has_value();
}

void RecordHomeAnswer(Node& node, const std::string& team, bool answered) {
  if (answered) {
    node.rates.without_home.erase(team);
  } else {
    node.rates.without_home.try_emplace(
        team, TokenBucket{.level = 0, .updated_at = Now()});
  }
}

struct HomeAnswer {
  bool answered = false;
  // This instance is the home and may be partitioned from the others.
  bool is_unsure = false;
  Duration retry_after{};
};

HomeAnswer ApplyHomeGrant(Node& node,
                          const RequestedLoan& requested,
                          const pb::RateGrant& grant) {
  if (grant.not_home()) {
    return {};
  }
  ApplyGrant(node.rates.borrower, requested.share, requested.id.request,
             grant.tokens(), Now());
  if (grant.scarce()) {
    node.rates.scarcity_valid_until[requested.share.team] =
        Now() + kScarcityReportValidity;
  }
  HomeAnswer answer;
  answer.answered = true;
  answer.retry_after = Duration(grant.retry_after_ns());
  return answer;
}

pb::RateNews ToRateNews(const Node& node,
                        const std::vector<LoanReport>& items) {
  pb::RateNews news;
  news.set_borrower(node.incarnation);
  for (const LoanReport& item : items) {
    pb::RateUse& use = *news.add_uses();
    use.set_team(item.share.team);
    use.set_request(item.request);
    use.set_tokens(item.tokens);
    use.set_closed(item.closed);
  }
  return news;
}

// Reports the use of loans to a home. If a report is lost, the home counts the
// tokens as lent until the loan expires.
void SendLoanReports(Node& node,
                     uint32_t home,
                     const std::vector<LoanReport>& items) {
  if (items.empty()) {
    return;
  }
  if (ActiveSlot(node, home) != nullptr) {
    ApplyLoanReports(node, ToRateNews(node, items));
  } else if (const PeerLinkPtr link = LinkToHolder(node, home)) {
    pb::NodeFrame frame;
    *frame.mutable_rate_news() = ToRateNews(node, items);
    SendFrame(link->socket, frame);
  }
}

uint32_t MillisOf(Duration duration) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::max<int64_t>(millis, 0));
}

uint64_t ProgramHash(const std::string& team, const std::string& program) {
  return program.empty() ? 0 : HashOfProgram(team, program);
}

// Reports programs served here to the home, so that it and other instances
// take their next calls for what they are.
// @return the number that a home of an older build is told instead.
uint32_t ReportPrograms(Node& node, uint32_t home, const std::string& team) {
  const auto found = node.rates.unreported_programs.find(team);
  if (found == node.rates.unreported_programs.end()) {
    return 0;
  }
  pb::NodeFrame frame;
  pb::ProgramsBegun& begun = *frame.mutable_programs_begun();
  begun.set_team(team);
  for (const uint64_t program : found->second) {
    begun.add_programs(program);
  }
  const auto count = static_cast<uint32_t>(found->second.size());
  node.rates.unreported_programs.erase(found);
  if (ActiveSlot(node, home) != nullptr) {
    ApplyProgramsBegun(node, begun);
    return 0;
  }
  const PeerLinkPtr link = LinkToHolder(node, home);
  if (link == nullptr) {
    return 0;
  }
  const auto state = node.peer_states.find(link->instance);
  if (state == node.peer_states.end() || state->second.rate_protocol < 1) {
    return count;
  }
  SendFrame(link->socket, frame);
  return 0;
}

void RecordServedProgram(Node& node,
                         const std::string& team,
                         uint64_t program) {
  if (program == 0 ||
      !RecordProgram(node.rates.recent_programs, program, Now())) {
    return;
  }
  if (auto& unreported = node.rates.unreported_programs[team];
      unreported.size() < kMaxUnreportedPrograms) {
    unreported.push_back(program);
  }
}

Task<HomeAnswer> RequestLoanFromPeer(Node& node,
                                     PeerLinkPtr link,
                                     RequestedLoan requested,
                                     ProgramsUpdate programs) {
  pb::NodeFrame frame;
  pb::RateWish& asked = *frame.mutable_rate_wish();
  asked.set_team(requested.share.team);
  asked.set_borrower(node.incarnation);
  asked.set_request(requested.id.request);
  asked.set_needed(requested.needed);
  asked.set_wanted(requested.wanted);
  asked.set_newcomer(programs.call.newcomer);
  asked.set_time_left_ms(MillisOf(programs.call.program_time_left));
  asked.set_begun(programs.begun);
  asked.set_max_wait_ms(MillisOf(programs.call.max_wait));
  asked.set_program(programs.call.program);
  asked.set_caller(programs.call.caller);
  const auto answer = co_await CallPeer(node.io, node.peers, link,
                                        std::move(frame), kHomeAnswerTimeout);
  if (!answer || !answer->has_rate_grant()) {
    co_return HomeAnswer{};
  }
  co_return ApplyHomeGrant(node, requested, answer->rate_grant());
}

Task<HomeAnswer> RequestLoanFromHome(Node& node,
                                     std::string team,
                                     double needed,
                                     ProgramsUpdate programs) {
  const uint32_t number = HomeSlot(node, team);
  SendLoanReports(node, number,
                  ReviewShare(node.rates.borrower, RateShareOf(team), Now()));
  const RequestedLoan requested = RequestLoan(
      node.rates.borrower, RateShareOf(team), needed, node.incarnation, Now());
  // A lost request loses this count. The programs that begin later and are
  // reported with later requests make up for it.
  programs.begun = ReportPrograms(node, number, team);
  if (const HeldSlotPtr slot = ActiveSlot(node, number)) {
    const pb::RateGrant grant =
        co_await LendAsHome(node, slot, requested, programs);
    HomeAnswer answer = ApplyHomeGrant(node, requested, grant);
    answer.is_unsure = grant.not_home() && !MayActAsHolder(node, slot);
    co_return answer;
  }
  const PeerLinkPtr link = LinkToHolder(node, number);
  if (link == nullptr) {
    co_return HomeAnswer{};
  }
  co_return co_await RequestLoanFromPeer(node, link, requested, programs);
}

// True if no instance is known to hold the slot of the home and to have
// replayed its log.
bool IsHomeVacant(const Node& node, uint32_t home) {
  return ActiveSlot(node, home) == nullptr &&
         LinkToHolder(node, home) == nullptr;
}

Task<> AskAhead(Node& node, std::string team) {
  co_await RequestLoanFromHome(node, team, 0, {});
  node.rates.loan_requests_ahead.erase(team);
}

void RequestLoanAheadIfDue(Node& node, const std::string& team, Duration now) {
  if (ShouldRequestAhead(node.rates.borrower, RateShareOf(team), now) &&
      node.rates.loan_requests_ahead.insert(team).second) {
    Spawn(node.io, AskAhead(node, team));
  }
}

std::optional<RatePermit> ReservePermitLocally(Node& node,
                                               const DeployedTeam& team) {
  const Duration now = Now();
  if (auto token =
          ReserveToken(node.rates.borrower, RateShareOf(team.name), now)) {
    return RatePermit{team.name, std::move(token), false};
  }
  if (TakeWithoutHome(node, team, now)) {
    return RatePermit{team.name, std::nullopt, true};
  }
  return std::nullopt;
}

}  // namespace

void ReportLoans(Node& node) {
  std::map<uint32_t, std::vector<LoanReport>> by_home;
  for (LoanReport& item : ReviewLoans(node.rates.borrower, Now())) {
    by_home[HomeSlot(node, item.share.team)].push_back(std::move(item));
  }
  for (const auto& [home, items] : by_home) {
    SendLoanReports(node, home, items);
  }
  std::vector<std::string> teams;
  teams.reserve(node.rates.unreported_programs.size());
  for (const auto& [team, programs] : node.rates.unreported_programs) {
    teams.push_back(team);
  }
  for (const std::string& team : teams) {
    const uint32_t home = HomeSlot(node, team);
    if (ActiveSlot(node, home) != nullptr || LinkToHolder(node, home)) {
      ReportPrograms(node, home, team);
    }
  }
}

void ReturnTokens(Node& node, const std::string& team) {
  SendLoanReports(
      node, HomeSlot(node, team),
      ReturnUnreserved(node.rates.borrower, RateShareOf(team), Now()));
}

Task<tl::expected<RatePermit, Duration>> ReserveFromRate(Node& node,
                                                         DeployedTeam team,
                                                         std::string program,
                                                         ProgramStart start) {
  if (team.limits.rate <= 0) {
    RecordServedProgram(node, team.name, ProgramHash(team.name, program));
    co_return RatePermit{};
  }
  RecordDemand(node.rates.borrower, RateShareOf(team.name), Now());
  const uint64_t hash = ProgramHash(team.name, program);
  const auto scarce = node.rates.scarcity_valid_until.find(team.name);
  const bool is_scarce =
      scarce != node.rates.scarcity_valid_until.end() && Now() < scarce->second;
  const bool begins = start.may_begin && hash != 0 &&
                      !IsRecent(node.rates.recent_programs, hash);
  // While a team is short of tokens, its home decides on new programs.
  const bool newcomer = begins && is_scarce;
  if (!newcomer) {
    if (auto permit = ReservePermitLocally(node, team)) {
      RecordServedProgram(node, team.name, hash);
      RequestLoanAheadIfDue(node, team.name, Now());
      co_return std::move(*permit);
    }
  }
  const uint32_t home = HomeSlot(node, team.name);
  // After a loss of many instances a home is back later than a caller that is
  // refused now would return, and most callers return only once.
  const Duration until =
      Now() + std::max(kHomeSuccessionTimeout, start.max_wait);
  HomeAnswer asked;
  while (true) {
    asked = {};
    if (!IsHomeVacant(node, home)) {
      asked = co_await RequestLoanFromHome(
          node, team.name, 1,
          {.call = {.program = hash,
                    .caller = start.caller,
                    .newcomer = newcomer,
                    .program_time_left = start.time_left,
                    .max_wait = start.max_wait},
           .begun = 0});
    }
    RecordHomeAnswer(node, team.name, asked.answered);
    const bool program_refused =
        newcomer && asked.answered && asked.retry_after > Duration::zero();
    if (!program_refused) {
      if (auto permit = ReservePermitLocally(node, team)) {
        RecordServedProgram(node, team.name, hash);
        co_return std::move(*permit);
      }
    }
    // A partition rarely ends while a call waits.
    if (asked.answered || asked.is_unsure || Now() + kHomeRetryPause >= until) {
      break;
    }
    co_await Sleep(node.io, kHomeRetryPause);
  }
  co_return tl::unexpected(asked.answered &&
                                   asked.retry_after > Duration::zero()
                               ? asked.retry_after
                               : kRetryAfterSilentHome);
}

Task<bool> MayBeInProgress(Node& node, std::string team, uint64_t program) {
  const uint32_t number = HomeSlot(node, team);
  if (const HeldSlotPtr slot = ActiveSlot(node, number)) {
    co_return MayBeInProgressAtHome(node, *slot, team, program);
  }
  const PeerLinkPtr link = LinkToHolder(node, number);
  if (link == nullptr) {
    co_return true;
  }
  const auto state = node.peer_states.find(link->instance);
  if (state == node.peer_states.end() || state->second.rate_protocol < 1) {
    co_return true;
  }
  pb::NodeFrame frame;
  pb::RateWish& wish = *frame.mutable_rate_wish();
  wish.set_team(team);
  wish.set_borrower(node.incarnation);
  wish.set_program(program);
  const auto answer = co_await CallPeer(node.io, node.peers, link,
                                        std::move(frame), kHomeAnswerTimeout);
  co_return !answer || !answer->has_rate_grant() ||
      answer->rate_grant().not_home() || answer->rate_grant().in_progress();
}

Task<tl::expected<RatePermit, Duration>> RenewPermit(Node& node,
                                                     DeployedTeam team,
                                                     std::string program,
                                                     RatePermit permit) {
  if (!permit.token ||
      IsStillReserved(node.rates.borrower, *permit.token, Now())) {
    co_return permit;
  }
  ReturnPermit(node, permit);
  co_return co_await ReserveFromRate(node, std::move(team), std::move(program),
                                     {});
}

void UsePermit(Node& node, const RatePermit& permit) {
  if (permit.token) {
    UseReserved(node.rates.borrower, *permit.token);
  }
}

void ReturnPermit(Node& node, const RatePermit& permit) {
  if (permit.token) {
    ReturnReserved(node.rates.borrower, *permit.token);
  } else if (const auto bucket = node.rates.without_home.find(permit.team);
             permit.without_home && bucket != node.rates.without_home.end()) {
    bucket->second.level += 1;  // the next refill limits it to the burst
  }
}

}  // namespace celerykeel
