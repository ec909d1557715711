#include <algorithm>  // for std::min
#include <utility>    // for std::move

#include "celerykeel/core/ledger_turn.h"  // for Turn, Place

namespace celerykeel {

using ledger::Place;
using ledger::Turn;

namespace ledger {

namespace {

bool IsChat(const ActiveCall& call) {
  return call.submission.work->kind == CallKind::kChat;
}

// Returns the version that identifies a record in its family. A record whose
// append was not confirmed is appended again; a reader applies each version
// once.
uint64_t VersionOf(const JournalRecord& record) {
  return std::visit([](const auto& kind) { return kind.version; }, record);
}

}  // namespace

void FlushJournal(Turn& turn, ProgramFamily& family) {
  if (family.in_flight != 0 || family.unappended.empty() ||
      !turn.moment.log_reachable) {
    return;
  }
  family.in_flight = family.unappended.size();
  turn.actions.emplace_back(AppendRecords{
      family.root, {family.unappended.begin(), family.unappended.end()}});
}

CallRecord DraftRecord(const Turn& turn,
                       const ProgramFamily& family,
                       const ActiveCall& call) {
  const CallSubmission& submission = call.submission;
  CallRecord record;
  record.key = submission.key;
  record.digest = submission.digest;
  record.idempotency_key = submission.work->idempotency_key;
  record.budget = family.budget;
  record.started_at = call.started_at;
  record.finished_at = turn.moment.wall;
  record.endpoint = call.endpoint;
  record.model = submission.work->model;
  record.idempotent = submission.work->idempotent;
  return record;
}

void JournalFailedCall(Turn& turn,
                       ProgramFamily& family,
                       const ActiveCall& call,
                       const TokenUsage& usage) {
  CallRecord record = DraftRecord(turn, family, call);
  record.state = CallState::kFailed;
  record.usage = usage;
  Journal(family, std::move(record));
  FlushJournal(turn, family);
}

// Ends the active call without an answer. Tokens that an engine spent on it are
// charged, because it may have run for a long time.
void FailCall(Turn& turn,
              Place place,
              const Refusal& refusal,
              const TokenUsage& usage) {
  ActiveCall& call = *place.program->active;
  RefuseAll(turn, call, refusal);
  call.waiters.clear();
  if (call.intent_version != 0 || usage.prompt + usage.completion != 0) {
    JournalFailedCall(turn, *place.family, call, usage);
  }
  SettleBudget(turn, *place.family, call, usage.prompt + usage.completion);
  ClearActive(turn, place);
}

// Only a call that is not idempotent can be lost. Its number cannot be reused.
void MarkCallLost(Turn& turn, Place place) {
  ActiveCall& call = *place.program->active;
  CallRecord record = DraftRecord(turn, *place.family, call);
  record.state = CallState::kLost;
  call.record_version = Journal(*place.family, record);
  record.version = call.record_version;
  call.record = std::make_shared<const CallRecord>(std::move(record));
  place.program->calls[call.submission.key.call] = call.record;
  place.program->next_call = call.submission.key.call + 1;
  ++place.family->calls_used;
  call.phase = CallPhase::kOutcome;
}

namespace {

void ExtendHistory(Program& program, const CallRecord& record) {
  program.messages.insert(program.messages.end(), record.new_messages.begin(),
                          record.new_messages.end());
  if (record.usage.prompt != 0) {
    program.history_tokens = record.usage.prompt + record.usage.completion;
    program.counted_messages = program.messages.size();
  }
}

}  // namespace

void RecordAnswer(Turn& turn, Place place, AttemptResult result) {
  ProgramFamily& family = *place.family;
  Program& program = *place.program;
  ActiveCall& call = *program.active;
  CallRecord record = DraftRecord(turn, family, call);
  record.status = result.status;
  record.content_type = std::move(result.content_type);
  record.answer = std::move(result.body);
  record.usage = result.usage;
  if (IsChat(call)) {
    record.new_messages = std::move(call.new_messages);
    record.new_messages.push_back(std::move(result.message));
    if (record.usage.prompt == 0) {  // the engine reports no usage
      record.usage.prompt = call.prompt_estimate;
      record.usage.completion = EstimateTokens(record.new_messages.back());
    }
    ExtendHistory(program, record);
  }
  record.version = family.version + 1;
  call.record_version = Journal(family, record);
  call.record = std::make_shared<const CallRecord>(std::move(record));
  program.calls[call.submission.key.call] = call.record;
  program.next_call = call.submission.key.call + 1;
  family.last_used_at = turn.moment.wall;
  ++family.calls_used;
  call.phase = CallPhase::kOutcome;
  SettleBudget(turn, family, call,
               call.record->usage.prompt + call.record->usage.completion);
}

namespace {

// Delivers the outcome of the active call to its callers.
void DeliverOutcome(Turn& turn, Place place) {
  ActiveCall& call = *place.program->active;
  const std::shared_ptr<const CallRecord> record = call.record;
  const bool is_lost = record->state == CallState::kLost;
  for (const Waiter waiter : call.waiters) {
    if (!turn.moment.has_lease) {
      Refuse(turn, waiter,
             RefusalWithRetryAfter(turn, RefusalType::kLeaseLapsed,
                                   is_lost ? Ran::kUnknown : Ran::kYes));
    } else if (is_lost) {
      Refuse(turn, waiter,
             {.type = RefusalType::kOutcomeUnknown, .ran = Ran::kUnknown});
    } else {
      turn.actions.emplace_back(AnswerCaller{.waiter = waiter,
                                             .record = record,
                                             .replayed = false,
                                             .durable = call.is_durable});
    }
  }
  const bool single = call.submission.single;
  ClearActive(turn, place);
  if (single) {
    turn.actions.emplace_back(ReleaseProgram{place.program->name});
    place.program->ended = true;
  }
}

// Handles an outcome that is in the log, or that the log currently cannot
// confirm. Without the lease the outcome is held for up to
// `lease_renewal_timeout`, so that callers still get their answer if the
// renewal is slightly late.
void SettleOutcome(Turn& turn, Place place, bool durable) {
  ActiveCall& call = *place.program->active;
  call.is_durable = durable;
  if (turn.moment.has_lease) {
    DeliverOutcome(turn, place);
  } else {
    call.phase = CallPhase::kHeld;
    call.held_until =
        turn.moment.now + turn.ledger.options.lease_renewal_timeout;
  }
}

}  // namespace

void AwaitOutcome(Turn& turn, Place place) {
  if (turn.moment.log_reachable) {
    FlushJournal(turn, *place.family);
  } else {
    SettleOutcome(turn, place, /*durable=*/false);
  }
}

namespace {

void Dispatch(Turn& turn, Place place) {
  ActiveCall& call = *place.program->active;
  call.phase = CallPhase::kDispatched;
  call.dispatch = ++turn.ledger.last_dispatch;
  DispatchCall dispatch{.key = call.submission.key,
                        .dispatch = call.dispatch,
                        .endpoint = call.endpoint,
                        .work = call.submission.work,
                        .messages = {},
                        .max_tokens = call.submission.max_tokens};
  if (IsChat(call)) {
    dispatch.messages = place.program->messages;
    dispatch.messages.insert(dispatch.messages.end(), call.new_messages.begin(),
                             call.new_messages.end());
  }
  turn.actions.emplace_back(std::move(dispatch));
}

// The intent is in the log, so the call may be sent.
void DispatchAfterIntent(Turn& turn, Place place) {
  ActiveCall& call = *place.program->active;
  if (!turn.moment.has_lease) {
    FailCall(turn, place,
             RefusalWithRetryAfter(turn, RefusalType::kLeaseLapsed, Ran::kNo),
             {});
  } else if (call.stopping) {
    FailCall(turn, place, {.type = RefusalType::kCancelled}, {});
  } else {
    Dispatch(turn, place);
  }
}

// Continues each active call whose record was in the confirmed append.
void SettleAppended(Turn& turn, ProgramFamily& family, uint64_t up_to) {
  for (auto& [id, program] : family.programs) {
    if (!program.active) {
      continue;
    }
    const ActiveCall& call = *program.active;
    if (call.phase == CallPhase::kIntent && call.intent_version <= up_to) {
      DispatchAfterIntent(turn, {&family, &program});
    } else if (call.phase == CallPhase::kOutcome &&
               call.record_version <= up_to) {
      SettleOutcome(turn, {&family, &program}, /*durable=*/true);
    }
  }
}

// Handles an append that the log did not confirm. Calls with pending intents
// fail and are never dispatched. Existing answers are delivered, marked as not
// durable. If `is_certain`, none of the records was written, and the intents
// are dropped. Other records stay pending and are appended again.
void SettleUnappended(Turn& turn, ProgramFamily& family, bool is_certain) {
  for (auto& [id, program] : family.programs) {
    if (!program.active) {
      continue;
    }
    ActiveCall& call = *program.active;
    if (call.phase == CallPhase::kIntent) {
      if (is_certain) {
        std::erase_if(family.unappended, [&](const JournalRecord& record) {
          return VersionOf(record) == call.intent_version;
        });
        call.intent_version = 0;
      }
      FailCall(
          turn, {&family, &program},
          RefusalWithRetryAfter(turn, RefusalType::kLogUnavailable, Ran::kNo),
          {});
    } else if (call.phase == CallPhase::kOutcome) {
      SettleOutcome(turn, {&family, &program}, /*durable=*/false);
    }
  }
}

}  // namespace

void DeliverHeldOutcome(Turn& turn, Place place, bool is_last_chance) {
  const ActiveCall& call = *place.program->active;
  if (call.phase == CallPhase::kHeld &&
      (turn.moment.has_lease || is_last_chance ||
       turn.moment.now >= call.held_until)) {
    DeliverOutcome(turn, place);
  }
}

}  // namespace ledger

LedgerActions StartCall(ProgramLedger& ledger,
                        const CallKey& key,
                        std::string endpoint,
                        const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const Place place = ledger::Find(ledger, key.program);
  ActiveCall* const call = ledger::FindActive(place, key);
  if (call == nullptr || call->phase != CallPhase::kQueued || !call->reserved) {
    return {};
  }
  if (!moment.has_lease) {
    ledger::FailCall(turn, place,
                     ledger::RefusalWithRetryAfter(
                         turn, RefusalType::kLeaseLapsed, Ran::kNo),
                     {});
    return std::move(turn.actions);
  }
  ++call->attempts;
  call->endpoint = std::move(endpoint);
  // One intent covers all attempts of a call.
  if (call->submission.work->idempotent || call->intent_version != 0) {
    ledger::Dispatch(turn, place);
  } else if (!moment.log_reachable) {
    ledger::FailCall(turn, place,
                     ledger::RefusalWithRetryAfter(
                         turn, RefusalType::kLogUnavailable, Ran::kNo),
                     {});
  } else {
    call->phase = CallPhase::kIntent;
    call->intent_version = ledger::Journal(
        *place.family,
        CallIntent{.key = key,
                   .digest = call->submission.digest,
                   .endpoint = call->endpoint,
                   .idempotency_key = call->submission.work->idempotency_key,
                   .fence = moment.fence,
                   .version = 0});
    ledger::FlushJournal(turn, *place.family);
  }
  return std::move(turn.actions);
}

LedgerActions RefuseQueued(ProgramLedger& ledger,
                           const CallKey& key,
                           const Refusal& refusal,
                           const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const Place place = ledger::Find(ledger, key.program);
  if (const ActiveCall* const call = ledger::FindActive(place, key);
      call != nullptr && call->phase == CallPhase::kQueued) {
    ledger::FailCall(turn, place, refusal, {});
  }
  return std::move(turn.actions);
}

LedgerActions FinishAppend(ProgramLedger& ledger,
                           const ProgramName& root,
                           AppendVerdict verdict,
                           const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const auto found = ledger.families.find(root);
  if (found == ledger.families.end() || found->second.in_flight == 0) {
    return {};
  }
  ProgramFamily& family = found->second;
  const size_t answered = std::min(family.in_flight, family.unappended.size());
  family.in_flight = 0;
  if (verdict == AppendVerdict::kAppended) {
    const auto end =
        family.unappended.begin() + static_cast<std::ptrdiff_t>(answered);
    family.appended_version = ledger::VersionOf(*(end - 1));
    family.unappended.erase(family.unappended.begin(), end);
    ledger::SettleAppended(turn, family, family.appended_version);
    ledger::FlushJournal(turn, family);
  } else {
    ledger::SettleUnappended(turn, family,
                             verdict == AppendVerdict::kNotAppended);
  }
  return std::move(turn.actions);
}

}  // namespace celerykeel
