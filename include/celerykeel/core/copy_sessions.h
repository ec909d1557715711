#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Instances to which this one gives its copy of the configuration, by
/// the time of their last request for a piece.
struct CopySessions {
  std::map<std::string, Duration, std::less<>> last_asked;
};

/// @brief Instances that a peer gives the configuration to at a time. With a
/// link of 22 Mbit/s and a configuration of 400 KB, three take half a second;
/// those that are refused ask peers that have it since.
inline constexpr size_t kMaxCopySessions = 3;
/// @brief A copy without a request for this long has ended or was given up.
inline constexpr Duration kCopySessionTimeout = std::chrono::milliseconds(300);

/// @brief Decides whether an instance gets a piece. A copy that has begun goes
/// on.
bool MayCopy(CopySessions& sessions, std::string_view instance, Duration now);

/// @brief The instance got the last piece.
void EndCopy(CopySessions& sessions, std::string_view instance);

}  // namespace celerykeel
