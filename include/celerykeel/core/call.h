#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <memory>   // for std::shared_ptr
#include <string>   // for std::string
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/identity.h"  // for Fence, ProgramName
#include "celerykeel/core/time.h"      // for Duration, WallMillis

namespace celerykeel {

/// @brief Whether a call ran at its endpoint. `kNo` means that it provably did
/// not run.
enum class Ran { kNo, kYes, kUnknown };

/// @brief Reason for which a call is refused.
enum class RefusalType {
  kBadRequest,
  kUnknownModel,
  kUnknownRoute,
  kUnknownProgram,
  kCallOutOfOrder,
  kCallContradicts,
  kHistoryContradicts,
  kBudgetExhausted,
  kProgramEnded,
  kOverloaded,
  kNoEndpoint,
  kEndpointFailed,
  kNotOwner,
  kLogUnavailable,
  kLeaseLapsed,
  kDraining,
  kCancelled,
  kOutcomeUnknown,
};

struct Refusal {
  RefusalType type = RefusalType::kBadRequest;
  Ran ran = Ran::kNo;
  Duration retry_after{};      // zero: a retry after a delay does not help
  uint32_t expected_call = 0;  // set for kCallOutOfOrder

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// @brief Limits of a program including its sub-agents; 0 means unlimited.
struct Budget {
  uint64_t tokens = 0;
  uint32_t calls = 0;
  uint32_t seconds = 0;

  friend bool operator==(const Budget&, const Budget&) = default;
};

struct TokenUsage {
  uint64_t prompt = 0;
  uint64_t completion = 0;
  uint64_t cached = 0;  // included in `prompt`

  friend bool operator==(const TokenUsage&, const TokenUsage&) = default;
};

enum class CallKind { kChat, kService };

/// @brief The request that a call sends to an endpoint.
struct CallWork {
  CallKind kind = CallKind::kChat;
  bool idempotent = true;
  std::string model;         // chat
  std::string body;          // chat: request JSON without the messages
  bool stream = false;       // chat
  bool wants_usage = false;  // chat: the caller requested usage in the stream
  std::string service;       // service
  std::string route;         // service
  std::string method;        // service
  std::string path;          // service: path with its query
  std::string content_type;  // service
  std::string idempotency_key;
};

/// @brief Identifies a call by its program and its number.
struct CallKey {
  ProgramName program;
  uint32_t call = 0;

  friend bool operator==(const CallKey&, const CallKey&) = default;
  friend bool operator<(const CallKey& a, const CallKey& b) {
    return std::tie(a.program, a.call) < std::tie(b.program, b.call);
  }
};

/// @brief Identifies a caller waiting for the answer to a call; unique within a
/// process.
using Waiter = uint64_t;

/// @brief A call as submitted by a caller.
struct CallSubmission {
  Waiter waiter = 0;
  CallKey key;
  bool single = false;  // the program consists of this call only
  Budget budget;        // used if this is the first call of its family or root
  bool whole_history = false;         // `messages` include the stored history
  std::vector<std::string> messages;  // each as canonical JSON
  uint64_t digest = 0;                // of the caller's complete request
  uint64_t max_tokens = 0;            // chat; 0: no limit set by the caller
  std::shared_ptr<const CallWork> work;
};

/// @brief Journal record written before the first byte of a call that is not
/// idempotent is sent.
struct CallIntent {
  CallKey key;
  uint64_t digest = 0;
  std::string endpoint;
  std::string idempotency_key;
  Fence fence = 0;
  uint64_t version = 0;

  friend bool operator==(const CallIntent&, const CallIntent&) = default;
};

enum class CallState {
  kDone,
  kFailed,  // not run or safe to repeat; the number can be reused
  kLost,    // may have run; the outcome is unknown
};

/// @brief The outcome of one call.
struct CallRecord {
  CallKey key;
  uint64_t digest = 0;
  CallState state = CallState::kDone;
  uint32_t status = 0;  // HTTP status
  std::string content_type;
  std::string answer;
  std::vector<std::string> new_messages;  // added to the history
  TokenUsage usage;
  std::string idempotency_key;
  Budget budget;  // of the family, included in every record
  WallMillis started_at = 0;
  WallMillis finished_at = 0;
  std::string endpoint;
  std::string model;
  bool idempotent = true;
  uint64_t version = 0;

  friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

/// @brief The complete stored state of one program.
struct ProgramState {
  ProgramName name;
  Budget budget;             // of the root
  uint64_t tokens_used = 0;  // of the root, including its sub-agents
  uint32_t calls_used = 0;   // of the root, including its sub-agents
  WallMillis started_at = 0;
  WallMillis last_used_at = 0;
  bool ended = false;
  std::vector<std::string> messages;
  std::vector<CallRecord> calls;  // ordered by number
  uint64_t version = 0;

  friend bool operator==(const ProgramState&, const ProgramState&) = default;
};

struct ProgramEnd {
  ProgramName program;
  uint64_t version = 0;

  friend bool operator==(const ProgramEnd&, const ProgramEnd&) = default;
};

/// @brief A record in an instance's journal.
using JournalRecord =
    std::variant<CallIntent, CallRecord, ProgramState, ProgramEnd>;

}  // namespace celerykeel
