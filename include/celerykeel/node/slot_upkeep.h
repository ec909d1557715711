#pragma once

#include "celerykeel/node/asio.h"       // for Task
#include "celerykeel/node/slot_host.h"  // for HeldSlotPtr

namespace celerykeel {

/// @brief True if this instance may act as the slot's holder without asking the
/// store, for example lend from a team's rate: it hears most members, or the
/// store confirmed the slot within kHoldConfirmationTime. Otherwise it may be
/// partitioned, and another instance may have taken the slot. Requests a
/// confirmation in time if it needs one.
bool MayActAsHolder(Node& node, const HeldSlotPtr& slot);

/// @brief Waits for MayActAsHolder, at most for `timeout`, and not while the
/// store is unavailable.
Task<bool> AwaitMayActAsHolder(Node& node, HeldSlotPtr slot, Duration timeout);

/// @brief Appends another claim record to each slot without recent writes. The
/// append succeeds only if no other instance has taken the slot.
void ConfirmSlots(Node& node);

/// @brief Opens the covers of slots that were taken over, and ends covers that
/// are no longer needed; see OpenCover.
void MaintainCovers(Node& node);

/// @brief Gives up slots to which this instance can't write while others can
/// write to theirs; see ShouldHandOver.
void HandOverSlots(Node& node);

/// @brief Ends running turns whose instance is gone or has given up reporting
/// their end, which would hold their programs' budgets for good.
void AbandonTurns(Node& node);

/// @brief Drops expired turns, idle programs and their last endpoints, and the
/// origins of streams that no caller can resume any more.
void ExpireSlots(Node& node);

}  // namespace celerykeel
