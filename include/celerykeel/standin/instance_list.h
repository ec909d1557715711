#pragma once

#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

namespace celerykeel {

enum class InstanceState { kLive, kLeaving, kGone };

/// @brief The platform's list of instances.
using InstanceList = std::map<std::string, InstanceState, std::less<>>;

/// @brief Reads "live", "leaving" or "gone".
std::optional<InstanceState> ParseInstanceState(std::string_view text);

/// @brief [{"instance":"utne-1","state":"live"}]
std::string RenderInstanceList(const InstanceList& list);

}  // namespace celerykeel
