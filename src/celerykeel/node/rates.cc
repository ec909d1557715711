#include "celerykeel/node/rates.h"

#include <algorithm>  // for std::max
#include <map>        // for std::map
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/fleet.h"         // for LinkToHolder
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/rate_lending.h"  // for LendAsHome

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
constexpr Duration kRecentProgramTime = std::chrono::seconds(10);

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
  return {true, Duration(grant.retry_after_ns())};
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
  asked.set_newcomer(programs.newcomer);
  asked.set_time_left_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(programs.time_left)
          .count()));
  asked.set_begun(programs.begun);
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
  programs.begun = std::exchange(node.rates.unreported_programs[team], 0);
  if (const HeldSlotPtr slot = ActiveSlot(node, number)) {
    const pb::RateGrant grant =
        co_await LendAsHome(node, slot, requested, programs);
    co_return ApplyHomeGrant(node, requested, grant);
  }
  const PeerLinkPtr link = LinkToHolder(node, number);
  if (link == nullptr) {
    co_return HomeAnswer{};
  }
  co_return co_await RequestLoanFromPeer(node, link, requested, programs);
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
}

void ForgetPrograms(Node& node) {
  const Duration now = Now();
  std::erase_if(node.rates.recent_programs, [now](const auto& entry) {
    return entry.second + kRecentProgramTime < now;
  });
}

Task<tl::expected<RatePermit, Duration>> ReserveFromRate(Node& node,
                                                         DeployedTeam team,
                                                         std::string program,
                                                         ProgramStart start) {
  if (team.limits.rate <= 0) {
    co_return RatePermit{};
  }
  RecordDemand(node.rates.borrower, RateShareOf(team.name), Now());
  const ProgramName name{team.name, program};
  const auto scarce = node.rates.scarcity_valid_until.find(team.name);
  const bool is_scarce =
      scarce != node.rates.scarcity_valid_until.end() && Now() < scarce->second;
  const bool begins = start.may_begin && !program.empty() &&
                      !node.rates.recent_programs.contains(name);
  // While a team is short of tokens, its home decides on new programs.
  const bool newcomer = begins && is_scarce;
  if (!newcomer) {
    if (auto permit = ReservePermitLocally(node, team)) {
      node.rates.recent_programs[name] = Now();
      node.rates.unreported_programs[team.name] += begins ? 1 : 0;
      RequestLoanAheadIfDue(node, team.name, Now());
      co_return std::move(*permit);
    }
  }
  const Duration until = Now() + kHomeSuccessionTimeout;
  HomeAnswer asked;
  while (true) {
    asked = co_await RequestLoanFromHome(
        node, team.name, 1,
        {.newcomer = newcomer, .time_left = start.time_left, .begun = 0});
    RecordHomeAnswer(node, team.name, asked.answered);
    const bool program_refused =
        newcomer && asked.answered && asked.retry_after > Duration::zero();
    if (!program_refused) {
      if (auto permit = ReservePermitLocally(node, team)) {
        node.rates.recent_programs[name] = Now();
        node.rates.unreported_programs[team.name] +=
            begins && !newcomer ? 1 : 0;
        co_return std::move(*permit);
      }
    }
    if (asked.answered || Now() + kHomeRetryPause >= until) {
      break;
    }
    co_await Sleep(node.io, kHomeRetryPause);
  }
  co_return tl::unexpected(asked.answered &&
                                   asked.retry_after > Duration::zero()
                               ? asked.retry_after
                               : kRetryAfterSilentHome);
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
