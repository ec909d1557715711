#pragma once

#include <string_view>  // for std::string_view

#include "celerykeel/core/region_limits.h"  // for RegionLimits
#include "celerykeel/node/call_path.h"      // for Call

namespace celerykeel {

struct Node;

/// @brief The regions to which the call's route and team restrict it. The
/// result refers to `node` and `call`.
RegionLimits RegionLimitsOf(const Node& node, const Call& call);

/// @brief True if the call's body, and what is stored of it, may go to the
/// instance.
bool MayCarryBody(const Node& node,
                  const Call& call,
                  std::string_view instance);

}  // namespace celerykeel
