#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

struct Node;

/// @brief Updates the gates of the services whose endpoints are engines, from
/// the calls in flight that this instance and its peers report.
void UpdateCapacity(Node& node);

/// @brief True if the peers need this instance's calls of each team at the
/// service.
bool NeedsTeamLoads(const Node& node, const std::string& service);

/// @brief Refuses the first call of a program (Call::begins_program) if its
/// service is full.
Task<std::optional<CallRefusal>> RefusalIfServiceFull(Node& node, CallPtr call);

}  // namespace celerykeel
