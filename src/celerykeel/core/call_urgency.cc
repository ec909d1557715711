#include "celerykeel/core/call_urgency.h"

#include <algorithm>  // for std::lower_bound, std::min

namespace celerykeel {

uint32_t PriorityOf(const CallRoute& route, const DeployedTeam* team) {
  return team == nullptr ? route.priority
                         : team->priority.value_or(route.priority);
}

uint32_t UrgencyOf(const Deployment& deployment,
                   const std::string& service,
                   uint32_t priority,
                   bool begins_program) {
  const auto found = deployment.priorities.find(service);
  if (found == deployment.priorities.end()) {
    return std::min(priority, kMaxUrgency);
  }
  // Two values for each priority in use. With more than five priorities, the
  // least urgent ones share a value.
  const auto& in_use = found->second;
  const auto rank = static_cast<uint32_t>(
      std::lower_bound(in_use.begin(), in_use.end(), priority) -
      in_use.begin());
  return std::min(2 * rank + (begins_program ? 1 : 0), kMaxUrgency);
}

}  // namespace celerykeel
