#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/ticket.h"  // for Ticket

namespace celerykeel {

enum class TicketJsonFault { kNotJson, kUnknownField, kInvalidValue };

/// @brief Why a text is no ticket.
struct TicketJsonError {
  TicketJsonFault fault = TicketJsonFault::kNotJson;
  std::string field;   // "teams[0].rate"; empty for kNotJson
  std::string detail;  // what was found there
};

/// @brief Reads a ticket as operators write it: the JSON form of pb::Ticket.
///
///     ParseTicketJson(R"({"number": 7, "teams": [{"id": "coop"}]})");
tl::expected<Ticket, TicketJsonError> ParseTicketJson(std::string_view text);

/// @brief A ticket as JSON that ParseTicketJson reads, on several lines.
std::string TicketToJson(const Ticket& ticket);

/// @brief A sentence for a person, with what to do next.
std::string RenderError(const TicketJsonError& error);

}  // namespace celerykeel
