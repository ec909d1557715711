#pragma once

#include <functional>  // for std::function
#include <optional>    // for std::optional
#include <string>      // for std::string
#include <variant>     // for std::variant
#include <vector>      // for std::vector

#include "celerykeel/core/ticket.h"        // for Ticket
#include "celerykeel/core/ticket_check.h"  // for TicketRefusal
#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/ctl/fleet_access.h"   // for InstanceStatus
#include "celerykeel/net/feed_client.h"    // for AppendResult

namespace celerykeel {

/// @brief How a submission reaches the fleet and the clock. A request is given
/// up after the time it is given.
struct SubmitAccess {
  std::function<std::optional<InstanceStatus>(Duration limit)> status;
  std::function<std::vector<MemberProgress>(const InstanceStatus&)> progress;
  std::function<AppendResult(std::string record, Duration limit)> append;
  std::function<Duration()> now;
  std::function<void(Duration)> pause;
};

struct SubmitOptions {
  bool check_first = true;
  bool wait_for_all = false;
  Duration timeout = std::chrono::seconds(5);
};

/// @brief The ticket is in force from `offset` on.
struct SubmitAccepted {
  Offset offset = 0;
  bool already = false;  // it was in force before this submission
  std::vector<MemberProgress> members;  // with wait_for_all
  std::vector<std::string> missing;     // instances that have not folded it
};

/// @brief Refused before the ticket was appended.
struct SubmitRefused {
  TicketRefusal refusal;
  std::optional<Offset> noted_at;  // in the audit trail
};

/// @brief Appended, and refused by the fold.
struct SubmitRefusedByFleet {
  AuditEntry entry;
};

enum class SubmitFault {
  kNoSteward,    // no answer from the feed
  kNotAppended,  // the log did not take it: nothing has changed
  kUnknown,      // it may be in the log
  kVerdictLate,  // it is in the log, but was not folded in time
};

struct SubmitFailed {
  SubmitFault fault = SubmitFault::kNoSteward;
  Offset offset = 0;  // with kVerdictLate
};

using SubmitResult = std::
    variant<SubmitAccepted, SubmitRefused, SubmitRefusedByFleet, SubmitFailed>;

/// @brief Appends a ticket and finds the fold's verdict in the audit trail. An
/// append whose answer was lost is looked for before it is tried again.
SubmitResult SubmitTicket(const Ticket& ticket,
                          const SubmitOptions& options,
                          const SubmitAccess& access);

/// @brief Puts a refused ticket into the audit trail, by one attempt.
/// @return its offset, or nothing if the log did not confirm it.
std::optional<Offset> NoteRefusal(RefusedTicket refused,
                                  const SubmitAccess& access,
                                  Duration limit);

/// @brief The accepted entry of exactly this ticket, if there is one: its
/// number, and the content of all that it still has in force.
const AuditEntry* FindAccepted(const FleetState& state, const Ticket& ticket);

}  // namespace celerykeel
