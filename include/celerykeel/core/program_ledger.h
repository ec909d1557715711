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
  Duration predecessor_wait = std::chrono::seconds(1);
  uint32_t calls_ahead = 4;  // how far a waiting call may be ahead
  Duration idle_end = std::chrono::hours(1);
  Duration ended_kept = std::chrono::minutes(10);  // for repeats
  Duration retry_after = std::chrono::seconds(1);
  Duration rewrite_every = std::chrono::hours(6);
  Budget default_budget{.tokens = 20'000'000,
                        .calls = 2'000,
                        .seconds = 7 * 24 * 3600};
  uint64_t default_max_tokens = 4096;  // a call that names none, in a budget
  uint32_t attempts = 3;
  Duration lease_wait = std::chrono::seconds(2);  // of an answer, for a renewal
};

/// @brief The time and what the process knows at an event.
struct Moment {
  Duration now{};
  WallMillis wall = 0;
  bool may_act = false;  // the lease is held
  bool log_reachable = false;
  Fence fence = 0;
};

/// @brief One attempt at an endpoint; unique in a process.
using DispatchId = uint64_t;

/// @brief How one attempt at an endpoint ended.
struct AttemptResult {
  enum class Kind {
    kAnswered,   // whole; `status` says how
    kNotRun,     // provably: no byte of it left
    kUnknown,    // it may have run
    kCancelled,  // stopped by this process
  };
  Kind kind = Kind::kUnknown;
  bool relayed = false;   // part of an answer has reached the caller
  bool may_retry = true;  // the budgets of retries allow another attempt
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  std::string message;  // chat: JSON of the assistant's message
  TokenUsage usage;
};

/// @brief An attempt that ended without an answer.
AttemptResult EndedAs(AttemptResult::Kind kind);

enum class AppendVerdict { kAppended, kNotAppended, kUncertain };

// Actions.

struct RefuseCaller {
  Waiter waiter = 0;
  Refusal refusal;
};

struct AnswerCaller {
  Waiter waiter = 0;
  std::shared_ptr<const CallRecord> record;
  bool replayed = false;  // the caller has seen nothing of it yet
  bool durable = true;
};

/// @brief The call may run: an endpoint is to be chosen, then StartCall.
struct QueueCall {
  CallKey key;
  std::shared_ptr<const CallWork> work;
  std::vector<std::string> avoid;  // endpoints that failed it
};

/// @brief The caller follows the answer of a call under way.
struct FollowCall {
  Waiter waiter = 0;
  CallKey key;
};

struct DispatchCall {
  CallKey key;
  DispatchId dispatch = 0;
  std::string endpoint;
  std::shared_ptr<const CallWork> work;
  std::vector<std::string> messages;  // chat: the whole history
  uint64_t max_tokens = 0;
};

/// @brief The call is no longer wanted: take it from the queue or stop it.
struct StopCall {
  CallKey key;
};

/// @brief Records of one family, in order; answered by FinishAppend.
struct AppendRecords {
  ProgramName root;
  std::vector<JournalRecord> records;
};

/// @brief The engines may drop what they hold for the program.
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
  kQueued,      // waits for an endpoint
  kIntent,      // its intent is being appended
  kDispatched,  // an endpoint has it
  kOutcome,     // its outcome is being appended
  kHeld,        // its outcome waits for the lease
};

/// @brief The call of a program that is under way; there is at most one.
struct ActiveCall {
  CallSubmission submission;
  std::vector<Waiter> waiters;
  CallPhase phase = CallPhase::kQueued;
  uint32_t attempts = 0;
  DispatchId dispatch = 0;  // the newest attempt
  Ran ran = Ran::kNo;       // by the attempts that have ended
  std::string endpoint;
  std::vector<std::string> avoid;
  std::vector<std::string> new_messages;
  bool reserved = false;  // holds a part of the budget
  uint64_t reserved_tokens = 0;
  uint64_t prompt_estimate = 0;
  uint64_t intent_version = 0;  // 0: none written
  uint64_t record_version = 0;  // of its outcome
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
  uint64_t history_tokens = 0;  // as the engine last counted them
  size_t counted_messages = 0;  // part of `messages` in `history_tokens`
  std::map<uint32_t, std::shared_ptr<const CallRecord>> calls;
  std::optional<CallIntent> open_intent;  // found in a journal, no outcome
  bool has_gap = false;                   // a journal lacks part of it
  std::optional<ActiveCall> active;
  std::multimap<uint32_t, WaitingCall> waiting;
};

/// @brief A root program and its sub-agents: one budget, one order of records.
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
  std::set<std::string> short_of_tokens;    // ids that wait for reservations
  std::deque<JournalRecord> unappended;
  size_t in_flight = 0;  // first records of `unappended`
  uint64_t appended_version = 0;
  WallMillis rewritten_at = 0;
};

/// @brief The first version that an owner of `epoch` gives to a record. It is
/// above all that an earlier owner can write, however late.
uint64_t FirstVersion(Offset epoch);

struct ProgramLedger {
  LedgerOptions options;
  std::map<ProgramName, ProgramFamily> families;
  DispatchId last_dispatch = 0;
  Offset epoch = 0;  // roster version by which the newest slots were gained
};

/// @brief Tokens that a message takes at most in common vocabularies.
uint64_t EstimateTokens(std::string_view message);

/// @brief Takes a request of a caller for a program that this process owns.
LedgerActions SubmitCall(ProgramLedger& ledger,
                         CallSubmission submission,
                         const Moment& moment);

/// @brief An endpoint was chosen for a queued call.
LedgerActions StartCall(ProgramLedger& ledger,
                        const CallKey& key,
                        std::string endpoint,
                        const Moment& moment);

/// @brief A queued call found no endpoint within its time.
LedgerActions RefuseQueued(ProgramLedger& ledger,
                           const CallKey& key,
                           const Refusal& refusal,
                           const Moment& moment);

/// @brief An attempt ended; results of earlier attempts are dropped.
LedgerActions FinishAttempt(ProgramLedger& ledger,
                            const CallKey& key,
                            DispatchId dispatch,
                            AttemptResult result,
                            const Moment& moment);

/// @brief The log answered an AppendRecords.
LedgerActions FinishAppend(ProgramLedger& ledger,
                           const ProgramName& root,
                           AppendVerdict verdict,
                           const Moment& moment);

/// @brief A caller no longer wants its answer. A call that nobody waits for
/// is stopped if it may be repeated.
LedgerActions CancelWaiter(ProgramLedger& ledger,
                           const ProgramName& program,
                           Waiter waiter,
                           const Moment& moment);

/// @brief Ends a program; a root ends with all its sub-agents.
LedgerActions EndProgram(ProgramLedger& ledger,
                         const ProgramName& name,
                         const Moment& moment);

/// @brief Lets time pass: bounded waits, budgets of seconds, idle programs,
/// records to be written again.
LedgerActions Tick(ProgramLedger& ledger, const Moment& moment);

/// @brief All that is kept of a program, as it is journaled.
std::optional<ProgramState> ExportProgram(const ProgramLedger& ledger,
                                          const ProgramName& name);

/// @brief Takes a family over from its former owner and journals it. A call
/// whose intent has no outcome is lost. An older state than the ledger's is
/// dropped.
LedgerActions AdoptFamily(ProgramLedger& ledger,
                          ProgramFamily family,
                          const Moment& moment);

/// @brief Refuses what waits in a family that moves to another owner; what has
/// left for an endpoint runs to its end.
LedgerActions StopActing(ProgramLedger& ledger,
                         const ProgramName& root,
                         const Moment& moment);

/// @brief True while a call of the family runs or waits.
bool IsBusy(const ProgramFamily& family);

/// @brief The states of a family's programs, to be handed over.
std::vector<ProgramState> ExportFamily(const ProgramFamily& family);

const Program* FindProgram(const ProgramLedger& ledger,
                           const ProgramName& name);

}  // namespace celerykeel
