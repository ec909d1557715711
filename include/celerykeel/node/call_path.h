#pragma once

#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string

#include "celerykeel/core/call_request.h"    // for CallRequest
#include "celerykeel/core/deployment.h"      // for Deployment, CallRoute
#include "celerykeel/node/asio.h"            // for Task
#include "celerykeel/node/caller_stream.h"   // for CallerStreamPtr
#include "celerykeel/node/out_connection.h"  // for OutConnectionPtr
#include "celerykeel/node/rates.h"           // for RatePermit

namespace celerykeel {

struct Node;

/// @brief A caller's request on its way through this instance.
struct Call {
  CallRequest request;
  CallerStreamPtr caller;
  std::shared_ptr<const Deployment> deployment;  // in force when it came
  const CallRoute* route = nullptr;
  const DeployedTeam* team = nullptr;  // null on open routes
  Duration arrived_at{};
  Duration deadline{};  // the answer is due
  std::string service;
  std::string preferred_endpoint;
  std::set<std::string> tried;  // endpoints
  OutConnectionPtr attempt;     // the connection in use
  uint32_t tries = 0;           // endpoints chosen
  uint32_t runs = 0;            // of these, those that may have run it
  std::string last_event;       // relayed
  uint64_t events = 0;          // relayed
  std::optional<RatePermit> rate_permit;  // until it is known whether it ran
  Duration rate_retry{};                  // after kOverRate
  std::optional<Duration> sent_after;     // first sending, since its arrival
  std::optional<Duration> first_event_after;  // since its arrival
};
using CallPtr = std::shared_ptr<Call>;

/// @brief Serves one request: checks it, sends it to an endpoint, and relays
/// the answer.
Task<> ServeCall(Node& node, CallerStreamPtr caller, CallRequest request);

/// @brief Refuses a call, with a line in the log.
Task<> Refuse(Node& node, CallPtr call, CallRefusal refusal);

/// @brief Settles the call's part of its team's rate, once it is known whether
/// an endpoint may have run it.
void SettleRate(Node& node, Call& call);

/// @brief Time left until the call's deadline.
Duration TimeLeft(const Call& call);

}  // namespace celerykeel
