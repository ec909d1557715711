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
/// @brief Added to kLendFreshness before a new home lends.
inline constexpr Duration kLendMargin = std::chrono::milliseconds(500);

/// @brief The rosters that an instance has seen recently.
struct RosterHistory {
  struct Seen {
    std::shared_ptr<const FleetState> state;
    Duration at{};  // when this roster version was first seen
  };
  std::deque<Seen> seen;  // newest last
};

/// @brief The period in which an instance is the home of a share.
struct HomeTenure {
  Offset roster_version = 0;  // first roster of the period
  Duration acting_from{};     // no previous home lends after this time
};

/// @brief Returns the number of shares into which a team's rate is split.
uint32_t ShareCount(const RateLimits& team);

/// @brief Returns a share's part of its team's rate and burst.
RateLimits ShareLimits(const RateLimits& team);

/// @brief Returns the home of a share, or nothing if the roster is empty.
std::optional<Incarnation> HomeOf(const FleetState& state,
                                  const RateShare& share);

/// @brief Adds a fleet state. A state with the same roster version as the
/// newest entry replaces the state of that entry and keeps its time.
void RecordRoster(RosterHistory& history,
                  std::shared_ptr<const FleetState> state,
                  Duration now);

/// @brief Returns the current period in which `self` is the home of a share, or
/// nothing if it is not the home in the newest roster.
std::optional<HomeTenure> TenureOf(const RosterHistory& history,
                                   const RateShare& share,
                                   Incarnation self);

}  // namespace celerykeel
