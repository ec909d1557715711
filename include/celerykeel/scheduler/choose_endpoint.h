#pragma once

#include <map>       // for std::map
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/call.h"         // for CallWork
#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/placement.h"  // for EndpointEstimate, PlacementRequest
#include "celerykeel/core/run_queue.h"  // for QueuedCall

namespace celerykeel {

/// @brief What this process knows of the load of the endpoints.
struct EndpointLoad {
  std::map<std::string, uint32_t> outstanding;    // calls of ours, by endpoint
  std::map<std::string, EndpointEstimate> books;  // of engines
};

/// @brief Why no endpoint was chosen.
enum class NoChoice {
  kUnknown,  // nothing in force serves the model or service
  kLeaving,  // whatever serves it is leaving
  kFull,     // every endpoint runs as many calls as it has slots
};

/// @brief The endpoint for a call, and what each alternative would have cost.
struct EndpointChoice {
  struct Alternative {
    std::string endpoint;
    double cost = 0;      // engines: seconds; services: calls of ours under way
    uint32_t calls = 0;   // of ours under way
    PlacementCost parts;  // engines
    bool avoided = false;
  };
  std::string endpoint;
  std::vector<Alternative> alternatives;
};

/// @brief What is believed of an engine, made new if nothing is yet.
EndpointEstimate BookOf(const EndpointLoad& load, const Endpoint& endpoint);

/// @brief The engine of the least expected cost, or the service with the
/// fewest calls of ours; one that has failed the call only if there is no
/// other.
tl::expected<EndpointChoice, NoChoice> ChooseEndpoint(
    const FleetState& view,
    const EndpointLoad& load,
    const QueuedCall& call,
    const PlacementRequest& request,
    Duration now);

}  // namespace celerykeel
