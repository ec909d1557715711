#pragma once

#include <cstdint>      // for uint32_t
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

/// @brief True if the holder of the slot may get the text of the call, if it is
/// a retained turn.
bool MayStoreText(const Node& node, const Call& call, uint32_t slot);

/// @brief Refusal of a call to a service whose endpoints are all in evacuated
/// zones.
CallRefusal AllEvacuated();

}  // namespace celerykeel
