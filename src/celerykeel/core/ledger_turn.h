#pragma once

#include "celerykeel/core/program_ledger.h"  // for ProgramLedger, Moment

// What the parts of the ledger share. Private to the core.
namespace celerykeel::ledger {

/// @brief One event under way: its moment, and the actions so far.
struct Turn {
  ProgramLedger& ledger;
  const Moment& moment;
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

/// @brief The program's active call if it has the number of `key`.
ActiveCall* FindActive(Place place, const CallKey& key);

/// @brief Stops the active call if it may be stopped, and refuses its callers.
/// One that may not be repeated and has left runs on, so that its outcome is
/// known.
void StopActive(Turn& turn, Place place, const Refusal& refusal);

void RefuseWaiting(Turn& turn, Program& program, const Refusal& refusal);

/// @brief Journals the whole state of each program of a family.
void JournalFamily(Turn& turn, ProgramFamily& family);

void Refuse(Turn& turn, Waiter waiter, const Refusal& refusal);
void RefuseAll(Turn& turn, const ActiveCall& call, const Refusal& refusal);
Refusal RefusalOf(const Turn& turn, RefusalType type, Ran ran);

/// @brief Starts `submission` as the program's active call, or refuses it.
void BeginCall(Turn& turn, Place place, CallSubmission submission);

/// @brief Takes the active call away; the next waiting one may begin.
void ClearActive(Turn& turn, Place place);

/// @brief Reserves the budget of the active call and queues it; a call that
/// is short only by what others have reserved waits for them.
void ReserveAndQueue(Turn& turn, Place place);

/// @brief Gives back the reservation and charges what was used.
void SettleBudget(Turn& turn,
                  ProgramFamily& family,
                  ActiveCall& call,
                  uint64_t tokens);

/// @brief Tries again the calls that were short of tokens.
void WakeShort(Turn& turn, ProgramFamily& family);

/// @brief Tells an outcome that was held back for the lease, when the lease is
/// there again; without it only at the end of its wait or on the last chance.
void TellHeld(Turn& turn, Place place, bool is_last_chance);

bool SecondsAreOver(const ProgramFamily& family, const Moment& moment);

/// @brief Queues a record for the journal, with the family's next version.
/// @return the version.
template <typename Record>
uint64_t Journal(ProgramFamily& family, Record record) {
  record.version = ++family.version;
  family.unappended.emplace_back(std::move(record));
  return family.version;
}

/// @brief Hands over what waits for the journal, unless an append is under
/// way or the log cannot be reached.
void FlushJournal(Turn& turn, ProgramFamily& family);

/// @brief Writes down that a call did not run, or used tokens for nothing.
void JournalFailure(Turn& turn,
                    ProgramFamily& family,
                    const ActiveCall& call,
                    const TokenUsage& usage);

/// @brief Ends the active call without an answer, and charges what it used.
void FailCall(Turn& turn,
              Place place,
              const Refusal& refusal,
              const TokenUsage& usage);

/// @brief The active call may have run and nobody knows; its number is taken.
void LoseCall(Turn& turn, Place place);

/// @brief Records the answer of the active call and its part of the history.
void RecordAnswer(Turn& turn, Place place, AttemptResult result);

/// @brief Holds the outcome back until its record is in the log.
void AwaitOutcome(Turn& turn, Place place);

/// @brief The record of the active call with its identity filled in.
CallRecord DraftRecord(const Turn& turn,
                       const ProgramFamily& family,
                       const ActiveCall& call);

}  // namespace celerykeel::ledger
