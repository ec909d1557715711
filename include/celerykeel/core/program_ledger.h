#pragma once

#include <deque>     // for std::deque
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string
#include <variant>   // for std::variant
#include <vector>    // for std::vector

#include "celerykeel/core/call.h"      // for CallSubmission, CallRecord
#include "celerykeel/core/identity.h"  // for ProgramName
#include "celerykeel/core/time.h"      // for Duration, WallMillis

namespace celerykeel {

struct LedgerOptions {
  Duration predecessor_timeout = std::chrono::seconds(1);
  uint32_t max_calls_ahead = 4;  // max distance to the next expected call
  Duration program_idle_timeout = std::chrono::hours(1);
  // Retention of an ended program, so that repeated calls get their answers.
  Duration ended_retention = std::chrono::minutes(10);
  Duration retry_after = std::chrono::seconds(1);
  Duration rewrite_interval = std::chrono::hours(6);
  Budget default_budget{.tokens = 20'000'000,
                        .calls = 2'000,
                        .seconds = 7 * 24 * 3600};
  // For a call without its own limit in a program with a token budget.
  uint64_t default_max_tokens = 4096;
  uint32_t attempts = 3;
  // Max time for which an outcome is held until the lease is renewed.
  Duration lease_renewal_timeout = std::chrono::seconds(2);
};

/// @brief The time of an event and the state of the process at that time.
struct EventContext {
  Duration now{};
  WallMillis wall = 0;
  bool has_lease = false;  // the process holds the lease
  bool log_reachable = false;
  Fence fence = 0;
};

/// @brief Identifies one attempt at an endpoint; unique within a process.
using DispatchId = uint64_t;

/// @brief Result of one attempt at an endpoint.
struct AttemptResult {
  enum class Kind {
    kAnswered,   // complete answer, with `status` set
    kNotRun,     // provably, because no byte of the request was sent
    kUnknown,    // the call may have run
    kCancelled,  // stopped by this process
  };
  Kind kind = Kind::kUnknown;
  bool relayed = false;   // part of an answer has reached the caller
  bool may_retry = true;  // the retry budgets allow another attempt
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  std::string message;  // chat: the assistant's message as JSON
  TokenUsage usage;
};

/// @brief Returns the result of an attempt that ended without an answer.
AttemptResult MakeAttemptResult(AttemptResult::Kind kind);

enum class AppendVerdict { kAppended, kNotAppended, kUncertain };

// Actions.

struct RefuseCaller {
  Waiter waiter = 0;
  Refusal refusal;
};

struct AnswerCaller {
  Waiter waiter = 0;
  std::shared_ptr<const CallRecord> record;
  bool replayed = false;  // stored answer, of which the caller has nothing yet
  bool durable = true;
};

/// @brief The call is ready to run. The owner of the queue calls StartCall once
/// an endpoint is chosen.
struct QueueCall {
  CallKey key;
  std::shared_ptr<const CallWork> work;
  std::vector<std::string> avoid;  // endpoints at which the call failed
};

/// @brief The caller receives the answer of a call in progress.
struct FollowCall {
  Waiter waiter = 0;
  CallKey key;
};

struct DispatchCall {
  CallKey key;
  DispatchId dispatch = 0;
  std::string endpoint;
  std::shared_ptr<const CallWork> work;
  std::vector<std::string> messages;  // chat: the complete history
  uint64_t max_tokens = 0;
};

/// @brief Removes the call from the queue, or stops it if it is running.
struct StopCall {
  CallKey key;
};

/// @brief Appends records of one family in order. FinishAppend reports the
/// result.
struct AppendRecords {
  ProgramName root;
  std::vector<JournalRecord> records;
};

/// @brief The engines may release what they cache for the program.
struct ReleaseProgram {
  ProgramName program;
};

using LedgerAction = std::variant<RefuseCaller,
                                  AnswerCaller,
                                  QueueCall,
                                  FollowCall,
                                  DispatchCall,
                                  StopCall,
                                  AppendRecords,
                                  ReleaseProgram>;
using LedgerActions = std::vector<LedgerAction>;

// State.

enum class CallPhase {
  kQueued,      // waiting for an endpoint
  kIntent,      // its intent is being appended
  kDispatched,  // sent to an endpoint
  kOutcome,     // its outcome is being appended
  kHeld,        // its outcome is held until the lease is renewed
};

/// @brief The call in progress; a program has at most one.
struct ActiveCall {
  CallSubmission submission;
  std::vector<Waiter> waiters;
  CallPhase phase = CallPhase::kQueued;
  uint32_t attempts = 0;
  DispatchId dispatch = 0;  // the latest attempt
  Ran ran = Ran::kNo;       // as known from completed attempts
  std::string endpoint;
  std::vector<std::string> avoid;
  std::vector<std::string> new_messages;
  bool reserved = false;  // holds a budget reservation
  uint64_t reserved_tokens = 0;
  uint64_t prompt_estimate = 0;
  uint64_t intent_version = 0;  // 0: no intent written
  uint64_t record_version = 0;  // version of the outcome record
  std::shared_ptr<const CallRecord> record;
  bool is_durable = false;  // the record is in the log
  Duration held_until{};    // kHeld
  WallMillis started_at = 0;
  bool stopping = false;
};

struct WaitingCall {
  CallSubmission submission;
  Duration until{};
};

struct Program {
  ProgramName name;
  uint32_t next_call = 1;
  bool ended = false;
  std::vector<std::string> messages;
  uint64_t history_tokens = 0;  // as last counted by the engine
  size_t counted_messages = 0;  // messages included in `history_tokens`
  std::map<uint32_t, std::shared_ptr<const CallRecord>> calls;
  std::optional<CallIntent> open_intent;  // journaled without an outcome
  bool has_gap = false;                   // calls are missing in the journal
  std::optional<ActiveCall> active;
  std::multimap<uint32_t, WaitingCall> waiting;
};

/// @brief A root program and its sub-agents, which share one budget and one
/// sequence of record versions.
struct ProgramFamily {
  ProgramName root;
  Budget budget;
  uint64_t tokens_used = 0;
  uint64_t tokens_reserved = 0;
  uint32_t calls_used = 0;
  uint32_t calls_reserved = 0;
  WallMillis started_at = 0;
  WallMillis last_used_at = 0;
  uint64_t version = 0;
  std::map<std::string, Program> programs;  // by id
  std::set<std::string> awaiting_budget;  // ids waiting until reservations end
  std::deque<JournalRecord> unappended;
  size_t in_flight = 0;  // leading records of `unappended`
  uint64_t appended_version = 0;
  WallMillis rewritten_at = 0;
};

/// @brief Returns the version from which an owner of `epoch` numbers its
/// records. It is higher than any version that an earlier owner can write, even
/// if that owner writes late.
uint64_t FirstVersion(Offset epoch);

struct ProgramLedger {
  LedgerOptions options;
  std::map<ProgramName, ProgramFamily> families;
  DispatchId last_dispatch = 0;
  Offset epoch = 0;  // roster version that assigned the newest slots
};

/// @brief Returns an upper bound for the tokens of a message in common
/// vocabularies.
uint64_t EstimateTokens(std::string_view message);

/// @brief Submits a caller's call of a program that this process owns.
LedgerActions SubmitCall(ProgramLedger& ledger,
                         CallSubmission submission,
                         const EventContext& moment);

/// @brief Starts a queued call at the chosen endpoint.
LedgerActions StartCall(ProgramLedger& ledger,
                        const CallKey& key,
                        std::string endpoint,
                        const EventContext& moment);

/// @brief Refuses a queued call for which no endpoint was found in time.
LedgerActions RefuseQueued(ProgramLedger& ledger,
                           const CallKey& key,
                           const Refusal& refusal,
                           const EventContext& moment);

/// @brief Handles the end of an attempt. Results of earlier attempts are
/// dropped.
LedgerActions FinishAttempt(ProgramLedger& ledger,
                            const CallKey& key,
                            DispatchId dispatch,
                            AttemptResult result,
                            const EventContext& moment);

/// @brief Handles the log's result of an AppendRecords.
LedgerActions FinishAppend(ProgramLedger& ledger,
                           const ProgramName& root,
                           AppendVerdict verdict,
                           const EventContext& moment);

/// @brief Removes a caller that no longer waits for its answer. A call without
/// callers is stopped, unless it has an outcome, or was dispatched and is not
/// idempotent.
LedgerActions CancelWaiter(ProgramLedger& ledger,
                           const ProgramName& program,
                           Waiter waiter,
                           const EventContext& moment);

/// @brief Ends a program; a root ends with all its sub-agents.
LedgerActions EndProgram(ProgramLedger& ledger,
                         const ProgramName& name,
                         const EventContext& moment);

/// @brief Handles timeouts of waiting calls and held outcomes, budgets of
/// seconds, idle programs and the periodic rewrite of records.
LedgerActions Tick(ProgramLedger& ledger, const EventContext& moment);

/// @brief Returns the complete state of a program in its journal form.
std::optional<ProgramState> ExportProgram(const ProgramLedger& ledger,
                                          const ProgramName& name);

/// @brief Takes over a family from its previous owner and journals it. A call
/// whose intent has no outcome is recorded as lost. A state that is not newer
/// than the ledger's is dropped.
LedgerActions AdoptFamily(ProgramLedger& ledger,
                          ProgramFamily family,
                          const EventContext& moment);

/// @brief Refuses the calls of a family that moves to another owner, except
/// those already sent to an endpoint, which run to completion.
LedgerActions RefusePendingCalls(ProgramLedger& ledger,
                                 const ProgramName& root,
                                 const EventContext& moment);

/// @brief Returns whether a call of the family is in progress or waiting.
bool IsBusy(const ProgramFamily& family);

/// @brief Returns the states of a family's programs for a handover.
std::vector<ProgramState> ExportFamily(const ProgramFamily& family);

const Program* FindProgram(const ProgramLedger& ledger,
                           const ProgramName& name);

}  // namespace celerykeel
