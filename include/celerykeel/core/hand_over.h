#pragma once

#include <optional>  // for std::optional
#include <span>      // for std::span

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief An append that fails for this long is not a single lost answer.
/// The first attempt times out after 1.2 s, and the next one uses a peer.
inline constexpr Duration kHandOverAfter = std::chrono::milliseconds(1500);
/// @brief An append that is answered within this time shows that the store
/// serves others well. Appends take 4 ms, and up to 2 s if the store is slow.
inline constexpr Duration kQuickAppend = std::chrono::milliseconds(400);

/// @brief Decides whether a holder hands its slot over: its append, over peers
/// too, has failed or was not answered for kHandOverAfter, and the store has
/// meanwhile answered an append of a peer quickly. If the store is down or slow
/// for all, a successor could not write either; nor if it serves this instance,
/// but not the slot's partition.
/// @param append_began start of the append that is not acknowledged; nothing if
/// there is none.
/// @param answered_at start of the newest direct call that the store answered.
/// @param peers_appended when each peer in touch last had a quick answer to an
/// append.
bool ShouldHandOver(std::optional<Duration> append_began,
                    Duration answered_at,
                    std::span<const Duration> peers_appended,
                    Duration now);

}  // namespace celerykeel
