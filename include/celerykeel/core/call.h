#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <memory>   // for std::shared_ptr
#include <string>   // for std::string
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/identity.h"  // for Fence, ProgramName
#include "celerykeel/core/time.h"      // for Duration, WallMillis

namespace celerykeel {

/// @brief Whether a call ran at its endpoint. `kNo` is certain.
enum class Ran { kNo, kYes, kUnknown };

/// @brief Why the owner of a program does not answer a call.
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
  Duration retry_after{};      // zero: waiting does not help
  uint32_t expected_call = 0;  // kCallOutOfOrder

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// @brief Bounds of a program and its sub-agents together; 0 is no bound.
struct Budget {
  uint64_t tokens = 0;
  uint32_t calls = 0;
  uint32_t seconds = 0;

  friend bool operator==(const Budget&, const Budget&) = default;
};

struct TokenUsage {
  uint64_t prompt = 0;
  uint64_t completion = 0;
  uint64_t cached = 0;  // part of `prompt`

  friend bool operator==(const TokenUsage&, const TokenUsage&) = default;
};

enum class CallKind { kChat, kService };

/// @brief What a call asks of an endpoint.
struct CallWork {
  CallKind kind = CallKind::kChat;
  bool idempotent = true;
  std::string model;         // chat
  std::string body;          // chat: the JSON without its messages
  bool stream = false;       // chat
  bool wants_usage = false;  // chat: the caller asked for it in the stream
  std::string service;       // service
  std::string route;         // service
  std::string method;        // service
  std::string path;          // service, with its query
  std::string content_type;  // service
  std::string idempotency_key;
};

/// @brief A call of a program, by its number.
struct CallKey {
  ProgramName program;
  uint32_t call = 0;

  friend bool operator==(const CallKey&, const CallKey&) = default;
  friend bool operator<(const CallKey& a, const CallKey& b) {
    return std::tie(a.program, a.call) < std::tie(b.program, b.call);
  }
};

/// @brief A caller that waits for the answer of a call; unique in a process.
using Waiter = uint64_t;

/// @brief One request of a caller.
struct CallSubmission {
  Waiter waiter = 0;
  CallKey key;
  bool single = false;  // a program of one call, which ends with it
  Budget budget;        // counts with a program's first call
  bool whole_history = false;
  std::vector<std::string> messages;  // JSON of each, in canonical form
  uint64_t digest = 0;                // of all that the caller sent
  uint64_t max_tokens = 0;            // chat; 0: not bounded by the caller
  std::shared_ptr<const CallWork> work;
};

/// @brief Written before the first byte of a call that may not be repeated.
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
  kFailed,  // did not run; the number may be used again
  kLost,    // may have run; nobody knows
};

/// @brief The outcome of one call.
struct CallRecord {
  CallKey key;
  uint64_t digest = 0;
  CallState state = CallState::kDone;
  uint32_t status = 0;  // HTTP
  std::string content_type;
  std::string answer;
  std::vector<std::string> new_messages;  // added to the history
  TokenUsage usage;
  std::string idempotency_key;
  Budget budget;  // of the family, repeated in each record
  WallMillis started_at = 0;
  WallMillis finished_at = 0;
  std::string endpoint;
  std::string model;
  bool idempotent = true;
  uint64_t version = 0;

  friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

/// @brief All that is kept of one program.
struct ProgramState {
  ProgramName name;
  Budget budget;             // a root's
  uint64_t tokens_used = 0;  // a root's, with its sub-agents'
  uint32_t calls_used = 0;   // a root's, with its sub-agents'
  WallMillis started_at = 0;
  WallMillis last_used_at = 0;
  bool ended = false;
  std::vector<std::string> messages;
  std::vector<CallRecord> calls;  // by number
  uint64_t version = 0;

  friend bool operator==(const ProgramState&, const ProgramState&) = default;
};

struct ProgramEnd {
  ProgramName program;
  uint64_t version = 0;

  friend bool operator==(const ProgramEnd&, const ProgramEnd&) = default;
};

/// @brief A record of an instance's journal.
using JournalRecord =
    std::variant<CallIntent, CallRecord, ProgramState, ProgramEnd>;

}  // namespace celerykeel
