#include "celerykeel/core/hand_over.h"

#include <algorithm>  // for std::any_of

namespace celerykeel {

bool ShouldHandOver(std::optional<Duration> append_began,
                    std::span<const Duration> peers_appended,
                    Duration now) {
  if (!append_began || now < *append_began + kHandOverAfter) {
    return false;
  }
  // The peer's append began after this one.
  return std::any_of(peers_appended.begin(), peers_appended.end(),
                     [&](Duration appended_at) {
                       return appended_at >= *append_began + kQuickAppend;
                     });
}

}  // namespace celerykeel
