#pragma once

#include "celerykeel/steward/control.h"  // for Control, Outbox

namespace celerykeel {

/// @brief Takes from the fold what became of the instance's own records: its
/// Join, its change of witnesses, its eviction, its Leave.
void TakeOwnRecords(Control& control, Duration now);

/// @brief Appends a Join when the instance is no member and may become one.
void JoinIfDue(Control& control, Duration now, Outbox& out);

/// @brief Starts, appends or gives up a change of the own witnesses.
void ChangeWitnessesIfDue(Control& control, Duration now, Outbox& out);

/// @brief Appends a Leave when a draining instance has nothing left to do.
void LeaveIfDue(Control& control, Duration now, Outbox& out);

/// @brief Appends a snapshot when this instance is the chosen one.
void WriteSnapshotIfDue(Control& control, Duration now, Outbox& out);

/// @brief True if callers may be sent to this instance. Joined alone in a fleet
/// that has witnesses for it, it waits for them: nobody could evict it yet.
bool IsReady(const Control& control, Duration now);

/// @brief What an append of the steward's own came to.
void TakeOwnResult(Control& control,
                   OwnRecord kind,
                   const AppendResult& result,
                   Duration now);

}  // namespace celerykeel
