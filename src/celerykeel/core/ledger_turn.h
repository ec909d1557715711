#pragma once

#include "celerykeel/core/program_ledger.h"  // for ProgramLedger, EventContext

// Shared by the source files of the ledger; private to the core.
namespace celerykeel::ledger {

/// @brief An event being handled: its context, and the actions collected so
/// far.
struct Turn {
  ProgramLedger& ledger;
  const EventContext& moment;
  LedgerActions actions;
};

/// @brief A program and the family that it belongs to.
struct Place {
  ProgramFamily* family = nullptr;
  Program* program = nullptr;

  explicit operator bool() const { return this->program != nullptr; }
};

Place Find(ProgramLedger& ledger, const ProgramName& name);

ProgramName RootName(const ProgramName& name);

/// @brief Returns the program's active call if its number is that of `key`,
/// else nullptr.
ActiveCall* FindActive(Place place, const CallKey& key);

/// @brief Stops the active call and refuses its callers. A call that has an
/// outcome is not stopped. A dispatched call that is not idempotent runs on, so
/// that its outcome becomes known.
void StopActive(Turn& turn, Place place, const Refusal& refusal);

void RefuseWaiting(Turn& turn, Program& program, const Refusal& refusal);

/// @brief Journals the complete state of each program of a family.
void JournalFamily(Turn& turn, ProgramFamily& family);

void Refuse(Turn& turn, Waiter waiter, const Refusal& refusal);
void RefuseAll(Turn& turn, const ActiveCall& call, const Refusal& refusal);
Refusal RefusalWithRetryAfter(const Turn& turn, RefusalType type, Ran ran);

/// @brief Makes `submission` the program's active call, or refuses it.
void BeginCall(Turn& turn, Place place, CallSubmission submission);

/// @brief Removes the active call and starts the next one if it is waiting.
void ClearActive(Turn& turn, Place place);

/// @brief Reserves budget for the active call and queues it. A call that does
/// not fit only because of other reservations waits until they end. One that
/// exceeds the budget is refused.
void ReserveAndQueue(Turn& turn, Place place);

/// @brief Releases the call's reservation and charges the used tokens.
void SettleBudget(Turn& turn,
                  ProgramFamily& family,
                  ActiveCall& call,
                  uint64_t tokens);

/// @brief Retries the reservations of the calls in `awaiting_budget`.
void ResumeCallsAwaitingBudget(Turn& turn, ProgramFamily& family);

/// @brief Delivers an outcome that was held without the lease, once the lease
/// is renewed. Without a renewal, callers are refused when the hold times out
/// or `is_last_chance` is set.
void DeliverHeldOutcome(Turn& turn, Place place, bool is_last_chance);

bool IsSecondsBudgetExhausted(const ProgramFamily& family,
                              const EventContext& moment);

/// @brief Queues a record for the journal with the family's next version.
/// @return that version.
template <typename Record>
uint64_t Journal(ProgramFamily& family, Record record) {
  record.version = ++family.version;
  family.unappended.emplace_back(std::move(record));
  return family.version;
}

/// @brief Appends the pending records to the journal, unless an append is in
/// flight or the log is unavailable.
void FlushJournal(Turn& turn, ProgramFamily& family);

/// @brief Journals that a call did not run after its intent, or that it may
/// have used tokens without an answer.
void JournalFailedCall(Turn& turn,
                       ProgramFamily& family,
                       const ActiveCall& call,
                       const TokenUsage& usage);

/// @brief Ends the active call without an answer and charges the used tokens.
void FailCall(Turn& turn,
              Place place,
              const Refusal& refusal,
              const TokenUsage& usage);

/// @brief Records that the active call may have run with unknown outcome. Its
/// number cannot be reused.
void MarkCallLost(Turn& turn, Place place);

/// @brief Records the answer of the active call and extends the history.
void RecordAnswer(Turn& turn, Place place, AttemptResult result);

/// @brief Delays the outcome until its record is in the log. If the log is
/// unavailable, the outcome is settled as not durable.
void AwaitOutcome(Turn& turn, Place place);

/// @brief Returns a record of the active call with its identity filled in.
CallRecord DraftRecord(const Turn& turn,
                       const ProgramFamily& family,
                       const ActiveCall& call);

}  // namespace celerykeel::ledger
