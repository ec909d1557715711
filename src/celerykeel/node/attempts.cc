#include "celerykeel/node/attempts.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/core/call_urgency.h"     // for UrgencyOf
#include "celerykeel/core/cold_endpoints.h"   // for PresumeCold
#include "celerykeel/node/attempt_log.h"      // for LogAttempt
#include "celerykeel/node/buffered_bytes.h"   // for BufferedBytes
#include "celerykeel/node/endpoint_choice.h"  // for ChooseForCall
#include "celerykeel/node/endpoint_feed.h"    // for HandleDeparture
#include "celerykeel/node/endpoint_limits.h"  // for HandleNamedLimit
#include "celerykeel/node/endpoint_link.h"    // for ConnectToEndpoint
#include "celerykeel/node/node.h"             // for Node
#include "celerykeel/node/regions.h"          // for MayCarryBody
#include "celerykeel/node/suspect_run.h"      // for PrepareSuspect
#include "celerykeel/node/zone_traffic.h"     // for RecordServiceCall
#include "platform/headers.h"                 // for platform::EncodeAttempt

namespace celerykeel {

namespace {

constexpr int kTooMany = 429;
constexpr int kHeadTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr Duration kMaxIdleIfIdempotent = std::chrono::seconds(60);
// Answers to earlier requests that are skipped before the call's own answer.
constexpr int kMaxStaleAnswers = 2;
// Limits the attempts of a call, including those that the endpoint did not run.
// `max_tries` of a route counts only the others.
constexpr uint32_t kMaxEndpointTries = 4;
constexpr Duration kBusyRetry = std::chrono::milliseconds(250);
constexpr Duration kIsolationRetry = std::chrono::milliseconds(500);
// A call with at most this time left counts as timed out.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);

// Returns the time that an endpoint has for the head of its answer: all of the
// time left, or half of it (at least 100 ms) for a call that may be repeated,
// so that another endpoint can be tried.
Duration HeadTimeout(const Call& call) {
  const Duration left = TimeLeft(call);
  const bool may_repeat = call.route->repeat == RepeatRule::kIdempotent &&
                          call.runs < call.route->max_tries;
  return may_repeat
             ? std::max(left / 2, Duration(std::chrono::milliseconds(100)))
             : left;
}

AttemptHeaderValues HeaderValuesFor(const Node& node,
                                    const Call& call,
                                    const EndpointEntry& endpoint) {
  return {.endpoint_id = endpoint.id,
          .team = call.team == nullptr ? "" : call.team->name,
          .time_left = TimeLeft(call),
          .urgency =
              node.options.sends_priority
                  ? std::optional(UrgencyOf(*call.deployment, call.service,
                                            PriorityOf(*call.route, call.team),
                                            call.begins_program))
                  : std::nullopt,
          .resume_after = call.sequence.last_id};
}

// Reads a complete body. Fails if it is too long, or if all bodies that are
// being read take too much memory.
Task<tl::expected<std::string, ExchangeError>> ReadCompleteBody(
    Node& node,
    std::shared_ptr<AnswerReader> reader,
    asio::steady_timer::time_point until) {
  BufferedBytes buffered(node.buffered_answer_bytes);
  std::string body;
  while (true) {
    auto some = co_await reader->ReadSome(until);
    if (!some) {
      co_return tl::unexpected(some.error());
    }
    if (!*some) {
      co_return body;
    }
    body += **some;
    if (!buffered.Add((*some)->size())) {
      co_return tl::unexpected(ExchangeError::kMalformed);
    }
  }
}

// Reads the head of the answer to this request. Late answers to earlier
// requests on the connection may precede it and are skipped.
Task<tl::expected<AnswerHead, ExchangeError>> ReadHeadOfAnswer(
    Node& node,
    const Call& call,
    const EndpointEntry& endpoint,
    Attempt& attempt,
    OutConnectionPtr connection,
    asio::steady_timer::time_point until) {
  // A peer that relays the bytes may use a kept connection.
  const bool is_new = !connection->was_idle && connection->tunnel == nullptr;
  for (int stale = 0; stale <= kMaxStaleAnswers; ++stale) {
    attempt.reader = std::make_shared<AnswerReader>(connection);
    auto head = co_await attempt.reader->ReadHead(until);
    if (!head) {
      co_return head;
    }
    attempt.answer = platform::DecodeAnswer(head->headers, head->status);
    const AnswerHeaderValues& header_values = attempt.answer;
    if (header_values.leaving) {
      HandleDeparture(node, endpoint);
    }
    HandleNamedLimit(node, endpoint, header_values);
    // A refusal may lack a request id, but must not carry another request's.
    // Without an id, it may be an earlier one unless the connection is new.
    if (header_values.request_id == call.request.header_values.id ||
        (header_values.not_run && header_values.request_id.empty() && is_new)) {
      co_return head;
    }
    const auto skipped = co_await ReadCompleteBody(node, attempt.reader, until);
    if (!skipped) {
      co_return tl::unexpected(skipped.error());
    }
  }
  co_return tl::unexpected(ExchangeError::kMalformed);
}

AttemptEnd AttemptEndOfError(const Call& call, ExchangeError error) {
  if (call.caller->disconnected) {
    return AttemptEnd::kCallerDisconnected;
  }
  if (TimeLeft(call) <= kMinTimeLeft) {
    return AttemptEnd::kTimedOut;
  }
  return error == ExchangeError::kNotConnected ? AttemptEnd::kNotRun
                                               : AttemptEnd::kMayHaveRun;
}

// Renews the rate permit, which may have expired while the call waited for its
// holder, the store or a connection.
// @return false if there is no new permit.
Task<bool> EnsureRatePermit(Node& node, CallPtr call) {
  if (call->team == nullptr || !call->rate_permit) {
    co_return true;
  }
  auto renewed = co_await RenewPermit(
      node, *call->team, call->request.header_values.program,
      *std::exchange(call->rate_permit, std::nullopt));
  if (!renewed) {
    call->rate_retry = renewed.error();
    co_return false;
  }
  call->rate_permit = std::move(*renewed);
  co_return true;
}

}  // namespace

Task<Attempt> StartAttempt(Node& node, CallPtr call, std::string_view body) {
  Attempt attempt;
  if (const auto end = co_await PrepareSuspect(node, call)) {
    attempt.end = *end;
    co_return attempt;
  }
  const auto chosen = co_await ChooseForCall(node, call);
  if (!chosen) {
    if (const auto* limited = std::get_if<EndpointsLimited>(&chosen.error())) {
      attempt.end = AttemptEnd::kOverLimit;
      call->limit_retry = limited->retry_after;
    }
    co_return attempt;
  }
  const EndpointEntry& endpoint = chosen->endpoint;
  attempt.endpoint = endpoint.id;
  attempt.address = endpoint.address;
  attempt.version = endpoint.version;
  attempt.limit = chosen->limit;
  attempt.counted = std::make_shared<InFlight>(
      node, endpoint.id, call->service,
      call->team == nullptr ? std::string() : call->team->name);
  attempt.timer = std::make_shared<AttemptTimer>(node, *call, endpoint.id);
  call->tried.insert(endpoint.id);
  ++call->tries;
  const bool once = call->route->repeat != RepeatRule::kIdempotent;
  // GCC 12 destroys a lambda twice if it is created inside a co_await.
  PeerFilter may_relay = [&node, call](const std::string& instance) {
    return MayCarryBody(node, *call, instance);
  };
  const EndpointConnect connected = co_await ConnectToEndpoint(
      node, endpoint, once ? kMaxIdleUnlessIdempotent : kMaxIdleIfIdempotent,
      TimeLeft(*call), std::move(may_relay));
  const OutConnectionPtr& connection = connected.connection;
  if (connection == nullptr) {
    if (connected.endpoint_failed) {
      RecordFailure(node.endpoints, endpoint.id, Now());
      attempt.timer->Failed();
    }
    if (connected.refused) {
      PresumeCold(node.endpoints, endpoint.id);  // it may be about to restart
    }
    attempt.end = AttemptEndOfError(*call, ExchangeError::kNotConnected);
    LogAttempt(node, *call, attempt,
               connected.refused ? "connection refused" : "not connected");
    co_return attempt;
  }
  if (call->caller->disconnected || TimeLeft(*call) <= kMinTimeLeft) {
    Close(*connection);
    attempt.end = call->caller->disconnected ? AttemptEnd::kCallerDisconnected
                                             : AttemptEnd::kTimedOut;
    co_return attempt;
  }
  if (!co_await EnsureRatePermit(node, call)) {
    Close(*connection);
    attempt.end = AttemptEnd::kOverRate;
    LogAttempt(node, *call, attempt, "over the rate");
    co_return attempt;
  }
  // The call may have waited for a connection or a permit.
  if (IsEvacuated(node.endpoints.evacuations, endpoint.zone)) {
    Close(*connection);
    attempt.end = AttemptEnd::kNotRun;
    LogAttempt(node, *call, attempt, "zone evacuated");
    co_return attempt;
  }
  if (!MaySend(node, *chosen)) {
    Close(*connection);
    attempt.end = AttemptEnd::kNotRun;
    LogAttempt(node, *call, attempt, "late for the endpoint's limit");
    co_return attempt;
  }
  attempt.over = connected.peer;
  call->attempt = connection;
  const OutRequest out{
      .method = call->request.method,
      .target = call->request.target,
      .host = call->request.host,
      .headers = platform::EncodeAttempt(
          call->request, HeaderValuesFor(node, *call, endpoint)),
      .body = body};
  if (!call->sent_after) {
    call->sent_after = Now() - call->arrived_at;
    Observe(node.metrics.before_send_seconds, *call->sent_after);
  }
  ++call->runs;  // decremented if the endpoint did not run it
  attempt.run = std::make_shared<SentRun>(node, endpoint, call->identity);
  attempt.timer->Restart();
  attempt.counted->AddBytes(body.size());
  CountCrossing(node, endpoint, endpoint.id == call->preferred_endpoint);
  const auto until = Until(HeadTimeout(*call));
  const auto unsent = co_await SendRequest(*connection, out, TimeLeft(*call));
  if (unsent == ExchangeError::kUnsendable) {
    --call->runs;
    attempt.run->Finish();
    Close(*connection);
    call->attempt = nullptr;
    attempt.end = AttemptEnd::kUnsendable;
    LogAttempt(node, *call, attempt, "header too long");
    co_return attempt;
  }
  // A server may answer before it has read the complete body, so the answer is
  // read even if sending failed.
  auto head = co_await ReadHeadOfAnswer(node, *call, endpoint, attempt,
                                        connection, until);
  if (!head) {
    Close(*connection);
    call->attempt = nullptr;
    attempt.end = AttemptEndOfError(*call, head.error());
    if (attempt.end == AttemptEnd::kMayHaveRun) {
      RecordFailure(node.endpoints, endpoint.id, Now());
      attempt.timer->Failed();
    }
    LogAttempt(node, *call, attempt, OutcomeOf(head.error()));
    if (head.error() == ExchangeError::kClosed) {
      co_await CheckForCrash(node, endpoint);
    }
    co_return attempt;
  }
  attempt.head = std::move(*head);
  if (unsent) {
    attempt.head.keep_alive = false;
  }
  if (attempt.answer.not_run) {
    --call->runs;
    attempt.run->Finish();
    Close(*connection);
    call->attempt = nullptr;
    RecordFailure(node.endpoints, endpoint.id, Now());
    attempt.end = AttemptEnd::kNotRun;
    LogAttempt(node, *call, attempt, "not run");
    co_return attempt;
  }
  const bool success = attempt.head.status >= kFirstSuccess &&
                       attempt.head.status < kFirstRedirect;
  if (success && !attempt.answer.sealed) {
    // Only the seal proves that an answer was made by the endpoint and not by
    // an intermediary.
    Close(*connection);
    call->attempt = nullptr;
    attempt.end = AttemptEnd::kMayHaveRun;
    attempt.timer->Failed();
    LogAttempt(node, *call, attempt, "unsealed");
    co_return attempt;
  }
  if (attempt.head.status >= kFirstServerError) {
    attempt.timer->Failed();
  } else if (!attempt.head.is_event_stream) {
    attempt.timer->Answered();
  }
  attempt.run->Begin();
  SettleRate(node, *call);
  RecordSuccess(node.endpoints, endpoint.id);
  attempt.end = AttemptEnd::kAnswered;
  LogAttempt(node, *call, attempt, "answered");
  co_return attempt;
}

// The kernel closes the connections of a crashed process, which looks like the
// end of an answer that has neither a length nor chunks.
Task<bool> IsWhole(Node& node, const Call& call, Attempt& attempt) {
  if (!attempt.reader->EndsWithConnection()) {
    co_return true;
  }
  const bool was_received =
      co_await attempt.reader->WasRequestReceived(node.io);
  if (!was_received) {
    LogAttempt(node, call, attempt, "ended before the request");
    co_return false;
  }
  const bool has_crashed =
      co_await CheckForCrash(node, attempt.run->Endpoint());
  co_return !has_crashed;
}

Task<bool> RelayCompleteAnswer(Node& node, CallPtr call, Attempt& attempt) {
  auto body =
      co_await ReadCompleteBody(node, attempt.reader, Until(TimeLeft(*call)));
  const auto connection = call->attempt;
  call->attempt = nullptr;
  if (body) {
    const bool is_whole = co_await IsWhole(node, *call, attempt);
    if (!is_whole) {
      body = tl::unexpected(ExchangeError::kClosed);
    }
  }
  attempt.counted->AddBytes(body ? body->size() : 0);
  if (!body) {
    if (connection != nullptr) {
      Close(*connection);
    }
    LogAttempt(node, *call, attempt, "broken off");
    if (body.error() == ExchangeError::kClosed) {
      co_await CheckForCrash(node, attempt.run->Endpoint());
    }
    co_return false;
  }
  ReturnToEndpointPool(node, call->service, attempt.address, connection,
                       attempt.head);
  HandleCompletion(node, *attempt.run);
  if (call->caller->disconnected) {
    co_return true;
  }
  // Callers may take their answers slowly.
  HeldMemory* memory = call->caller->memory.get();
  if (memory != nullptr && !memory->Add(body->size())) {
    RecordCallerLimit(node, *call->caller, "memory");
    AbortAnswer(call->caller);
    co_return true;
  }
  if (memory != nullptr) {
    memory->SetClosable(true);
  }
  co_await SendCompleteAnswer(call->caller, attempt.head.status,
                              attempt.head.headers, std::move(*body));
  co_return true;
}

bool EndsCall(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kCallerDisconnected:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kOverRate:
    case AttemptEnd::kOverLimit:
    case AttemptEnd::kDeadly:
    case AttemptEnd::kNotIsolated:
    case AttemptEnd::kUnsendable:
      return true;
    default:
      return false;
  }
}

bool MayTry(const Call& call) {
  return call.runs < call.route->max_tries && call.tries < kMaxEndpointTries;
}

CallRefusal RefusalAfter(const Node& node, const Call& call, AttemptEnd end) {
  if (end == AttemptEnd::kOverRate && call.runs == 0) {
    return {kTooMany, "the team's rate is used up", call.rate_retry};
  }
  if (end == AttemptEnd::kOverLimit) {
    return {kUnavailable, "not run: the endpoints' limits are used up",
            call.limit_retry};
  }
  if (const auto refusal = RefusalIfDeadly(node, call);
      refusal && end == AttemptEnd::kDeadly) {
    return *refusal;
  }
  if (end == AttemptEnd::kNotIsolated) {
    return {kUnavailable,
            "not run: the request may crash endpoints, and can't run alone now",
            std::max(call.suspect_retry, kIsolationRetry)};
  }
  if (end == AttemptEnd::kUnsendable) {
    return {kHeadTooLarge, "not run: a header is too long to be sent on", {}};
  }
  if (end == AttemptEnd::kTimedOut) {
    return call.runs > 0
               ? CallRefusal{kGatewayTimeout, "no answer in time", {}}
               : CallRefusal{kUnavailable, "not run: no time left", kBusyRetry};
  }
  if (end == AttemptEnd::kMayHaveRun) {
    return {kBadGateway, "the endpoint broke off", {}};
  }
  if (IsServiceEvacuated(node.endpoints, call.service)) {
    return AllEvacuated();
  }
  return {kUnavailable, "not run: no endpoint takes it now", kBusyRetry};
}

Task<> RunAttempts(Node& node, CallPtr call) {
  const std::string_view body = call->request.body;
  AttemptEnd end = AttemptEnd::kNoEndpoint;
  while (MayTry(*call)) {
    Attempt attempt = co_await StartAttempt(node, call, body);
    if (attempt.end == AttemptEnd::kNoEndpoint) {
      break;
    }
    end = attempt.end;
    if (end == AttemptEnd::kAnswered) {
      const bool may_retry = call->route->repeat == RepeatRule::kIdempotent &&
                             attempt.head.status >= kFirstServerError &&
                             MayTry(*call);
      if (!may_retry && co_await RelayCompleteAnswer(node, call, attempt)) {
        co_return;
      }
      if (may_retry && call->attempt != nullptr) {
        Close(*call->attempt);
        call->attempt = nullptr;
      }
      end = AttemptEnd::kMayHaveRun;
      RecordFailure(node.endpoints, attempt.endpoint, Now());
      if (!may_retry && !call->caller->disconnected) {
        attempt.timer->Failed();
      }
    }
    if (call->caller->disconnected || end == AttemptEnd::kCallerDisconnected) {
      co_return;
    }
    if (EndsCall(end) || (end == AttemptEnd::kMayHaveRun &&
                          call->route->repeat != RepeatRule::kIdempotent)) {
      break;
    }
  }
  if (end != AttemptEnd::kTimedOut && call->runs > 0) {
    end = AttemptEnd::kMayHaveRun;
  }
  co_await Refuse(node, call, RefusalAfter(node, *call, end));
}

}  // namespace celerykeel
