#pragma once

#include <cstdint>  // for uint32_t
#include <string>   // for std::string

#include "celerykeel/core/deployment.h"  // for Deployment

namespace celerykeel {

/// @brief Lowest urgency that endpoints know; 0 is the most urgent.
inline constexpr uint32_t kMaxUrgency = 9;

/// @brief Returns the priority of a call: its team's, else its route's.
uint32_t PriorityOf(const CallRoute& route, const DeployedTeam* team);

/// @brief Returns the urgency of a call for its endpoint, which runs more
/// urgent calls first and may preempt less urgent ones. A preempted run is read
/// in again, so a program's first call is less urgent than the later calls of
/// programs of the same priority.
/// @param priority see PriorityOf.
uint32_t UrgencyOf(const Deployment& deployment,
                   const std::string& service,
                   uint32_t priority,
                   bool begins_program);

}  // namespace celerykeel
