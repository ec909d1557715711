#pragma once

#include <string_view>  // for std::string_view

namespace celerykeel {

/// @brief Compares two header names, ignoring the case of ASCII letters.
bool IsSameHeaderName(std::string_view a, std::string_view b);

/// @brief True for headers that are forwarded neither in requests nor in
/// answers: hop-by-hop headers, and Content-Length, which is set anew for each
/// hop.
bool IsHopByHop(std::string_view name);

}  // namespace celerykeel
