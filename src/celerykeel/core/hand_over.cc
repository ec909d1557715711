#include "celerykeel/core/hand_over.h"

#include <algorithm>  // for std::any_of

namespace celerykeel {

bool ShouldHandOver(std::optional<Duration> append_began,
                    Duration answered_at,
                    std::span<const Duration> peers_appended,
                    Duration now) {
  if (!append_began || now < *append_began + kHandOverAfter) {
    return false;
  }
  if (now < answered_at + kHandOverAfter) {
    return false;  // only the slot's partition fails, for a successor as well
  }
  // The peer's append began after this one.
  return std::any_of(peers_appended.begin(), peers_appended.end(),
                     [&](Duration appended_at) {
                       return appended_at >= *append_began + kQuickAppend;
                     });
}

}  // namespace celerykeel
