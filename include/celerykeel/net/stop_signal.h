#pragma once

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Blocks SIGTERM and SIGINT in this thread and those it starts later,
/// and ignores SIGPIPE. Call it first in main.
void BlockStopSignals();

/// @brief Waits for SIGTERM or SIGINT.
/// @return true if one came within `timeout`.
bool WaitForStopSignal(Duration timeout);

}  // namespace celerykeel
