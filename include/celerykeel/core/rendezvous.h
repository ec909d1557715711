#pragma once

#include <cstdint>      // for uint32_t
#include <optional>     // for std::optional
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/identity.h"     // for Incarnation, ProgramName

namespace celerykeel {

/// @brief Programs are owned by slot, so that a change of the roster moves
/// whole slots.
inline constexpr uint32_t kSlots = 4096;

/// @brief Slot of a program; a program and its sub-agents share one.
uint32_t SlotOf(const ProgramName& program);

/// @brief Weight of a member for a subject; the highest wins.
uint64_t RendezvousWeight(std::string_view subject, std::string_view instance);

/// @brief Members of the roster, highest weight for `subject` first.
std::vector<Incarnation> RankMembers(const FleetState& state,
                                     std::string_view subject);

/// @brief The member that owns `slot`, if the roster has any.
std::optional<Incarnation> OwnerOfSlot(const FleetState& state, uint32_t slot);

/// @brief The member that owns `program`.
std::optional<Incarnation> OwnerOf(const FleetState& state,
                                   const ProgramName& program);

}  // namespace celerykeel
