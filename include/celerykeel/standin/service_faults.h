#pragma once

#include <cstdint>  // for uint64_t

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The faults that a test has switched on; counts go down as they are
/// used up.
struct ServiceFaults {
  Duration delay_before{};  // a call runs so much later
  Duration delay_after{};   // its answer comes so much later
  uint64_t failures = 0;    // calls answered 500 without having run
  uint64_t die_before = 0;  // connections closed before the call ran
  uint64_t die_after = 0;   // connections closed after the call ran
};

}  // namespace celerykeel
