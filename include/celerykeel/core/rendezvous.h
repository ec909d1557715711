#pragma once

#include <cstdint>      // for uint32_t
#include <optional>     // for std::optional
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/identity.h"     // for Incarnation, ProgramName

namespace celerykeel {

/// @brief Number of slots. Programs are owned by slot, so that a roster change
/// moves complete slots.
inline constexpr uint32_t kSlots = 4096;

/// @brief Returns the slot of a program. Its sub-agents are in the same slot.
uint32_t SlotOf(const ProgramName& program);

/// @brief Returns the weight of a member for a subject. The member with the
/// highest weight is chosen.
/// @param instance the member's instance name.
uint64_t RendezvousWeight(std::string_view subject, std::string_view instance);

/// @brief Maps a hash to [0, 1].
double FractionOfHash(uint64_t hash);

/// @brief Returns the members of the roster, highest weight for `subject`
/// first.
std::vector<Incarnation> RankMembers(const FleetState& state,
                                     std::string_view subject);

/// @brief Returns the owner of `slot`, or nothing if the roster is empty.
std::optional<Incarnation> OwnerOfSlot(const FleetState& state, uint32_t slot);

/// @brief Returns the owner of `program`, or nothing if the roster is empty.
std::optional<Incarnation> OwnerOf(const FleetState& state,
                                   const ProgramName& program);

}  // namespace celerykeel
