#pragma once

#include <string_view>  // for std::string_view

#include "celerykeel/steward/control.h"  // for Control, Outbox

namespace celerykeel {

/// @brief Takes a message of another steward.
void OnPeerMessage(Control& control,
                   const Peer& peer,
                   const pb::PeerMessage& message,
                   Duration now,
                   Outbox& out);

/// @brief Asks the witnesses to vouch, once each heartbeat.
void SendHeartbeatsIfDue(Control& control, Duration now, Outbox& out);

/// @brief Asks the other witnesses of a silent member for their word, and
/// appends its eviction once most gave it.
void EvictSilentMembers(Control& control, Duration now, Outbox& out);

/// @brief Asks the seed peers for the state while the log was never read.
void AskSeedsIfDue(Control& control, Duration now, Outbox& out);

/// @brief Works out the lease and the freshness from the vouches.
void UpdateLease(Control& control);

}  // namespace celerykeel
