#pragma once

#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState, Join
#include "celerykeel/core/time.h"         // for Duration

namespace celerykeel {

/// @brief Max number of witnesses of an instance, including itself.
inline constexpr size_t kMaxWitnesses = 5;

/// @brief Returns the number of witnesses of an instance in a fleet of
/// `instances`: 5 from five instances, 3 from three, otherwise 1. An even
/// number would tolerate no more failures than the odd number below it.
size_t WitnessCountFor(size_t instances);

/// @brief Returns the distinct instance names of the members.
std::set<std::string> MemberNames(const FleetState& state);

/// @brief Chooses witnesses for an instance: itself, then members by rendezvous
/// hash, one per other availability zone in rotation. Members of its own zone
/// come last.
/// @param avoid names of members that did not answer.
std::vector<std::string> ChooseWitnesses(const FleetState& state,
                                         std::string_view instance,
                                         std::string_view availability_zone,
                                         const std::set<std::string>& avoid);

/// @brief Returns true if a member should change its witnesses: their number no
/// longer matches the fleet size, or one more failure would lose the majority.
/// Returns false if too few usable members are available.
/// @param unusable witnesses that refuse to vouch, or have vouched for no
/// heartbeat during one lease duration.
bool NeedsNewWitnesses(const FleetState& state,
                       const Join& own,
                       const std::set<std::string>& unusable);

/// @brief Returns the member that a new Join replaces: an earlier run of this
/// instance, with the same name and steward address. 0 if there is none.
Incarnation FindPredecessor(const FleetState& state, const Join& own);

/// @brief Returns true if a member with another steward address has this name.
/// A second process must not join under the same name.
bool IsNameTaken(const FleetState& state, const Join& own);

}  // namespace celerykeel
