#pragma once

#include <cstddef>  // for size_t

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Returns how many bytes a link carries in `time`.
/// @param mbps rate of the link in Mbit/s, above 0.
size_t BytesWithin(double mbps, Duration time);

/// @brief Returns how long a link takes for `bytes`; zero if its rate is
/// unknown.
/// @param mbps rate of the link in Mbit/s; 0: unknown.
Duration TransferTime(double mbps, size_t bytes);

}  // namespace celerykeel
