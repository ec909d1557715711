#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/ticket.h"  // for Ticket

namespace celerykeel {

enum class TicketJsonFault { kNotJson, kUnknownField, kInvalidValue };

/// @brief The reason why a text is not a valid ticket.
struct TicketJsonError {
  TicketJsonFault fault = TicketJsonFault::kNotJson;
  std::string field;   // "teams[0].rate"; empty for kNotJson
  std::string detail;  // what was found there
};

/// @brief Parses a ticket that an operator wrote, in the JSON form of
/// pb::Ticket.
///
///     ParseTicketJson(R"({"number": 7, "teams": [{"id": "coop"}]})");
tl::expected<Ticket, TicketJsonError> ParseTicketJson(std::string_view text);

/// @brief Renders a ticket as indented JSON that ParseTicketJson accepts.
std::string TicketToJson(const Ticket& ticket);

/// @brief Renders the error as a readable sentence with the next step.
std::string RenderError(const TicketJsonError& error);

}  // namespace celerykeel
