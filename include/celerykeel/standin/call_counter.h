#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

namespace celerykeel {

/// @brief How often each call ran, by its id, and by path where it has none.
struct CallCounter {
  std::map<std::string, uint64_t, std::less<>> calls;
};

/// @brief Counts one run of a call.
/// @return how often it has run now.
uint64_t CountCall(CallCounter& counter, std::string_view id);

}  // namespace celerykeel
