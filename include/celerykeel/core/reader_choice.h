#pragma once

#include "celerykeel/core/slot_table.h"  // for KnownFleet
#include "celerykeel/core/time.h"        // for Duration

namespace celerykeel {

/// @brief So many instances read the store's lists for all; the others hear of
/// changes from them. With three, two may die at once unnoticed.
inline constexpr size_t kReaders = 3;

/// @brief True if this instance is one of the readers, as far as it knows.
/// Instances that differ in this read too much, or hear less for a moment.
bool IsReader(const KnownFleet& fleet, Duration now);

}  // namespace celerykeel
