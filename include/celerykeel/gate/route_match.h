#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/fleet_state.h"  // for Configuration
#include "celerykeel/core/ticket.h"       // for Route

namespace celerykeel {

/// @brief True if an endpoint could read `path` as another path than the one
/// that was matched: dot parts, empty parts, encoded or reversed slashes,
/// bytes beyond printable ASCII.
bool IsAmbiguousPath(std::string_view path);

/// @brief The route in force for a request: the longest prefix of whole parts,
/// and among equals the one that names the method. Null if there is none.
const Route* FindRoute(const Configuration& in_force,
                       std::string_view service,
                       std::string_view method,
                       std::string_view path);

}  // namespace celerykeel
