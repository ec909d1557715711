#pragma once

#include <cstdint>   // for uint64_t
#include <optional>  // for std::optional

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The faults that a test has switched on; counts go down as they are
/// used up.
struct EngineFaults {
  uint64_t dying_streams = 0;
  uint64_t die_after = 0;        // events
  bool forgets_request = false;  // a dying stream takes its request with it
  uint64_t torn_streams = 0;
  uint64_t duplicated_events = 0;
  uint64_t lost_answers = 0;  // whole answers
  Duration crossing{};  // every other answer waits so long for a later one
  Duration delay{};     // before a request is looked at
};

/// @brief How one stream is to end early.
struct StreamEnd {
  uint64_t after = 0;    // events
  bool is_torn = false;  // in the middle of the next event
  bool forgets_request = false;
};

/// @brief Takes the fault of a stream that starts now, if one is left.
std::optional<StreamEnd> TakeStreamEnd(EngineFaults& faults);

}  // namespace celerykeel
