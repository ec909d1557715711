#pragma once

#include <string_view>  // for std::string_view

namespace celerykeel {

/// @brief True if two names of headers are the same, whatever their case.
bool SameName(std::string_view a, std::string_view b);

/// @brief True for headers that concern one connection, in requests and
/// answers alike.
bool IsHopByHop(std::string_view name);

}  // namespace celerykeel
