#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/rate_gate.h"  // for RateNote

namespace celerykeel {

/// @brief A note with the incarnation that sends it.
struct RateLetter {
  Incarnation from = 0;
  RateNote note;
};

std::string EncodeRateLetter(const RateLetter& letter);

/// @brief Nothing if the bytes do not decode or hold no sensible amounts.
std::optional<RateLetter> DecodeRateLetter(std::string_view bytes);

}  // namespace celerykeel
