#include "celerykeel/node/call_path.h"

#include <algorithm>  // for std::min
#include <utility>    // for std::move

#include <xxhash.h>  // for XXH3_64bits

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/core/rendezvous.h"   // for FractionOfHash
#include "celerykeel/node/attempts.h"     // for RunAttempts
#include "celerykeel/node/capacity.h"     // for RefusalIfServiceFull
#include "celerykeel/node/node.h"         // for Node
#include "celerykeel/node/rates.h"        // for ReserveFromRate
#include "celerykeel/node/regions.h"      // for AllEvacuated
#include "celerykeel/node/suspect_run.h"  // for RefusalIfDeadly
#include "celerykeel/node/turn_path.h"    // for ServeTurn

namespace celerykeel {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr Duration kNotReadyRetry = std::chrono::milliseconds(500);
// Callers use other instances this long after a planned stop began.
constexpr Duration kStopNoticeTime = std::chrono::seconds(3);
// Callers wait before a retry for at most this part of the time that they have.
constexpr int kRetryDivisor = 3;
// Another instance takes the request at once.
constexpr Duration kElsewhereRetry = std::chrono::milliseconds(50);

// Maps a request to [0, 1]. All requests of a program get the same value, so
// they go to the same service of a split route.
double SplitPoint(const CallRequest& request) {
  const std::string& subject = request.header_values.program.empty()
                                   ? request.header_values.id
                                   : request.header_values.program;
  return FractionOfHash(XXH3_64bits(subject.data(), subject.size()));
}

// A retry has a new id but the same content. Calls of different programs may
// have the same content.
uint64_t CallerOf(const Call& call) {
  const std::string& program = call.request.header_values.program;
  return call.identity.hash_low ^ XXH3_64bits(program.data(), program.size());
}

bool BeginsProgram(const Node& node, const Call& call) {
  const CallHeaderValues& header_values = call.request.header_values;
  return call.team != nullptr && !header_values.program.empty() &&
         header_values.previous_turn.empty() &&
         !IsRecent(node.rates.recent_programs,
                   HashOfProgram(call.team->name, header_values.program));
}

// Refuses a request that came late in a planned stop, for example as its body
// was slow, and might be cut at the end of the stop.
std::optional<CallRefusal> RefusalIfStopping(const Node& node,
                                             const Call& call) {
  const auto& stop = node.planned_stop;
  if (!stop || call.arrived_at <= stop->began_at + kStopNoticeTime ||
      call.deadline <= stop->calls_end_at) {
    return std::nullopt;
  }
  return CallRefusal{kUnavailable, "not run: the instance stops",
                     kElsewhereRetry};
}

}  // namespace

std::optional<CallRefusal> CheckHead(const Node& node, Call& call) {
  if (!HasConfiguration(node)) {
    return CallRefusal{kUnavailable, "no configuration yet", kNotReadyRetry};
  }
  call.deployment = node.deployment;
  call.route =
      MatchRoute(*call.deployment, call.request.host, call.request.target);
  if (call.route == nullptr) {
    return CallRefusal{kNotFound, "no such route", {}};
  }
  if (!call.route->open && !call.deployment->teams.empty()) {
    call.team = TeamOfKey(*call.deployment, call.request.header_values.key);
    if (call.team == nullptr) {
      return CallRefusal{kUnauthorized, "the key is not known", {}};
    }
  }
  if (call.request.header_values.has_invalid_id) {
    return CallRefusal{kBadRequest, "an id is too long or no text", {}};
  }
  if (call.request.header_values.id.empty()) {
    return CallRefusal{kBadRequest, "the request has no id", {}};
  }
  return std::nullopt;
}

Duration TimeLeft(const Call& call) {
  return call.deadline - Now();
}

void SettleRate(Node& node, Call& call) {
  if (const auto permit = std::exchange(call.rate_permit, std::nullopt)) {
    if (call.runs > 0) {
      UsePermit(node, *permit);
    } else {
      ReturnPermit(node, *permit);
    }
  }
}

Task<> Refuse(Node& node, CallPtr call, CallRefusal refusal) {
  SettleRate(node, *call);
  CountRefusal(node.metrics, refusal.status, refusal.reason);
  if (refusal.retry_after > Duration::zero()) {
    Observe(node.metrics.told_seconds, refusal.retry_after);
  }
  WriteLog(
      node.log, LogLevel::kOrdinary, "refused",
      {{"id", call->request.header_values.id},
       {"program", call->request.header_values.program},
       {"route", call->route == nullptr ? "" : call->route->name},
       {"team", call->team == nullptr ? "" : call->team->name},
       {"status", refusal.status},
       {"reason", refusal.reason},
       {"tries", call->tries},
       {"after_ms", Now() - call->arrived_at},
       {"retry_after_ms", refusal.retry_after},
       {"version", call->deployment == nullptr ? uint64_t{0}
                                               : call->deployment->version}});
  if (call->caller->disconnected || call->caller->aborted) {
    co_return;
  }
  co_await SendRefusal(call->caller, refusal);
}

Task<> ServeCall(Node& node, CallerStreamPtr caller, CallRequest request) {
  const auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->caller = caller;
  call->arrived_at = Now();
  if (const auto refusal = CheckHead(node, *call)) {
    co_await Refuse(node, call, *refusal);
    co_return;
  }
  call->identity = IdentityOf(call->team == nullptr ? "" : call->team->name,
                              call->request.method, call->request.target,
                              call->request.body);
  call->deadline =
      call->arrived_at +
      std::min(
          call->request.header_values.time_left.value_or(call->route->timeout),
          call->route->timeout);
  if (const auto refusal = RefusalIfStopping(node, *call)) {
    co_await Refuse(node, call, *refusal);
    co_return;
  }
  // A caller's disconnect aborts its exchange with an endpoint, unless the call
  // must not run twice.
  caller->on_caller_disconnect = [call] {
    if (call->attempt != nullptr && call->route->repeat != RepeatRule::kOnce) {
      Close(*call->attempt);
    }
  };
  if (const auto refusal = RefusalIfDeadly(node, *call)) {
    HandleDeadlyArrival(node, call->identity);
    co_await Refuse(node, call, *refusal);
    co_return;
  }
  call->service = ServiceAt(*call->route, SplitPoint(call->request));
  if (IsServiceEvacuated(node.endpoints, call->service)) {
    co_await Refuse(node, call, AllEvacuated());
    co_return;
  }
  const bool is_turn = call->route->repeat == RepeatRule::kStream;
  if (const auto refusal =
          is_turn ? RefusalIfBudgetSpent(node, *call) : std::nullopt) {
    co_await Refuse(node, call, *refusal);
    co_return;
  }
  call->begins_program = is_turn && BeginsProgram(node, *call);
  if (call->begins_program) {
    if (const auto refusal = co_await RefusalIfServiceFull(node, call)) {
      co_await Refuse(node, call, *refusal);
      co_return;
    }
  }
  if (call->team != nullptr) {
    const CallHeaderValues& header_values = call->request.header_values;
    const ProgramStart start{
        .may_begin = is_turn && header_values.previous_turn.empty(),
        .time_left = header_values.program_time_left.value_or(Duration::zero()),
        .caller = CallerOf(*call),
        .max_wait = TimeLeft(*call) / kRetryDivisor};
    auto taken = co_await ReserveFromRate(node, *call->team,
                                          header_values.program, start);
    if (!taken) {
      co_await Refuse(node, call,
                      {kTooMany, "the team's rate is used up", taken.error()});
      co_return;
    }
    call->rate_permit = std::move(*taken);
  }
  if (is_turn) {
    co_await ServeTurn(node, call);
  } else {
    co_await RunAttempts(node, call);
  }
  SettleRate(node, *call);
}

bool HasConfiguration(const Node& node) {
  return node.deployment != nullptr &&
         node.endpoints.evacuations.read_at.has_value();
}

bool IsReady(const Node& node) {
  return HasConfiguration(node) && !node.stopping &&
         !node.endpoints.endpoints.empty();
}

}  // namespace celerykeel
