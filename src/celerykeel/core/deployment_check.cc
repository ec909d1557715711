#include "celerykeel/core/deployment_check.h"

#include <algorithm>  // for std::any_of, std::all_of
#include <map>        // for std::map
#include <set>        // for std::set
#include <utility>    // for std::pair

#include "celerykeel/core/millis.h"  // for Millis

namespace celerykeel {

namespace {

constexpr uint32_t kLastPriority = 9;  // of calls at endpoints

std::string PlaceOf(const char* list, const std::string& name) {
  return std::string(list) + " \"" + name + "\"";
}

// Restrictions of a route and of a team bind together.
bool HasCommonRegion(const std::vector<std::string>& first,
                     const std::vector<std::string>& second) {
  return first.empty() || second.empty() ||
         std::any_of(first.begin(), first.end(), [&](const std::string& one) {
           return std::find(second.begin(), second.end(), one) != second.end();
         });
}

struct Findings {
  std::vector<DeploymentFinding> list;

  void Add(FindingKind kind, const std::string& place, std::string text) {
    this->list.push_back({kind, place, std::move(text)});
  }
};

void CheckRouteTarget(const Deployment& deployment,
                      const CallRoute& route,
                      const std::string& place,
                      Findings& findings) {
  for (const ServiceWeight& weight : route.services) {
    if (!deployment.services.contains(weight.service)) {
      findings.Add(FindingKind::kInvalid, place,
                   "the service \"" + weight.service + "\" does not exist");
    }
  }
  if (std::all_of(route.services.begin(), route.services.end(),
                  [](const ServiceWeight& one) { return one.weight <= 0; })) {
    findings.Add(FindingKind::kInvalid, place, "no service has a weight");
  }
}

void CheckRouteLimits(const Deployment& deployment,
                      const CallRoute& route,
                      uint64_t record_bytes,
                      const std::string& place,
                      Findings& findings) {
  if (route.timeout < route.target_latency) {
    findings.Add(FindingKind::kContradiction, place,
                 "the timeout of " + std::to_string(Millis(route.timeout)) +
                     " ms is below the latency target of " +
                     std::to_string(Millis(route.target_latency)) + " ms");
  }
  if (route.priority > kLastPriority) {
    findings.Add(FindingKind::kInvalid, place,
                 "the priority " + std::to_string(route.priority) +
                     " is above the last one, 9");
  }
  if (!route.retained) {
    return;
  }
  if (route.repeat != RepeatRule::kStream) {
    findings.Add(FindingKind::kContradiction, place,
                 "only turns of streaming routes are retained");
  }
  if (route.retention <= Duration::zero()) {
    findings.Add(FindingKind::kContradiction, place,
                 "its turns are retained for 0 s");
  }
  if (deployment.limits.body_bytes > record_bytes) {
    findings.Add(FindingKind::kContradiction, place,
                 "bodies of up to " +
                     std::to_string(deployment.limits.body_bytes) +
                     " bytes are allowed, but a retained turn must fit into a "
                     "record of the store, " +
                     std::to_string(record_bytes) + " bytes");
  }
}

void CheckRoutes(const Deployment& deployment,
                 uint64_t record_bytes,
                 Findings& findings) {
  std::map<std::pair<std::string, std::string>, std::string> matched_by;
  std::set<std::string> names;
  for (const CallRoute& route : deployment.routes) {
    const std::string place = PlaceOf("routes", route.name);
    if (!names.insert(route.name).second) {
      findings.Add(FindingKind::kInvalid, place, "the name is used twice");
    }
    if (route.host.empty() || !route.path_prefix.starts_with('/') ||
        !route.path_prefix.ends_with('/')) {
      findings.Add(FindingKind::kNeverMatches, place,
                   "it needs a host, and a path prefix that begins and ends "
                   "with a slash");
    }
    const auto [first, is_new] =
        matched_by.try_emplace({route.host, route.path_prefix}, route.name);
    if (!is_new) {
      findings.Add(FindingKind::kNeverMatches, place,
                   "the route \"" + first->second +
                       "\" before it has the same host and path prefix");
    }
    CheckRouteTarget(deployment, route, place, findings);
    CheckRouteLimits(deployment, route, record_bytes, place, findings);
  }
}

// The regions of all routes that need a key; without one, any.
struct RoutesWithKey {
  bool exist = false;
  bool any_region = false;
  std::set<std::string> regions;
};

RoutesWithKey FindRoutesWithKey(const Deployment& deployment) {
  RoutesWithKey routes;
  for (const CallRoute& route : deployment.routes) {
    if (!route.open) {
      routes.exist = true;
      routes.any_region = routes.any_region || route.allowed_regions.empty();
      routes.regions.insert(route.allowed_regions.begin(),
                            route.allowed_regions.end());
    }
  }
  return routes;
}

void CheckTeams(const Deployment& deployment, Findings& findings) {
  const RoutesWithKey routes = FindRoutesWithKey(deployment);
  const std::vector<std::string> regions(routes.regions.begin(),
                                         routes.regions.end());
  const std::map<std::string, DeployedTeam> sorted(deployment.teams.begin(),
                                                   deployment.teams.end());
  std::map<std::string, std::string> team_by_key;
  for (const auto& [name, team] : sorted) {
    const std::string place = PlaceOf("teams", name);
    if (team.keys.empty()) {
      findings.Add(FindingKind::kNeverMatches, place, "it has no key");
    }
    for (const std::string& key : team.keys) {
      const auto [first, is_new] = team_by_key.try_emplace(key, name);
      if (!is_new) {  // the key itself is a secret
        findings.Add(FindingKind::kInvalid, place,
                     "a key is used twice, also by \"" + first->second + "\"");
      }
    }
    if (!routes.exist) {
      findings.Add(FindingKind::kNeverMatches, place,
                   "no route needs a key, so its limits bind no call");
    } else if (!routes.any_region &&
               !HasCommonRegion(regions, team.allowed_regions)) {
      findings.Add(FindingKind::kNeverMatches, place,
                   "no route allows any of its regions");
    }
    if (team.limits.rate > 0 && team.limits.burst < 1) {
      findings.Add(FindingKind::kContradiction, place,
                   "a burst below 1 call admits none of its rate");
    }
    if (team.limits.rate <= 0 && team.limits.burst > 0) {
      findings.Add(FindingKind::kContradiction, place,
                   "a burst without a rate has no effect");
    }
  }
}

void CheckServices(const Deployment& deployment, Findings& findings) {
  std::set<std::string> used;
  for (const CallRoute& route : deployment.routes) {
    for (const ServiceWeight& weight : route.services) {
      used.insert(weight.service);
    }
  }
  const std::map<std::string, DeployedService> sorted(
      deployment.services.begin(), deployment.services.end());
  for (const auto& [name, service] : sorted) {
    const std::string place = PlaceOf("services", name);
    if (!used.contains(name)) {
      findings.Add(FindingKind::kNeverMatches, place, "no route uses it");
    }
    if (service.max_connections == 0) {
      findings.Add(FindingKind::kContradiction, place,
                   "its endpoints take no connection");
    }
    if (service.engine && service.engine->slots == 0) {
      findings.Add(FindingKind::kContradiction, place,
                   "its engines have no slot");
    }
  }
}

void CheckCallerLimits(const CallerLimits& limits, Findings& findings) {
  if (limits.header_timeout <= Duration::zero() ||
      limits.idle_timeout <= Duration::zero()) {
    findings.Add(FindingKind::kContradiction, "limits",
                 "a timeout of 0 closes each connection at once");
  }
  if (limits.header_bytes == 0) {
    findings.Add(FindingKind::kContradiction, "limits",
                 "headers of 0 bytes admit no request");
  }
}

}  // namespace

std::vector<DeploymentFinding> CheckDeployment(const Deployment& deployment,
                                               uint64_t record_bytes) {
  Findings findings;
  CheckRoutes(deployment, record_bytes, findings);
  CheckTeams(deployment, findings);
  CheckServices(deployment, findings);
  CheckCallerLimits(deployment.limits, findings);
  return std::move(findings.list);
}

}  // namespace celerykeel
