#include "celerykeel/node/rate_recall.h"

#include <algorithm>  // for std::max

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/node.h"   // for Node
#include "celerykeel/node/rates.h"  // for ReturnTokens

namespace celerykeel {

namespace {

// Round trips take up to 3 ms, and a busy instance answers some milliseconds
// later. The request that waits is refused otherwise.
constexpr Duration kRecallTimeout = std::chrono::milliseconds(30);
constexpr Duration kRecallCheck = std::chrono::milliseconds(3);
// Requests within this time wait for the recalls that an earlier one has sent.
constexpr Duration kRecallInterval = std::chrono::milliseconds(50);
// Messages that one recall sends at most.
constexpr size_t kMaxRecalledBorrowers = 8;
constexpr Duration kLogInterval = std::chrono::seconds(1);

void Recall(Node& node, Incarnation borrower, const std::string& team) {
  if (borrower == node.incarnation) {
    ReturnTokens(node, team);
    return;
  }
  for (const auto& [instance, member] : node.fleet.members) {
    const auto state = node.peer_states.find(instance);
    const auto link = node.peers.links.find(instance);
    if (member.incarnation == borrower && state != node.peer_states.end() &&
        state->second.rate_protocol >= 1 && link != node.peers.links.end() &&
        link->second->socket != nullptr) {
      pb::NodeFrame frame;
      frame.mutable_rate_recall()->set_team(team);
      SendFrame(link->second->socket, frame);
    }
  }
}

}  // namespace

Task<bool> RecallTokens(Node& node,
                        RequestedLoan requested,
                        RateLimits limits,
                        double level) {
  const std::string& team = requested.share.team;
  const Duration began = Now();
  requested.needed = level;
  const auto borrowers = BorrowersWithSpareTokens(
      node.rates.home, requested,
      LevelAtHome(node.rates.home, requested.share, limits, began).value_or(0),
      kMaxRecalledBorrowers);
  Duration& recalled_at = node.rates.recalled_at[team];
  if (borrowers.empty()) {
    co_return false;
  }
  if (began >= recalled_at + kRecallInterval) {
    recalled_at = began;
    Count(node.metrics.rate_recalls, "by", "home");
    for (const Incarnation borrower : borrowers) {
      Recall(node, borrower, team);
    }
  }
  while (Now() < began + kRecallTimeout) {
    const auto now_level =
        LevelAtHome(node.rates.home, requested.share, limits, Now());
    if (now_level.value_or(0) >= level) {
      co_return true;
    }
    co_await Sleep(node.io, kRecallCheck);
  }
  co_return false;
}

void RecordRefusal(Node& node,
                   const std::string& team,
                   const QueuedCall& queued,
                   Duration told,
                   bool held_back) {
  RefusalLog& log = node.rates.refusal_logs[team];
  const bool is_program = queued.call_class == CallClass::kNewProgram;
  log.no_token += held_back ? 0 : 1;
  log.programs_held_back += held_back && is_program ? 1 : 0;
  log.plain_held_back += held_back && !is_program ? 1 : 0;
  log.longest_told = std::max(log.longest_told, told);
  if (is_program) {
    Count(node.metrics.programs, "outcome", "held back by the rate");
  }
  const Duration now = Now();
  if (now < log.logged_at + kLogInterval) {
    return;
  }
  const TeamQueue& queue = node.rates.queues[team];
  WriteLog(node.log, LogLevel::kUnusual, "team over its rate",
           {{"team", team},
            {"no_token", log.no_token},
            {"programs_held_back", log.programs_held_back},
            {"plain_held_back", log.plain_held_back},
            {"returned", log.returned},
            {"will_return", static_cast<uint64_t>(queue.retries.by_due.size())},
            {"longest_told_ms", log.longest_told}});
  log = {.logged_at = now};
}

void RecordReturn(Node& node,
                  const std::string& team,
                  const QueuedCall& queued) {
  if (queued.call_class == CallClass::kNewProgram) {
    Count(node.metrics.programs, "outcome", "admitted by the rate");
  }
  if (queued.returns) {
    node.rates.refusal_logs[team].returned += 1;
  }
}

}  // namespace celerykeel
