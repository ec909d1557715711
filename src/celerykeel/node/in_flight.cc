#include "celerykeel/node/in_flight.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/zone_traffic.h"  // for RecordServiceCall

namespace celerykeel {

InFlight::InFlight(Node& counting_node,
                   std::string endpoint_id,
                   const std::string& call_service,
                   const std::string& call_team)
    : node(counting_node), endpoint(std::move(endpoint_id)), began_at(Now()) {
  if (this->node.capacity_gates.contains(call_service)) {
    this->service_and_team.emplace(call_service, call_team);
    ++this->node.team_loads[*this->service_and_team];
  }
  if (const auto found = this->node.endpoints.endpoints.find(this->endpoint);
      found != this->node.endpoints.endpoints.end()) {
    ++found->second.in_flight;
  }
}

InFlight::~InFlight() {
  if (this->service_and_team) {
    if (const auto load = this->node.team_loads.find(*this->service_and_team);
        load != this->node.team_loads.end() && --load->second == 0) {
      this->node.team_loads.erase(load);
    }
  }
  if (const auto found = this->node.endpoints.endpoints.find(this->endpoint);
      found != this->node.endpoints.endpoints.end() &&
      found->second.in_flight > 0) {
    --found->second.in_flight;
    if (this->is_sent) {
      RecordServiceCall(this->node.zone_traffic, found->second.entry.service,
                        Now() - this->began_at, this->bytes);
    }
  }
}

}  // namespace celerykeel
