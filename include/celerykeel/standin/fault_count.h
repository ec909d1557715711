#pragma once

#include <cstdint>  // for uint64_t

namespace celerykeel {

/// @brief Takes one from a count of faults; false if none is left.
inline bool TakeOne(uint64_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace celerykeel
