#pragma once

#include <cstddef>  // for size_t

#include "celerykeel/core/fleet_state.h"  // for FleetState, FleetRecord

namespace celerykeel {

inline constexpr size_t kMaxAuditEntries = 1000;
inline constexpr size_t kMaxTicketNumbers = 10'000;

/// @brief Folds one record into the state. Deterministic: the same records in
/// the same order give the same state on every instance. Skips a record at or
/// below `state.offset`. A rejected record (a stale ticket, a repeated Join)
/// changes only the audit trail.
///
/// A Snapshot folded into an empty state (`offset` 0) restores the state:
/// `state.offset` becomes the offset of the snapshot, not that of its record,
/// and the caller continues with the records after `state.offset`. In any other
/// state a snapshot only advances the offset.
/// @return the audit entry that was added, or null for a skipped record or a
/// snapshot. The pointer is valid until the next call.
const AuditEntry* Fold(FleetState& state,
                       Offset offset,
                       const FleetRecord& record);

}  // namespace celerykeel
