#include <algorithm>  // for std::any_of, std::max
#include <utility>    // for std::move

#include "celerykeel/core/ledger_turn.h"  // for Turn, Place

namespace celerykeel {

using ledger::Turn;

namespace {

constexpr unsigned kVersionBits =
    24;  // low bits of a version, counted up within one epoch

ProgramState MakeProgramState(const ProgramFamily& family,
                              const Program& program) {
  ProgramState state{.name = program.name,
                     .budget = family.budget,
                     .tokens_used = family.tokens_used,
                     .calls_used = family.calls_used,
                     .started_at = family.started_at,
                     .last_used_at = family.last_used_at,
                     .ended = program.ended,
                     .messages = program.messages,
                     .calls = {},
                     .version = family.version};
  state.calls.reserve(program.calls.size());
  for (const auto& [number, record] : program.calls) {
    state.calls.push_back(*record);
  }
  return state;
}

// The previous owner may have sent the call before it died, so the call is
// never sent again.
void MarkOpenIntentLost(Turn& turn, ProgramFamily& family, Program& program) {
  const CallIntent& intent = *program.open_intent;
  CallRecord record;
  record.key = intent.key;
  record.digest = intent.digest;
  record.state = CallState::kLost;
  record.idempotency_key = intent.idempotency_key;
  record.budget = family.budget;
  record.finished_at = turn.moment.wall;
  record.endpoint = intent.endpoint;
  record.idempotent = false;
  record.version = family.version + 1;
  ledger::Journal(family, record);
  program.calls[intent.key.call] =
      std::make_shared<const CallRecord>(std::move(record));
  program.next_call = intent.key.call + 1;
  ++family.calls_used;
  program.open_intent.reset();
}

}  // namespace

namespace ledger {

void JournalFamily(Turn& turn, ProgramFamily& family) {
  family.rewritten_at = turn.moment.wall;
  for (const auto& [id, program] : family.programs) {
    Journal(family, MakeProgramState(family, program));
  }
}

}  // namespace ledger

namespace {

// Refuses the callers of a family for which another owner has a newer state.
void RefuseStale(Turn& turn, ProgramFamily& family) {
  for (auto& [id, program] : family.programs) {
    ledger::RefuseWaiting(
        turn, program,
        ledger::RefusalWithRetryAfter(turn, RefusalType::kNotOwner, Ran::kNo));
    if (program.active) {
      ledger::RefuseAll(turn, *program.active,
                        ledger::RefusalWithRetryAfter(
                            turn, RefusalType::kLeaseLapsed, Ran::kUnknown));
      turn.actions.emplace_back(StopCall{program.active->submission.key});
    }
  }
}

}  // namespace

// A paused owner may resume and write records after its successor has read its
// journal. Each reassignment of a slot has a higher roster version, which forms
// the high bits of the record versions. A later reader therefore prefers the
// successor's state.
uint64_t FirstVersion(Offset epoch) {
  return epoch << kVersionBits;
}

LedgerActions AdoptFamily(ProgramLedger& ledger,
                          ProgramFamily family,
                          const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  if (const auto kept = ledger.families.find(family.root);
      kept != ledger.families.end()) {
    if (kept->second.version >= family.version) {
      return {};
    }
    RefuseStale(turn, kept->second);
  }
  const ProgramName root = family.root;
  family.version = std::max(family.version, FirstVersion(ledger.epoch));
  ProgramFamily& adopted = ledger.families[root] = std::move(family);
  for (auto& [id, program] : adopted.programs) {
    if (program.open_intent) {
      MarkOpenIntentLost(turn, adopted, program);
    }
    // A history with a gap must not be continued. Its answers are retained.
    program.ended |= program.has_gap;
    if (program.ended) {
      turn.actions.emplace_back(ReleaseProgram{program.name});
    }
  }
  ledger::JournalFamily(turn, adopted);
  ledger::FlushJournal(turn, adopted);
  return std::move(turn.actions);
}

LedgerActions RefusePendingCalls(ProgramLedger& ledger,
                                 const ProgramName& root,
                                 const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const auto family = ledger.families.find(root);
  if (family == ledger.families.end()) {
    return {};
  }
  const Refusal refusal =
      ledger::RefusalWithRetryAfter(turn, RefusalType::kNotOwner, Ran::kNo);
  for (auto& [id, program] : family->second.programs) {
    ledger::RefuseWaiting(turn, program, refusal);
    if (program.active) {
      ledger::DeliverHeldOutcome(turn, {&family->second, &program},
                                 /*is_last_chance=*/true);
    }
    if (program.active && (program.active->phase == CallPhase::kQueued ||
                           program.active->phase == CallPhase::kIntent)) {
      ledger::StopActive(turn, {&family->second, &program}, refusal);
    }
  }
  return std::move(turn.actions);
}

bool IsBusy(const ProgramFamily& family) {
  return std::any_of(
      family.programs.begin(), family.programs.end(), [](const auto& entry) {
        return entry.second.active.has_value() || !entry.second.waiting.empty();
      });
}

std::vector<ProgramState> ExportFamily(const ProgramFamily& family) {
  std::vector<ProgramState> states;
  states.reserve(family.programs.size());
  for (const auto& [id, program] : family.programs) {
    states.push_back(MakeProgramState(family, program));
  }
  return states;
}

std::optional<ProgramState> ExportProgram(const ProgramLedger& ledger,
                                          const ProgramName& name) {
  const Program* const program = FindProgram(ledger, name);
  if (program == nullptr) {
    return std::nullopt;
  }
  return MakeProgramState(ledger.families.at(ledger::RootName(name)), *program);
}

}  // namespace celerykeel
