#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/fleet_state.h"   // for FleetState
#include "celerykeel/core/ticket_check.h"  // for TicketRefusal
#include "celerykeel/ctl/fleet_access.h"   // for InstanceStatus
#include "celerykeel/ctl/report.h"         // for Report
#include "celerykeel/ctl/submit.h"         // for SubmitResult
#include "celerykeel/wire/ticket_json.h"   // for TicketJsonError

namespace celerykeel {

/// @brief How far each live instance has folded, and what is in force.
Report ShowStatus(const InstanceStatus& status,
                  const std::vector<MemberProgress>& members);

/// @brief The newest `last` entries of the audit trail, oldest first.
Report ShowAudit(const FleetState& state, size_t last);

/// @brief What became of the ticket with that number.
Report ShowTicket(const FleetState& state, TicketNumber number);

/// @brief A ticket that passed its check.
Report ShowChecked(const Ticket& ticket, bool against_fleet);

/// @brief A ticket that does not parse, or fails its check.
Report ShowRefused(const TicketJsonError& error);
Report ShowRefused(const TicketRefusal& refusal);

/// @brief Adds where the audit trail has a refusal, or that it has not.
Report WithNote(Report report, std::optional<Offset> noted_at);

/// @brief What became of a submission.
Report ShowSubmitted(const Ticket& ticket, const SubmitResult& result);

/// @brief A failure that is no refusal, with what to do next.
Report ShowFailure(int exit_status, std::string kind, std::string sentence);

}  // namespace celerykeel
