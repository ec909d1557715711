#pragma once

#include <optional>  // for std::optional
#include <variant>   // for std::variant

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/core/limit_home.h"      // for LimitPermit
#include "celerykeel/node/call_path.h"       // for CallPtr

namespace celerykeel {

/// @brief The endpoint chosen for an attempt.
struct EndpointChoice {
  EndpointEntry endpoint;
  std::optional<double> limit;        // calls per second, of all instances
  std::optional<LimitPermit> permit;  // set if it has a limit
};

/// @brief The service has no endpoint that takes new calls and is untried.
struct NoEndpoint {};
/// @brief The rate limits of all such endpoints are used up.
struct EndpointsLimited {
  Duration retry_after{};
};
using NoChoice = std::variant<NoEndpoint, EndpointsLimited>;

/// @brief Chooses an endpoint for the call's next attempt. If the endpoint has
/// a rate limit, reserves the call and waits until it may be sent. Takes
/// another endpoint rather than wait for a limited one.
Task<tl::expected<EndpointChoice, NoChoice>> ChooseForCall(Node& node,
                                                           CallPtr call);

/// @brief Chooses an endpoint for a call that is to run alone: one with few
/// calls that neither fails nor runs such a call. Null if there is none.
const EndpointStatus* ChooseApart(Node& node, const Call& call);

/// @brief Returns false if the endpoint has a rate limit and the permit has
/// expired, for example because the process was paused, or if the endpoint
/// became cold since it was chosen without a permit.
bool MaySend(const Node& node, const EndpointChoice& choice);

}  // namespace celerykeel
