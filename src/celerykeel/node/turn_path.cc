#include "celerykeel/node/turn_path.h"

#include <algorithm>  // for std::min
#include <exception>  // for std::exception_ptr
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/core/event_stream.h"   // for EventSplitter
#include "celerykeel/node/attempt_log.h"    // for LogAttempt
#include "celerykeel/node/attempts.h"       // for StartAttempt
#include "celerykeel/node/endpoint_link.h"  // for ReturnToEndpointPool
#include "celerykeel/node/isolation.h"      // for Isolation
#include "celerykeel/node/node.h"           // for Node
#include "celerykeel/node/regions.h"        // for MayStoreText
#include "celerykeel/node/stream_takeup.h"  // for FindOriginOfTakeUp
#include "celerykeel/node/turn_holder.h"    // for RequestTurnPermit
#include "celerykeel/node/turn_refusal.h"   // for RefusalOfVerdict
#include "celerykeel/node/turn_wait.h"      // for AwaitCoverage

namespace celerykeel {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
// A slot gets a new holder within about this time after its holder failed.
constexpr Duration kHolderTimeout = std::chrono::milliseconds(1200);
// Part of the time left that is reserved for sending the end of the answer.
constexpr Duration kEndMargin = std::chrono::milliseconds(20);

// A stream in progress: what was relayed and must be reported to the holder.
struct Relay {
  TurnPermit permit;
  std::string body;     // request body: the history, then the caller's input
  std::string output;   // data of relayed events, a line each; if retained
  uint64_t tokens = 0;  // of the relayed events
  uint32_t tokens_per_event = 1;
  std::string endpoint;
  std::string version;  // of the endpoint's software
};

bool NeedsHolder(const Call& call) {
  return call.route->retained ||
         call.request.header_values.token_budget.has_value() || IsTakeUp(call);
}

pb::TurnEnd TurnEndOf(const Call& call, const Relay& relay, bool complete) {
  const CallHeaderValues& header_values = call.request.header_values;
  pb::TurnEnd end;
  end.set_slot(relay.permit.slot);
  end.set_team(call.team == nullptr ? "" : call.team->name);
  end.set_program(header_values.program);
  end.set_turn(header_values.id);
  end.set_used_tokens(relay.tokens);
  end.set_endpoint(relay.endpoint);
  if (header_values.token_budget) {
    end.set_most_tokens(header_values.most_tokens);
  }
  if (call.route->resumable && call.origin) {
    *end.mutable_began() = StreamBeganOf(call, relay.permit.slot);
  }
  if (complete && call.route->retained) {
    end.set_kept(true);
    end.set_previous(header_values.previous_turn);
    end.set_input(call.request.body);
    end.set_output(relay.output);
    end.set_retention_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            call.route->retention)
            .count()));
    if (relay.permit.grant.foreign()) {
      end.set_base(relay.permit.grant.history());
    }
  }
  return end;
}

enum class StreamEnd {
  kComplete,
  kAborted,     // aborted or malformed by the endpoint
  kNotCovered,  // no holder covers its tokens
  kCallerDisconnected,
  kTimedOut,
};

// Waits for a durable record that covers the tokens, if the turn has a budget.
// If the holder fails, the run continues, and its events wait for a new holder.
Task<bool> MayDeliver(Node& node, CallPtr call, Relay& relay) {
  while (call->request.header_values.token_budget) {
    const auto covered = relay.permit.covered;
    const auto may = co_await covered->Wait(TimeLeft(*call));
    if (may.value_or(false)) {
      break;
    }
    if (!may || call->caller->disconnected) {
      co_return false;
    }
    relay.permit = co_await RequestTurnPermit(node, call, TimeLeft(*call));
    if (relay.permit.grant.verdict() != pb::TurnGrant::GRANTED) {
      co_return false;
    }
  }
  co_return true;
}

// Records events that are about to be relayed, and returns their bytes.
std::string RecordRelayed(Call& call,
                          Relay& relay,
                          const std::vector<StreamEvent>& events) {
  std::string piece;
  for (const StreamEvent& event : events) {
    piece += event.raw;
    if (call.route->retained) {
      relay.output += event.data;
      relay.output += '\n';
    }
    relay.tokens += relay.tokens_per_event;
    ++call.events;
  }
  return piece;
}

// Relays events that are known to be sound.
// @return why the stream must end; nothing if it goes on.
Task<std::optional<StreamEnd>> Deliver(Node& node,
                                       CallPtr call,
                                       Attempt& attempt,
                                       Relay& relay,
                                       std::vector<StreamEvent> events) {
  if (events.empty()) {
    co_return std::nullopt;
  }
  if (!co_await MayDeliver(node, call, relay)) {
    co_return TimeLeft(*call) <= kEndMargin ? StreamEnd::kTimedOut
                                            : StreamEnd::kNotCovered;
  }
  if (!call->origin) {
    call->origin = StreamOrigin{call->service, attempt.version};
    if (call->route->resumable) {
      ReportStreamBegan(node, StreamBeganOf(*call, relay.permit.slot));
    }
  }
  if (Now() > attempt.run->BeganAt() + kBeginTime) {
    call->isolation = nullptr;  // the next suspect may begin there
  }
  std::string piece = RecordRelayed(*call, relay, events);
  if (call->route->retained) {
    // Without memory the turn goes on: its output is at most one record.
    call->caller->memory->Add(piece.size());
  }
  attempt.counted->AddBytes(piece.size());
  if (!call->caller->head_sent) {
    co_await BeginStream(call->caller, attempt.head.status,
                         attempt.head.headers);
  }
  co_await SendBodyChunk(call->caller, std::move(piece));
  if (!call->first_event_after) {
    call->first_event_after = Now() - call->arrived_at;
    Observe(node.metrics.first_event_seconds, *call->first_event_after);
  }
  co_return std::nullopt;
}

CheckedEvents CheckedFor(Call& call, std::vector<StreamEvent> events) {
  return call.route->resumable ? CheckEvents(call.sequence, std::move(events))
                               : CheckedEvents{std::move(events), false};
}

// Relays only complete events, as an endpoint may stop inside one. An event
// that is too long, or retained output above a store record, aborts the stream.
Task<StreamEnd> RelayEvents(Node& node,
                            CallPtr call,
                            Attempt& attempt,
                            Relay& relay) {
  EventSplitter splitter;
  while (true) {
    const auto some = co_await attempt.reader->ReadSome(Until(TimeLeft(*call)));
    if (call->caller->disconnected) {
      co_return StreamEnd::kCallerDisconnected;
    }
    if (!some) {
      co_return TimeLeft(*call) <= Duration::zero() ? StreamEnd::kTimedOut
                                                    : StreamEnd::kAborted;
    }
    if (!*some) {
      if (!splitter.partial.empty()) {
        co_return StreamEnd::kAborted;
      }
      const bool is_whole = co_await IsWhole(node, *call, attempt);
      if (!is_whole) {
        co_return StreamEnd::kAborted;
      }
      const auto end = co_await Deliver(node, call, attempt, relay,
                                        CompleteSequence(call->sequence));
      co_return end.value_or(StreamEnd::kComplete);
    }
    std::vector<StreamEvent> events = AddBytes(splitter, **some);
    if (splitter.partial.size() > kMaxEventBytes ||
        relay.output.size() > node.options.store_record_bytes) {
      co_return StreamEnd::kAborted;
    }
    if (!events.empty()) {
      attempt.timer->Answered();
    }
    CheckedEvents checked = CheckedFor(*call, std::move(events));
    if (const auto end = co_await Deliver(node, call, attempt, relay,
                                          std::move(checked.events))) {
      co_return *end;
    }
    if (checked.is_spoiled) {
      LogAttempt(node, *call, attempt, "spoiled event id");
      co_return StreamEnd::kAborted;
    }
  }
}

AttemptEnd AttemptEndOfStream(StreamEnd end) {
  switch (end) {
    case StreamEnd::kCallerDisconnected:
      return AttemptEnd::kCallerDisconnected;
    case StreamEnd::kTimedOut:
      return AttemptEnd::kTimedOut;
    default:
      return AttemptEnd::kMayHaveRun;
  }
}

void LogTurn(Node& node,
             const Call& call,
             const Relay& relay,
             std::string_view outcome) {
  Count(node.metrics.turns, "outcome", outcome);
  WriteLog(
      node.log, LogLevel::kOrdinary, "turn",
      {{"id", call.request.header_values.id},
       {"program", call.request.header_values.program},
       {"slot", relay.permit.slot},
       {"endpoint", relay.endpoint},
       {"version", relay.version},
       {"events", call.events},
       {"tries", call.tries},
       {"outcome", outcome},
       {"first_event_ms", call.first_event_after.value_or(Duration::zero())},
       {"after_ms", Now() - call.arrived_at}});
}

// Ends a stream. A retained turn must be durable before its end is sent.
Task<> FinishCompleteTurn(Node& node, CallPtr call, Relay& relay) {
  pb::TurnEnd end = TurnEndOf(*call, relay, true);
  if (call->route->retained) {
    bool is_durable = false;
    if (MayStoreText(node, *call, relay.permit.slot)) {
      is_durable = co_await ReportTurnEnd(node, std::move(end),
                                          relay.permit.grant.history(),
                                          TimeLeft(*call) - kEndMargin);
    }
    if (!is_durable) {
      LogTurn(node, *call, relay, "not durable in time");
      AbortAnswer(call->caller);
      co_return;
    }
  } else if (NeedsHolder(*call)) {
    ReportTurnEndInBackground(node, std::move(end));
  }
  LogTurn(node, *call, relay, "whole");
  if (!call->caller->head_sent) {
    co_return;
  }
  co_await EndStream(call->caller);
}

void ReportAbortedTurn(Node& node, const Call& call, const Relay& relay) {
  if (NeedsHolder(call) || (call.route->resumable && call.origin)) {
    ReportTurnEndInBackground(node, TurnEndOf(call, relay, false));
  }
}

bool MayResume(const Call& call) {
  return call.route->resumable && CanResume(call.sequence) &&
         MayTry(call);  // at another endpoint
}

Task<> RunTurn(Node& node, CallPtr call, Relay& relay) {
  AttemptEnd end = AttemptEnd::kNoEndpoint;
  while (MayTry(*call)) {
    Attempt attempt = co_await StartAttempt(node, call, relay.body);
    if (attempt.end == AttemptEnd::kNoEndpoint) {
      break;
    }
    end = attempt.end;
    if (end == AttemptEnd::kAnswered) {
      relay.endpoint = attempt.endpoint;
      relay.version = attempt.version;
      const bool stream = attempt.head.status >= kFirstSuccess &&
                          attempt.head.status < kFirstRedirect &&
                          attempt.head.is_event_stream;
      if (!stream) {
        if (!call->caller->head_sent &&
            co_await RelayCompleteAnswer(node, call, attempt)) {
          LogTurn(node, *call, relay, "answered by the endpoint");
          ReportAbortedTurn(node, *call, relay);
          co_return;
        }
        end = AttemptEnd::kMayHaveRun;
      } else {
        const StreamEnd stream_end =
            co_await RelayEvents(node, call, attempt, relay);
        BreakSequence(call->sequence);
        const auto connection = std::exchange(call->attempt, nullptr);
        if (stream_end == StreamEnd::kComplete) {
          HandleCompletion(node, *attempt.run);
          ReturnToEndpointPool(node, call->service, attempt.address, connection,
                               attempt.head);
          if (!call->caller->head_sent) {
            co_await BeginStream(call->caller, attempt.head.status,
                                 attempt.head.headers);
          }
          attempt.counted.reset();
          co_await FinishCompleteTurn(node, call, relay);
          co_return;
        }
        Close(*connection);
        end = AttemptEndOfStream(stream_end);
        if (stream_end == StreamEnd::kAborted) {
          RecordFailure(node.endpoints, attempt.endpoint, Now());
          attempt.timer->Failed();
          co_await CheckForCrash(node, attempt.run->Endpoint());
        }
        if (stream_end == StreamEnd::kNotCovered) {
          break;
        }
      }
    }
    if (EndsCall(end) ||
        (end == AttemptEnd::kMayHaveRun && !MayResume(*call))) {
      break;
    }
  }
  ReportAbortedTurn(node, *call, relay);
  if (call->caller->disconnected) {
    LogTurn(node, *call, relay, "caller gone");
    co_return;
  }
  if (call->caller->head_sent) {
    LogTurn(node, *call, relay, "broken off");
    AbortAnswer(call->caller);
    co_return;
  }
  if (end != AttemptEnd::kTimedOut && call->runs > 0) {
    end = AttemptEnd::kMayHaveRun;
  }
  co_await Refuse(node, call, RefusalAfter(node, *call, end));
}

// As RunTurn. If it throws, the holder still learns what the turn has used.
Task<> RunTurnOrReport(Node& node, CallPtr call, Relay& relay) {
  std::exception_ptr thrown;
  try {
    co_await RunTurn(node, call, relay);
  } catch (...) {
    thrown = std::current_exception();
  }
  if (thrown) {
    ReportAbortedTurn(node, *call, relay);
    std::rethrow_exception(thrown);
  }
}

ProgramName ProgramOf(const Call& call) {
  return {call.team == nullptr ? "" : call.team->name,
          call.request.header_values.program};
}

void RecordVerdict(Node& node,
                   const Call& call,
                   pb::TurnGrant::Verdict verdict) {
  if (const CallHeaderValues& header_values = call.request.header_values;
      verdict == pb::TurnGrant::BUDGET_SPENT && header_values.token_budget) {
    RecordSpent(node.spent_programs, ProgramOf(call),
                *header_values.token_budget, header_values.most_tokens, Now());
  }
}

}  // namespace

std::optional<CallRefusal> RefusalIfBudgetSpent(Node& node, const Call& call) {
  const CallHeaderValues& header_values = call.request.header_values;
  if (!header_values.token_budget ||
      !IsKnownSpent(node.spent_programs, ProgramOf(call),
                    *header_values.token_budget, header_values.most_tokens,
                    Now())) {
    return std::nullopt;
  }
  return RefusalOfVerdict(pb::TurnGrant::BUDGET_SPENT);
}

Task<> ServeTurn(Node& node, CallPtr call) {
  Relay relay;
  relay.permit.slot = SlotOfCall(node, *call);
  call->sequence = BeginSequence(call->request.header_values.last_event);
  if (const auto service = call->deployment->services.find(call->service);
      service != call->deployment->services.end() && service->second.engine) {
    relay.tokens_per_event = service->second.engine->tokens_per_event;
  }
  if (NeedsHolder(*call)) {
    if (!co_await AwaitStoreForEnd(node, call)) {
      co_await Refuse(node, call, StoreUnavailable(node, *call));
      co_return;
    }
    relay.permit = co_await RequestTurnPermit(
        node, call, std::min(kHolderTimeout, TimeLeft(*call) / 2));
    RecordVerdict(node, *call, relay.permit.grant.verdict());
    if (const auto refusal = RefusalOfVerdict(relay.permit.grant.verdict())) {
      if (relay.permit.may_be_counted) {
        ReportAbortedTurn(node, *call, relay);
      }
      co_await Refuse(node, call, *refusal);
      co_return;
    }
    if (!MayStoreText(node, *call, relay.permit.slot)) {
      ReportAbortedTurn(node, *call, relay);
      co_await Refuse(node, call, HolderNotAllowed());
      co_return;
    }
    if (!co_await AwaitCoverage(node, call, relay.permit)) {
      ReportAbortedTurn(node, *call, relay);
      co_await Refuse(node, call, StoreUnavailable(node, *call));
      co_return;
    }
    if (IsTakeUp(*call)) {
      if (const auto refusal =
              co_await FindOriginOfTakeUp(node, call, relay.permit.grant)) {
        ReportAbortedTurn(node, *call, relay);
        co_await Refuse(node, call, *refusal);
        co_return;
      }
    }
    call->preferred_endpoint = relay.permit.grant.endpoint();
    relay.body = relay.permit.grant.history();
  }
  // The history and the input are held twice: one copy is sent to endpoints,
  // the other is recorded at the end.
  if (HeldMemory* memory = call->caller->memory.get();
      memory != nullptr &&
      !memory->Add(2 * relay.body.size() + call->request.body.size())) {
    RecordCallerLimit(node, *call->caller, "memory");
    ReportAbortedTurn(node, *call, relay);
    co_await Refuse(node, call, kNoMemory);
    co_return;
  }
  relay.body += call->request.body;
  if (call->caller->disconnected) {
    ReportAbortedTurn(node, *call, relay);
    co_return;
  }
  co_await RunTurnOrReport(node, call, relay);
}

}  // namespace celerykeel
