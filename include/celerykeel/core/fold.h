#pragma once

#include "celerykeel/core/fleet_state.h"  // for FleetState, FleetRecord

namespace celerykeel {

inline constexpr size_t kAuditEntriesKept = 1000;
inline constexpr size_t kTicketNumbersKept = 100'000;

/// @brief Folds one record into the state. The same records in the same order
/// give the same state everywhere; a record at or below `state.offset` is
/// skipped. A record that loses (a stale ticket, a repeated Join) changes
/// nothing but the audit trail.
/// @return the audit entry that was added, or null for a skipped record.
const AuditEntry* Fold(FleetState& state,
                       Offset offset,
                       const FleetRecord& record);

}  // namespace celerykeel
