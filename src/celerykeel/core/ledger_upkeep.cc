#include <algorithm>  // for std::erase
#include <utility>    // for std::move

#include "celerykeel/core/ledger_turn.h"  // for Turn, Place

namespace celerykeel {

using ledger::Place;
using ledger::Turn;

namespace ledger {

void StopActive(Turn& turn, Place place, const Refusal& refusal) {
  ActiveCall& call = *place.program->active;
  const bool idempotent = call.submission.work->idempotent;
  const bool has_left = call.phase == CallPhase::kDispatched;
  if (call.phase == CallPhase::kOutcome || call.phase == CallPhase::kHeld ||
      (has_left && !idempotent)) {
    return;
  }
  Refusal told = refusal;
  told.ran = has_left ? Ran::kUnknown : Ran::kNo;
  RefuseAll(turn, call, told);
  call.waiters.clear();
  if (call.phase == CallPhase::kIntent) {
    call.stopping = true;
    return;
  }
  turn.actions.emplace_back(StopCall{call.submission.key});
  if (has_left) {
    const TokenUsage spent{.prompt = call.prompt_estimate};
    JournalFailedCall(turn, *place.family, call, spent);
    SettleBudget(turn, *place.family, call, spent.prompt);
  }
  ClearActive(turn, place);
}

void RefuseWaiting(Turn& turn, Program& program, const Refusal& refusal) {
  for (const auto& [number, waiting] : program.waiting) {
    Refuse(turn, waiting.submission.waiter, refusal);
  }
  program.waiting.clear();
}

}  // namespace ledger

namespace {

void EndSingleProgram(Turn& turn, Place place) {
  Program& program = *place.program;
  if (program.ended) {
    return;
  }
  program.ended = true;
  const Refusal refusal{.type = RefusalType::kProgramEnded};
  ledger::RefuseWaiting(turn, program, refusal);
  if (program.active) {
    ledger::StopActive(turn, place, refusal);
  }
  ledger::Journal(*place.family,
                  ProgramEnd{.program = program.name, .version = 0});
  ledger::FlushJournal(turn, *place.family);
  turn.actions.emplace_back(ReleaseProgram{program.name});
}

void EndFamily(Turn& turn, ProgramFamily& family) {
  for (auto& [id, program] : family.programs) {
    EndSingleProgram(turn, {&family, &program});
  }
}

void ExpireWaiting(Turn& turn, Program& program) {
  if (program.active) {
    return;
  }
  std::erase_if(program.waiting, [&](const auto& entry) {
    if (entry.second.until > turn.moment.now) {
      return false;
    }
    ledger::Refuse(turn, entry.second.submission.waiter,
                   {.type = RefusalType::kCallOutOfOrder,
                    .expected_call = program.next_call});
    return true;
  });
}

bool HasEnded(const ProgramFamily& family) {
  return std::all_of(family.programs.begin(), family.programs.end(),
                     [](const auto& entry) { return entry.second.ended; });
}

// Returns whether a family has no records, for example because its only call
// was refused as out of order.
bool IsEmpty(const ProgramFamily& family) {
  return family.unappended.empty() && family.appended_version == 0 &&
         std::all_of(
             family.programs.begin(), family.programs.end(),
             [](const auto& entry) { return entry.second.calls.empty(); });
}

bool IsRemovable(const ProgramFamily& family,
                 const LedgerOptions& options,
                 const EventContext& moment) {
  if (IsBusy(family) || !family.unappended.empty()) {
    return false;
  }
  const Duration unused =
      std::chrono::milliseconds(moment.wall - family.last_used_at);
  return IsEmpty(family) ||
         (HasEnded(family) && unused > options.ended_retention);
}

void TickFamily(Turn& turn, ProgramFamily& family) {
  const LedgerOptions& options = turn.ledger.options;
  for (auto& [id, program] : family.programs) {
    if (program.active) {
      ledger::DeliverHeldOutcome(turn, {&family, &program},
                                 /*is_last_chance=*/false);
    }
    ExpireWaiting(turn, program);
  }
  const Duration unused =
      std::chrono::milliseconds(turn.moment.wall - family.last_used_at);
  const bool is_idle = !IsBusy(family) && unused > options.program_idle_timeout;
  if ((is_idle && !IsEmpty(family)) ||
      ledger::IsSecondsBudgetExhausted(family, turn.moment)) {
    EndFamily(turn, family);
  }
  const Duration since_rewritten =
      std::chrono::milliseconds(turn.moment.wall - family.rewritten_at);
  if (!IsEmpty(family) && since_rewritten > options.rewrite_interval) {
    ledger::JournalFamily(turn, family);
  }
  ledger::FlushJournal(turn, family);
}

}  // namespace

LedgerActions CancelWaiter(ProgramLedger& ledger,
                           const ProgramName& program,
                           Waiter waiter,
                           const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const Place place = ledger::Find(ledger, program);
  if (!place) {
    return {};
  }
  std::erase_if(place.program->waiting, [&](const auto& entry) {
    return entry.second.submission.waiter == waiter;
  });
  if (!place.program->active ||
      std::erase(place.program->active->waiters, waiter) == 0) {
    return {};
  }
  if (place.program->active->waiters.empty()) {
    ledger::StopActive(turn, place, {.type = RefusalType::kCancelled});
  }
  return std::move(turn.actions);
}

LedgerActions EndProgram(ProgramLedger& ledger,
                         const ProgramName& name,
                         const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  if (const Place place = ledger::Find(ledger, name); place) {
    if (place.program->name == place.family->root) {
      EndFamily(turn, *place.family);
    } else {
      EndSingleProgram(turn, place);
    }
  }
  return std::move(turn.actions);
}

LedgerActions Tick(ProgramLedger& ledger, const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  for (auto& [root, family] : ledger.families) {
    TickFamily(turn, family);
  }
  std::erase_if(ledger.families, [&](const auto& entry) {
    return IsRemovable(entry.second, ledger.options, moment);
  });
  return std::move(turn.actions);
}

}  // namespace celerykeel
