#include "celerykeel/node/capacity.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"         // for Now, WallNow
#include "celerykeel/core/call_urgency.h"  // for PriorityOf
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/rates.h"         // for MayBeInProgress

namespace celerykeel {

namespace {

constexpr int kUnavailable = 503;
constexpr Duration kLogInterval = std::chrono::seconds(1);

bool TakesCalls(const Node& node, const EndpointStatus& endpoint) {
  return AcceptsCalls(node.endpoints, endpoint) && !endpoint.lapsed_at &&
         endpoint.avoid_until <= Now();
}

std::map<std::string, ServiceLoad> LoadsOfEngines(const Node& node) {
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [name, service] : node.deployment->services) {
    if (service.engine) {
      loads[name];
    }
  }
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    const auto load = loads.find(endpoint.entry.service);
    if (load != loads.end() && TakesCalls(node, endpoint)) {
      load->second.slots += endpoint.entry.slots;
      load->second.in_flight +=
          endpoint.in_flight + endpoint.in_flight_from_peers;
    }
  }
  const auto add = [&loads](const TeamLoads& team_loads) {
    for (const auto& [key, in_flight] : team_loads) {
      if (const auto load = loads.find(key.first); load != loads.end()) {
        load->second.by_team[key.second] += in_flight;
      }
    }
  };
  add(node.team_loads);
  for (const auto& [instance, state] : node.peer_states) {
    add(state.team_loads);
  }
  return loads;
}

uint32_t MostUrgent(const Deployment& deployment, const std::string& service) {
  const auto found = deployment.priorities.find(service);
  return found == deployment.priorities.end() ? 0 : found->second.front();
}

}  // namespace

void UpdateCapacity(Node& node) {
  if (node.deployment == nullptr) {
    return;
  }
  std::map<std::string, ServiceLoad> loads = LoadsOfEngines(node);
  std::erase_if(node.capacity_gates, [&](const auto& entry) {
    return !loads.contains(entry.first);
  });
  for (auto& [service, load] : loads) {
    CapacityGate& gate = node.capacity_gates[service];
    const bool was_full = gate.is_full;
    UpdateGate(gate, std::move(load), Now());
    if (gate.is_full != was_full) {
      WriteLog(node.log, LogLevel::kUnusual,
               gate.is_full ? "service full" : "service no longer full",
               {{"service", service},
                {"slots", static_cast<uint64_t>(gate.load.slots)},
                {"in_flight", static_cast<uint64_t>(gate.load.in_flight)}});
    }
  }
}

bool NeedsTeamLoads(const Node& node, const std::string& service) {
  const auto gate = node.capacity_gates.find(service);
  return gate != node.capacity_gates.end() && MayRefuseSoon(gate->second);
}

Task<std::optional<CallRefusal>> RefusalIfServiceFull(Node& node,
                                                      CallPtr call) {
  const auto gate = node.capacity_gates.find(call->service);
  if (gate == node.capacity_gates.end() || gate->second.share >= 1) {
    co_return std::nullopt;
  }
  const uint64_t hash =
      HashOfProgram(call->team->name, call->request.header_values.program);
  const auto told = RefuseIfFull(
      gate->second,
      {.team = call->team->name,
       .hash = hash,
       .priority = PriorityOf(*call->route, call->team),
       .most_urgent = MostUrgent(*call->deployment, call->service)},
      WallNow());
  if (!told) {
    Count(node.metrics.programs, "outcome", "admitted by the service");
    co_return std::nullopt;
  }
  const bool in_progress =
      co_await MayBeInProgress(node, call->team->name, hash);
  if (in_progress) {
    co_return std::nullopt;
  }
  Count(node.metrics.programs, "outcome", "held back by the service");
  FullServiceLog& log = node.full_service_logs[call->team->name];
  ++log.held_back;
  if (const Duration now = Now(); now >= log.logged_at + kLogInterval) {
    WriteLog(node.log, LogLevel::kUnusual, "programs held back",
             {{"team", call->team->name},
              {"service", call->service},
              {"held_back", log.held_back},
              {"told_ms", *told}});
    log = {.logged_at = now};
  }
  co_return CallRefusal{kUnavailable, "not run: the service is full", *told};
}

}  // namespace celerykeel
