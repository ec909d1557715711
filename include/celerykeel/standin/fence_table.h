#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/identity.h"  // for Fence

namespace celerykeel {

/// @brief The highest fencing number seen, by program.
using FenceTable = std::map<std::string, Fence, std::less<>>;

/// @brief Notes a fencing number; false if a higher one was seen before.
bool NoteFence(FenceTable& fences, std::string_view program, Fence fence);

}  // namespace celerykeel
