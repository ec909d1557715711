#pragma once

#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string

#include "celerykeel/core/call_request.h"      // for CallRequest
#include "celerykeel/core/deployment.h"        // for Deployment, CallRoute
#include "celerykeel/core/event_sequence.h"    // for EventSequence
#include "celerykeel/core/request_identity.h"  // for RequestIdentity
#include "celerykeel/core/stream_origin.h"     // for StreamOrigin
#include "celerykeel/node/asio.h"              // for Task
#include "celerykeel/node/caller_stream.h"     // for CallerStreamPtr
#include "celerykeel/node/out_connection.h"    // for OutConnectionPtr
#include "celerykeel/node/rates.h"             // for RatePermit

namespace celerykeel {

struct Node;
class Isolation;

/// @brief A caller's request while this instance serves it.
struct Call {
  CallRequest request;
  RequestIdentity identity;  // set once the team is known
  CallerStreamPtr caller;
  std::shared_ptr<const Deployment> deployment;  // in force at its arrival
  const CallRoute* route = nullptr;
  const DeployedTeam* team = nullptr;  // null on open routes
  bool begins_program = false;  // no earlier call of its program is known
  Duration arrived_at{};
  Duration deadline{};  // by which the answer is due
  std::string service;
  std::string preferred_endpoint;
  std::set<std::string> tried;  // ids of the endpoints tried
  OutConnectionPtr attempt;     // connection of the current attempt
  // Set while the call runs alone on an endpoint that it may crash.
  std::shared_ptr<Isolation> isolation;
  uint32_t tries = 0;  // attempts, including those not run
  uint32_t runs = 0;   // tries in which the endpoint may have run it
  // Set once the first event is relayed; only the same version continues.
  std::optional<StreamOrigin> origin;
  EventSequence sequence;  // on routes whose streams may be resumed
  uint64_t events = 0;     // relayed events
  std::optional<RatePermit> rate_permit;  // until SettleRate
  Duration rate_retry{};         // delay before a retry after kOverRate
  Duration limit_retry{};        // likewise after kOverLimit
  Duration suspect_retry{};      // likewise after kNotIsolated
  Duration suspect_run_until{};  // other copies of the suspect wait until then
  std::optional<Duration> sent_after;  // from arrival to the first sending
  std::optional<Duration> first_event_after;  // from arrival to the first event
};
using CallPtr = std::shared_ptr<Call>;

/// @brief Sets the call's deployment, route and team, as far as they are known
/// from the request's head.
/// @return the refusal of a request without a known route, key or id.
std::optional<CallRefusal> CheckHead(const Node& node, Call& call);

/// @brief Serves one request: checks it, sends it to an endpoint and relays
/// the answer.
Task<> ServeCall(Node& node, CallerStreamPtr caller, CallRequest request);

/// @brief Refuses a call: settles its rate permit, counts and logs the refusal,
/// and sends it unless the caller disconnected or an answer was aborted.
Task<> Refuse(Node& node, CallPtr call, CallRefusal refusal);

/// @brief Settles the call's rate permit: used if an endpoint may have run the
/// call, otherwise returned to the team. Does nothing without a permit.
void SettleRate(Node& node, Call& call);

/// @brief Time left until the call's deadline.
Duration TimeLeft(const Call& call);

}  // namespace celerykeel
