#pragma once

#include <cstddef>  // for size_t

#include "celerykeel/core/fleet_state.h"  // for FleetState, FleetRecord

namespace celerykeel {

inline constexpr size_t kAuditEntriesKept = 1000;
inline constexpr size_t kTicketNumbersKept = 10'000;

/// @brief Folds one record into the state. The same records in the same order
/// give the same state everywhere; a record at or below `state.offset` is
/// skipped. A record that loses (a stale ticket, a repeated Join) changes
/// nothing but the audit trail.
///
/// A Snapshot folded into an empty state (`offset` 0) restores it: the state
/// then stands at the snapshot's own offset, not at the record's, and the
/// records after `state.offset` come next. Folded into any other state, a
/// snapshot only moves the offset.
/// @return the audit entry that was added, or null for a skipped record or a
/// snapshot; it holds until the next call.
const AuditEntry* Fold(FleetState& state,
                       Offset offset,
                       const FleetRecord& record);

}  // namespace celerykeel
