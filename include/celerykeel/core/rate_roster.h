#pragma once

#include <deque>     // for std::deque
#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/rate_home.h"    // for RateShare
#include "celerykeel/core/time.h"         // for Duration

namespace celerykeel {

/// @brief A home lends only while its state of the fleet is younger than this.
inline constexpr Duration kLendFreshness = std::chrono::seconds(4);
inline constexpr Duration kLendMargin = std::chrono::milliseconds(500);

/// @brief The rosters that a gate has seen of late.
struct RosterHistory {
  struct Seen {
    std::shared_ptr<const FleetState> state;
    Duration at{};
  };
  std::deque<Seen> seen;  // the newest last
};

/// @brief Since when a gate has been the home of a share.
struct HomeEra {
  Offset roster_version = 0;
  Duration acting_from{};  // by then no earlier home lends
};

/// @brief Shares into which a team's rate is split.
uint32_t ShareCount(const RateLimits& team);

/// @brief A share's part of its team's rate and burst.
RateLimits ShareLimits(const RateLimits& team);

/// @brief The member that lends from a share, if the roster has any.
std::optional<Incarnation> HomeOf(const FleetState& state,
                                  const RateShare& share);

/// @brief Notes a view; the same roster again changes nothing.
void NoteRoster(RosterHistory& history,
                std::shared_ptr<const FleetState> state,
                Duration now);

/// @brief Nothing if `self` is not the home by the newest roster.
std::optional<HomeEra> EraOf(const RosterHistory& history,
                             const RateShare& share,
                             Incarnation self);

}  // namespace celerykeel
