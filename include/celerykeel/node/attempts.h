#pragma once

#include <functional>  // for std::function
#include <optional>    // for std::optional

#include "celerykeel/node/answer_reader.h"    // for AnswerReader
#include "celerykeel/node/call_path.h"        // for CallPtr
#include "celerykeel/node/crash_watch.h"      // for SentRun
#include "celerykeel/node/endpoint_speeds.h"  // for AttemptTimer
#include "celerykeel/node/in_flight.h"        // for InFlight

namespace celerykeel {

/// @brief A call that is not idempotent uses only a connection that was idle
/// for less than this, as the endpoint could close a longer idle one just when
/// the call is sent.
inline constexpr Duration kMaxIdleUnlessIdempotent =
    std::chrono::milliseconds(300);

/// @brief Outcome of one attempt at an endpoint, up to the head of its answer.
enum class AttemptEnd {
  kAnswered,    // the answer may be relayed
  kNotRun,      // the endpoint certainly did not run the call
  kMayHaveRun,  // sent; whether it ran is unknown
  kNoEndpoint,  // no endpoint is available
  kCallerDisconnected,
  kTimedOut,     // the deadline passed
  kOverRate,     // not sent: its rate permit expired and was not renewed
  kOverLimit,    // not sent: the rate limits of the endpoints are used up
  kDeadly,       // not sent: the request has crashed endpoints
  kNotIsolated,  // not sent: may be deadly, and no endpoint is free to try it
  kUnsendable,   // not sent: a header is too long
};

/// @brief An attempt; `reader`, `head` and `answer` are valid if `end` is
/// kAnswered.
struct Attempt {
  AttemptEnd end = AttemptEnd::kNoEndpoint;
  std::string endpoint;  // id
  std::string address;
  std::string version;  // of the endpoint's software
  std::string over;     // peer that relays the bytes; empty: connected directly
  std::shared_ptr<AnswerReader> reader;
  AnswerHead head;
  AnswerHeaderValues answer;  // decoded from `head`
  std::shared_ptr<InFlight> counted;
  std::shared_ptr<AttemptTimer> timer;  // set once an endpoint is chosen
  std::shared_ptr<SentRun> run;         // set once sent
  // Limit of the endpoint when it was chosen, in calls per second.
  std::optional<double> limit;
};

/// @brief Chooses an endpoint, sends the call and reads the head of the
/// answer. The caller of this function reads the body from Attempt::reader.
/// @param body request body for the endpoint; must outlive the attempt.
Task<Attempt> StartAttempt(Node& node, CallPtr call, std::string_view body);

/// @brief Serves a call whose answer is relayed once it is complete.
Task<> RunAttempts(Node& node, CallPtr call);

/// @brief Called at the end of an answer's bytes.
/// @return false if the answer ended with its connection because the endpoint
/// crashed.
Task<bool> IsWhole(Node& node, const Call& call, Attempt& attempt);

/// @brief Reads an answer that is not an event stream to its end, then relays
/// it unless the caller disconnected.
/// @return false if the body could not be read; nothing was sent then.
Task<bool> RelayCompleteAnswer(Node& node, CallPtr call, Attempt& attempt);

/// @brief Returns true if the call ends with this attempt, whatever its route
/// allows to be repeated.
bool EndsCall(AttemptEnd end);

/// @brief Returns true if the limits on tries allow one more endpoint.
bool MayTry(const Call& call);

/// @brief Returns the refusal that the caller gets after the last attempt.
CallRefusal RefusalAfter(const Node& node, const Call& call, AttemptEnd end);

}  // namespace celerykeel
