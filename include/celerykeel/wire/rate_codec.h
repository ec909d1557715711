#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/rate_gate.h"  // for RateGateMessage

namespace celerykeel {

/// @brief A rate message and the incarnation of its sender.
struct RateLetter {
  Incarnation from = 0;
  RateGateMessage note;
};

std::string EncodeRateLetter(const RateLetter& envelope);

/// @brief Returns nullopt if the bytes are invalid or an amount is negative or
/// not finite.
std::optional<RateLetter> DecodeRateLetter(std::string_view bytes);

}  // namespace celerykeel
