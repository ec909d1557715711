#include "celerykeel/core/deployment.h"

#include <map>  // for std::map
#include <set>  // for std::set

namespace celerykeel {

namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

void IndexPriorities(Deployment& deployment) {
  std::set<uint32_t> of_teams;
  for (const auto& [name, team] : deployment.teams) {
    if (team.priority) {
      of_teams.insert(*team.priority);
    }
  }
  std::map<std::string, std::set<uint32_t>> in_use;
  for (const CallRoute& route : deployment.routes) {
    for (const ServiceWeight& weight : route.services) {
      in_use[weight.service].insert(route.priority);
    }
  }
  for (auto& [service, priorities] : in_use) {
    priorities.insert(of_teams.begin(), of_teams.end());
    deployment.priorities[service].assign(priorities.begin(), priorities.end());
  }
}

}  // namespace

void IndexDeployment(Deployment& deployment) {
  deployment.routes_by_host.clear();
  deployment.team_by_key.clear();
  deployment.priorities.clear();
  for (size_t i = 0; i < deployment.routes.size(); ++i) {
    deployment.routes_by_host[deployment.routes[i].host].push_back(i);
  }
  IndexPriorities(deployment);
  for (const auto& [name, team] : deployment.teams) {
    for (const std::string& key : team.keys) {
      deployment.team_by_key[key] = name;
    }
  }
}

const CallRoute* MatchRoute(const Deployment& deployment,
                            std::string_view host,
                            std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const auto found =
      deployment.routes_by_host.find(std::string(WithoutPort(host)));
  if (found == deployment.routes_by_host.end()) {
    return nullptr;
  }
  const CallRoute* best = nullptr;
  for (const size_t index : found->second) {
    const CallRoute& route = deployment.routes[index];
    if (path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const DeployedTeam* TeamOfKey(const Deployment& deployment,
                              std::string_view key) {
  const auto name = deployment.team_by_key.find(std::string(key));
  if (name == deployment.team_by_key.end()) {
    return nullptr;
  }
  const auto team = deployment.teams.find(name->second);
  return team == deployment.teams.end() ? nullptr : &team->second;
}

const std::string& ServiceAt(const CallRoute& route, double point) {
  double total = 0;
  for (const ServiceWeight& share : route.services) {
    total += share.weight;
  }
  double left = point * total;
  for (const ServiceWeight& share : route.services) {
    left -= share.weight;
    if (left < 0 && share.weight > 0) {
      return share.service;
    }
  }
  return route.services.front().service;
}

}  // namespace celerykeel
