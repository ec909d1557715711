#include <utility>  // for std::move

#include "celerykeel/core/ledger_turn.h"  // for Turn, Place

namespace celerykeel {

using ledger::Place;
using ledger::Turn;

namespace ledger {

namespace {

constexpr uint32_t kStatusTooManyRequests = 429;
constexpr uint32_t kStatusServerError = 500;
constexpr uint32_t kStatusClientError = 400;

bool IsChat(const ActiveCall& call) {
  return call.submission.work->kind == CallKind::kChat;
}

bool IsRetryableStatus(uint32_t status) {
  return status == kStatusTooManyRequests || status >= kStatusServerError;
}

// An engine that responds with 429 or 5xx has not served the request, so its
// response is not an answer. The call still counts as possibly run.
AttemptResult::Kind KindOf(const ActiveCall& call,
                           const AttemptResult& result) {
  if (result.kind == AttemptResult::Kind::kAnswered && IsChat(call) &&
      IsRetryableStatus(result.status)) {
    return AttemptResult::Kind::kUnknown;
  }
  return result.kind;
}

bool MayRetry(const Turn& turn,
              const ActiveCall& call,
              const AttemptResult& result,
              AttemptResult::Kind kind) {
  const bool is_safe = kind == AttemptResult::Kind::kNotRun ||
                       (call.submission.work->idempotent && !result.relayed);
  return is_safe && result.may_retry && !call.stopping &&
         call.attempts < turn.ledger.options.attempts;
}

void RetryCall(Turn& turn, ActiveCall& call) {
  call.phase = CallPhase::kQueued;
  call.avoid.push_back(call.endpoint);
  turn.actions.emplace_back(
      QueueCall{call.submission.key, call.submission.work, call.avoid});
}

// Passes on an engine's rejection of the request. The caller may correct the
// request and reuse the call number.
void RelayEngineRejection(Turn& turn, Place place, AttemptResult result) {
  ActiveCall& call = *place.program->active;
  CallRecord record = DraftRecord(turn, *place.family, call);
  record.state = CallState::kFailed;
  record.status = result.status;
  record.content_type = std::move(result.content_type);
  record.answer = std::move(result.body);
  const auto shared = std::make_shared<const CallRecord>(std::move(record));
  for (const Waiter waiter : call.waiters) {
    turn.actions.emplace_back(AnswerCaller{.waiter = waiter,
                                           .record = shared,
                                           .replayed = false,
                                           .durable = true});
  }
  ClearActive(turn, place);
}

Refusal AttemptRefusal(const Turn& turn,
                       const ActiveCall& call,
                       const AttemptResult& result,
                       AttemptResult::Kind kind) {
  if (call.stopping) {
    return {.type = RefusalType::kCancelled, .ran = Ran::kUnknown};
  }
  if (kind == AttemptResult::Kind::kNotRun) {
    return RefusalWithRetryAfter(turn, RefusalType::kEndpointFailed, Ran::kNo);
  }
  return RefusalWithRetryAfter(turn, RefusalType::kEndpointFailed,
                               result.relayed ? Ran::kYes : Ran::kUnknown);
}

}  // namespace

}  // namespace ledger

AttemptResult MakeAttemptResult(AttemptResult::Kind kind) {
  AttemptResult result;
  result.kind = kind;
  return result;
}

LedgerActions FinishAttempt(ProgramLedger& ledger,
                            const CallKey& key,
                            DispatchId dispatch,
                            AttemptResult result,
                            const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const Place place = ledger::Find(ledger, key.program);
  ActiveCall* const call = ledger::FindActive(place, key);
  if (call == nullptr || call->phase != CallPhase::kDispatched ||
      call->dispatch != dispatch) {
    return {};
  }
  const AttemptResult::Kind kind = ledger::KindOf(*call, result);
  if (kind != AttemptResult::Kind::kNotRun) {
    call->ran = Ran::kUnknown;
  }
  const bool is_answer = kind == AttemptResult::Kind::kAnswered;
  const bool is_refusal = is_answer && ledger::IsChat(*call) &&
                          result.status >= ledger::kStatusClientError;
  if (is_refusal) {
    ledger::RelayEngineRejection(turn, place, std::move(result));
  } else if (is_answer) {
    ledger::RecordAnswer(turn, place, std::move(result));
    ledger::AwaitOutcome(turn, place);
  } else if (ledger::MayRetry(turn, *call, result, kind)) {
    ledger::RetryCall(turn, *call);
  } else if (kind == AttemptResult::Kind::kNotRun ||
             call->submission.work->idempotent) {
    ledger::FailCall(turn, place,
                     ledger::AttemptRefusal(turn, *call, result, kind),
                     result.usage);
  } else {
    ledger::MarkCallLost(turn, place);
    ledger::AwaitOutcome(turn, place);
  }
  return std::move(turn.actions);
}

}  // namespace celerykeel
