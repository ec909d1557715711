#include "celerykeel/scheduler/choose_endpoint.h"

#include <algorithm>  // for std::find
#include <tuple>      // for std::tie

namespace celerykeel {

namespace {

bool Serves(const Endpoint& endpoint, const CallWork& work) {
  return work.kind == CallKind::kChat
             ? endpoint.kind == EndpointKind::kModelEngine &&
                   endpoint.model == work.model
             : endpoint.kind == EndpointKind::kPlainService &&
                   endpoint.service == work.service;
}

bool IsAvoided(const QueuedCall& call, const std::string& endpoint) {
  return std::find(call.avoid.begin(), call.avoid.end(), endpoint) !=
         call.avoid.end();
}

uint32_t Outstanding(const EndpointLoad& load, const std::string& endpoint) {
  const auto found = load.outstanding.find(endpoint);
  return found == load.outstanding.end() ? 0 : found->second;
}

}  // namespace

tl::expected<EndpointChoice, NoChoice> ChooseEndpoint(const FleetState& view,
                                                      const EndpointLoad& load,
                                                      const QueuedCall& call) {
  EndpointChoice choice;
  NoChoice reason = NoChoice::kUnknown;
  bool is_avoided = true;  // the best so far has failed the call
  double least = 0;
  for (const auto& [id, endpoint] : view.in_force.endpoints) {
    if (!Serves(endpoint, *call.work)) {
      continue;
    }
    if (reason == NoChoice::kUnknown) {
      reason = NoChoice::kLeaving;
    }
    if (endpoint.state == EndpointState::kLeaving) {
      continue;
    }
    const double cost = Outstanding(load, id);
    const bool avoided = IsAvoided(call, id);
    choice.alternatives.push_back({id, cost, avoided});
    const bool is_better =
        std::tie(avoided, cost) < std::tie(is_avoided, least);
    if (choice.endpoint.empty() || is_better) {
      choice.endpoint = id;
      is_avoided = avoided;
      least = cost;
    }
  }
  if (choice.endpoint.empty()) {
    return tl::unexpected(reason);
  }
  return choice;
}

}  // namespace celerykeel
