#pragma once

#include "celerykeel/core/slot_table.h"  // for KnownFleet
#include "celerykeel/core/time.h"        // for Duration

namespace celerykeel {

/// @brief Number of instances that read the store's list of endpoints and
/// forward changes to the others. With three, two may fail at once without
/// effect.
inline constexpr size_t kReaderCount = 3;

/// @brief True if this instance is one of the readers, by its view of the
/// fleet. Where views differ, there may be more readers than needed, or so
/// few that updates are missing for a short time.
bool IsReader(const KnownFleet& fleet, Duration now);

}  // namespace celerykeel
