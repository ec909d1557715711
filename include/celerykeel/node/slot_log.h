#pragma once

#include <functional>  // for std::function

#include "celerykeel/node/slot_host.h"  // for HeldSlotPtr

namespace celerykeel {

/// @brief Queues a record for the slot's log. Records that wait go out in one
/// append; one that is not urgent waits a little for others.
void Enqueue(Node& node,
             const HeldSlotPtr& slot,
             SlotRecord record,
             bool urgent,
             std::function<void(bool)> on_end);

/// @brief This instance no longer holds the slot: whatever waits fails.
void LoseSlot(Node& node, const HeldSlotPtr& slot, std::string_view reason);

/// @brief The topic with a partition for each slot.
inline constexpr std::string_view kSlotTopic = "celerykeel.slots";

}  // namespace celerykeel
