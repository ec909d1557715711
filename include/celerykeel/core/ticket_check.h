#pragma once

#include <string>   // for std::string
#include <variant>  // for std::variant

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/ticket.h"       // for Ticket, TicketNumber

namespace celerykeel {

/// @brief Another ticket has the number.
struct NumberTaken {
  TicketNumber number = 0;
};

/// @brief The number is so old that the numbers beside it are forgotten.
struct NumberTooOld {
  TicketNumber number = 0;
  TicketNumber floor = 0;  // the highest number that is refused
};

/// @brief A newer ticket has already set an object that this one touches.
struct StaleTicket {
  std::string field;   // "teams[0]"
  std::string object;  // "team/eidfjord-coop"
  TicketNumber number = 0;
  TicketNumber in_force = 0;
};

/// @brief A field names an object that is neither in force nor in the ticket.
struct UnknownReference {
  std::string field;   // "keys[0].team"
  std::string object;  // "team/eidfjord-coop"
};

/// @brief The ticket takes away an object that others still name.
struct StillReferenced {
  std::string field;   // "models[0]"
  std::string object;  // "model/assistant"
  std::string by;      // "endpoint/utne-2"
};

/// @brief A value that its field does not take.
struct InvalidField {
  std::string field;   // "teams[0].rate"
  std::string wanted;  // "a number above 0"
};

/// @brief The ticket names one object twice.
struct NamedTwice {
  std::string field;  // of the second time
  std::string object;
};

/// @brief The ticket names no object.
struct EmptyTicket {};

using TicketRefusal = std::variant<NumberTaken,
                                   NumberTooOld,
                                   StaleTicket,
                                   UnknownReference,
                                   StillReferenced,
                                   InvalidField,
                                   NamedTwice,
                                   EmptyTicket>;

/// @brief Checks a ticket against what is in force; the fold applies the same
/// check. The first fault is given: fields, then number, age and references.
///
///     if (auto checked = CheckTicket(state, ticket); !checked) {
///       puts(RenderRefusal(checked.error()).c_str());
///     }
tl::expected<void, TicketRefusal> CheckTicket(const FleetState& state,
                                              const Ticket& ticket);

/// @brief Checks what needs no state: the fields, and objects named twice.
tl::expected<void, TicketRefusal> CheckTicketFields(const Ticket& ticket);

/// @brief A sentence for a person, with what to do next.
std::string RenderRefusal(const TicketRefusal& refusal);

/// @brief The field at fault, such as "keys[0].team".
std::string FieldOf(const TicketRefusal& refusal);

/// @brief The variant's name in snake case, for programs: "stale_ticket".
std::string KindOf(const TicketRefusal& refusal);

}  // namespace celerykeel
