#pragma once

#include <functional>  // for std::function

#include "celerykeel/node/slot_host.h"  // for HeldSlotPtr

namespace celerykeel {

/// @brief Queues a record for the slot's log. One append writes all queued
/// records that fit. A record that is not urgent is delayed briefly to share an
/// append with others.
void Enqueue(Node& node,
             const HeldSlotPtr& slot,
             SlotRecord record,
             bool urgent,
             std::function<void(bool)> on_end);

/// @brief Marks the slot as no longer held by this instance, and fails its
/// queued records and uncovered turns.
void MarkSlotLost(Node& node, const HeldSlotPtr& slot, std::string_view reason);

/// @brief The store topic, with one partition for each slot.
inline constexpr std::string_view kSlotTopic = "celerykeel.slots";

}  // namespace celerykeel
