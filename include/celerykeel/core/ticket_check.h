#pragma once

#include <string>   // for std::string
#include <variant>  // for std::variant

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/ticket.h"       // for Ticket, TicketNumber

namespace celerykeel {

/// @brief Another ticket already has this number.
struct NumberTaken {
  TicketNumber number = 0;
};

/// @brief The number is at or below the floor. Used numbers up to the floor are
/// no longer stored.
struct NumberTooOld {
  TicketNumber number = 0;
  TicketNumber floor = 0;  // highest refused number
};

/// @brief A ticket with a higher number has already changed an object that this
/// ticket names.
struct StaleTicket {
  std::string field;   // "teams[0]"
  std::string object;  // "team/eidfjord-coop"
  TicketNumber number = 0;
  TicketNumber in_force = 0;  // ticket that last changed the object
};

/// @brief A field references an object that is neither in force nor in the
/// ticket.
struct UnknownReference {
  std::string field;   // "keys[0].team"
  std::string object;  // "team/eidfjord-coop"
};

/// @brief The ticket removes or changes an object that another object still
/// references.
struct StillReferenced {
  std::string field;   // "models[0]"
  std::string object;  // "model/assistant"
  std::string by;      // "endpoint/utne-2"
};

/// @brief A field has an invalid value.
struct InvalidField {
  std::string field;   // "teams[0].rate"
  std::string wanted;  // "a number above 0"
};

/// @brief The ticket names one object twice.
struct NamedTwice {
  std::string field;  // second occurrence
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

/// @brief Checks a ticket against the configuration in force. The fold applies
/// the same check. Returns the first error; the order is fields, number, stale
/// objects, references.
///
///     if (auto checked = CheckTicket(state, ticket); !checked) {
///       puts(RenderRefusal(checked.error()).c_str());
///     }
tl::expected<void, TicketRefusal> CheckTicket(const FleetState& state,
                                              const Ticket& ticket);

/// @brief Runs the checks that need no state: field values, an empty ticket and
/// objects named twice.
tl::expected<void, TicketRefusal> CheckTicketFields(const Ticket& ticket);

/// @brief Returns a human-readable message that includes the next step.
std::string RenderRefusal(const TicketRefusal& refusal);

/// @brief Returns the path of the invalid field, such as "keys[0].team".
std::string FieldOf(const TicketRefusal& refusal);

/// @brief Returns a machine-readable kind, the name of the variant in snake
/// case: "stale_ticket".
std::string KindOf(const TicketRefusal& refusal);

}  // namespace celerykeel
