#pragma once

#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState, Join
#include "celerykeel/core/time.h"         // for Duration

namespace celerykeel {

/// @brief Most witnesses that an instance has, itself among them.
inline constexpr size_t kMaxWitnesses = 5;

/// @brief How many witnesses an instance wants in a fleet of `instances`. The
/// number is odd: one more would add no failure that can be borne.
size_t WantedWitnesses(size_t instances);

/// @brief Names of the members, each once.
std::set<std::string> MemberNames(const FleetState& state);

/// @brief Chooses witnesses for an instance: itself, then members by rendezvous
/// hash, one of each other availability zone in turn, its own zone last.
/// @param avoid names that did not answer.
std::vector<std::string> ChooseWitnesses(const FleetState& state,
                                         std::string_view instance,
                                         std::string_view availability_zone,
                                         const std::set<std::string>& avoid);

/// @brief True if a member should take other witnesses: their
/// number no longer fits the fleet, or none of them may fail any more, and
/// enough others can be had.
/// @param unusable witnesses that refuse to vouch, or did not for a lease.
bool WantsNewWitnesses(const FleetState& state,
                       const Join& own,
                       const std::set<std::string>& unusable);

/// @brief The member of the same name that a new Join replaces: an earlier run
/// of this instance, at the same address. 0 if there is none.
Incarnation FindPredecessor(const FleetState& state, const Join& own);

/// @brief True if another member has this name at another address. A second
/// process must not join under it.
bool IsNameTaken(const FleetState& state, const Join& own);

}  // namespace celerykeel
