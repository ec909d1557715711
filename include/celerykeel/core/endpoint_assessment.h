#pragma once

#include <cstddef>      // for size_t
#include <string_view>  // for std::string_view

#include "celerykeel/core/endpoint_speed.h"  // for EndpointSpeeds
#include "celerykeel/core/endpoint_table.h"  // for EndpointTable

namespace celerykeel {

/// @brief Sets the speed factor and the probe times of all endpoints, and
/// forgets samples that no longer count.
/// @param self name of this instance.
/// @param instances of the fleet, which share the probes of a slow endpoint.
void AssessSpeeds(EndpointSpeeds& speeds,
                  EndpointTable& table,
                  std::string_view self,
                  size_t instances,
                  Duration now);

}  // namespace celerykeel
