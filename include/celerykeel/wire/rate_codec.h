#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/rate_gate.h"  // for RateGateMessage

namespace celerykeel {

/// @brief A rate message and the incarnation of its sender.
struct RateEnvelope {
  Incarnation from = 0;
  RateGateMessage note;
};

std::string EncodeRateEnvelope(const RateEnvelope& envelope);

/// @brief Decodes a message; returns nullopt if the bytes are invalid or an
/// amount of tokens is negative or not finite.
std::optional<RateEnvelope> DecodeRateEnvelope(std::string_view bytes);

}  // namespace celerykeel
