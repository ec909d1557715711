#pragma once

#include <string_view>  // for std::string_view

namespace celerykeel {

/// @brief Compares two header names, ignoring the case of ASCII letters.
bool IsSameHeaderName(std::string_view a, std::string_view b);

/// @brief True for hop-by-hop headers, which are not forwarded in requests or
/// answers.
bool IsHopByHop(std::string_view name);

}  // namespace celerykeel
