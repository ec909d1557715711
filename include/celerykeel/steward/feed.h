#pragma once

#include "celerykeel/steward/control.h"  // for Control, Outbox

namespace celerykeel {

/// @brief What a reader at `offset` needs: records, or a snapshot when they
/// are no longer kept.
pb::FeedUpdate MakeUpdate(const Control& control, Offset offset);

/// @brief Takes a reader's hello and answers with what it lacks.
void OnHello(Control& control,
             const Peer& peer,
             const pb::FeedHello& hello,
             Duration now,
             Outbox& out);

/// @brief Sends every reader what is new to it.
void PushToSubscribers(Control& control, Outbox& out);

/// @brief The same twice each heartbeat, for the lease and the freshness.
void PushIfDue(Control& control, Duration now, Outbox& out);

/// @brief Forgets readers that no longer ask.
void DropSilentSubscribers(Control& control, Duration now);

}  // namespace celerykeel
