#include <algorithm>  // for std::find
#include <map>        // for std::map

#include "celerykeel/core/deployment_check.h"
#include "celerykeel/core/millis.h"  // for Millis

namespace celerykeel {

namespace {

std::string Number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

struct Changes {
  std::vector<DeploymentChange> list;

  void Add(const std::string& place, std::string text) {
    this->list.push_back({place, std::move(text)});
  }

  void AddIfChanged(const std::string& place,
                    const std::string& what,
                    const std::string& before,
                    const std::string& after) {
    if (before != after) {
      this->Add(place, what + ": " + before + " -> " + after);
    }
  }
};

std::string TextOf(const std::vector<ServiceWeight>& services) {
  std::string text;
  for (const ServiceWeight& one : services) {
    text +=
        (text.empty() ? "" : ", ") + one.service + " x " + Number(one.weight);
  }
  return text;
}

std::string TextOf(const std::vector<std::string>& regions) {
  std::string text;
  for (const std::string& region : regions) {
    text += (text.empty() ? "" : ", ") + region;
  }
  return text.empty() ? "any" : text;
}

std::string TextOf(RepeatRule rule) {
  switch (rule) {
    case RepeatRule::kIdempotent:
      return "idempotent";
    case RepeatRule::kOnce:
      return "runs once";
    case RepeatRule::kStream:
      return "stream";
  }
  return "";
}

std::string TextOf(bool flag) {
  return flag ? "yes" : "no";
}

std::string TextOf(Duration duration) {
  return std::to_string(Millis(duration)) + " ms";
}

void CompareRoute(const CallRoute& before,
                  const CallRoute& after,
                  const std::string& place,
                  Changes& changes) {
  changes.AddIfChanged(place, "host", before.host, after.host);
  changes.AddIfChanged(place, "path prefix", before.path_prefix,
                       after.path_prefix);
  changes.AddIfChanged(place, "services", TextOf(before.services),
                       TextOf(after.services));
  changes.AddIfChanged(place, "kind", TextOf(before.repeat),
                       TextOf(after.repeat));
  changes.AddIfChanged(place, "timeout", TextOf(before.timeout),
                       TextOf(after.timeout));
  changes.AddIfChanged(place, "latency target", TextOf(before.target_latency),
                       TextOf(after.target_latency));
  changes.AddIfChanged(place, "gap target", TextOf(before.target_gap),
                       TextOf(after.target_gap));
  changes.AddIfChanged(place, "priority", std::to_string(before.priority),
                       std::to_string(after.priority));
  changes.AddIfChanged(place, "endpoints tried at most",
                       std::to_string(before.max_tries),
                       std::to_string(after.max_tries));
  changes.AddIfChanged(place, "turns retained", TextOf(before.retained),
                       TextOf(after.retained));
  changes.AddIfChanged(place, "retention", TextOf(before.retention),
                       TextOf(after.retention));
  changes.AddIfChanged(place, "open to all", TextOf(before.open),
                       TextOf(after.open));
  changes.AddIfChanged(place, "same endpoint preferred",
                       TextOf(before.has_affinity), TextOf(after.has_affinity));
  changes.AddIfChanged(place, "resumable", TextOf(before.resumable),
                       TextOf(after.resumable));
  changes.AddIfChanged(place, "regions", TextOf(before.allowed_regions),
                       TextOf(after.allowed_regions));
}

size_t CountMissing(const std::vector<std::string>& keys,
                    const std::vector<std::string>& in) {
  size_t missing = 0;
  for (const std::string& key : keys) {
    missing += std::find(in.begin(), in.end(), key) == in.end() ? 1 : 0;
  }
  return missing;
}

void CompareTeam(const DeployedTeam& before,
                 const DeployedTeam& after,
                 const std::string& place,
                 Changes& changes) {
  if (const size_t withdrawn = CountMissing(before.keys, after.keys)) {
    changes.Add(place, std::to_string(withdrawn) + " of its " +
                           std::to_string(before.keys.size()) +
                           " keys are withdrawn");
  }
  if (const size_t added = CountMissing(after.keys, before.keys)) {
    changes.Add(place, std::to_string(added) + " keys are added");
  }
  changes.AddIfChanged(place, "rate", Number(before.limits.rate) + "/s",
                       Number(after.limits.rate) + "/s");
  changes.AddIfChanged(place, "burst", Number(before.limits.burst),
                       Number(after.limits.burst));
  const auto priority = [](const DeployedTeam& team) {
    return team.priority ? std::to_string(*team.priority) : "the route's";
  };
  changes.AddIfChanged(place, "priority", priority(before), priority(after));
  changes.AddIfChanged(place, "regions", TextOf(before.allowed_regions),
                       TextOf(after.allowed_regions));
}

void CompareService(const DeployedService& before,
                    const DeployedService& after,
                    const std::string& place,
                    Changes& changes) {
  changes.AddIfChanged(place, "connections per endpoint",
                       std::to_string(before.max_connections),
                       std::to_string(after.max_connections));
  const auto slots = [](const DeployedService& service) {
    return service.engine ? std::to_string(service.engine->slots) : "no engine";
  };
  changes.AddIfChanged(place, "slots", slots(before), slots(after));
  changes.AddIfChanged(place, "rate of cold endpoints",
                       Number(before.cold_per_second) + "/s",
                       Number(after.cold_per_second) + "/s");
}

// Compares the entries of both versions by name, in the order of the names.
template <typename Entry, typename Compare>
void CompareEntries(const char* list,
                    const std::map<std::string, Entry>& before,
                    const std::map<std::string, Entry>& after,
                    Changes& changes,
                    Compare compare) {
  const auto place = [list](const std::string& name) {
    return std::string(list) + " \"" + name + "\"";
  };
  for (const auto& [name, entry] : before) {
    if (const auto found = after.find(name); found == after.end()) {
      changes.Add(place(name), "removed");
    } else {
      compare(entry, found->second, place(name), changes);
    }
  }
  for (const auto& [name, entry] : after) {
    if (!before.contains(name)) {
      changes.Add(place(name), "added");
    }
  }
}

// Of routes with the same name, the first one.
std::map<std::string, CallRoute> RoutesByName(const Deployment& deployment) {
  std::map<std::string, CallRoute> routes;
  for (const CallRoute& route : deployment.routes) {
    routes.try_emplace(route.name, route);
  }
  return routes;
}

}  // namespace

std::vector<DeploymentChange> CompareDeployments(const Deployment& before,
                                                 const Deployment& after) {
  Changes changes;
  if (after.version <= before.version) {
    changes.Add("version", std::to_string(after.version) +
                               " is not above the other one, " +
                               std::to_string(before.version) +
                               ", and would not come into force");
  }
  CompareEntries("routes", RoutesByName(before), RoutesByName(after), changes,
                 CompareRoute);
  CompareEntries("teams",
                 std::map<std::string, DeployedTeam>(before.teams.begin(),
                                                     before.teams.end()),
                 std::map<std::string, DeployedTeam>(after.teams.begin(),
                                                     after.teams.end()),
                 changes, CompareTeam);
  CompareEntries("services",
                 std::map<std::string, DeployedService>(before.services.begin(),
                                                        before.services.end()),
                 std::map<std::string, DeployedService>(after.services.begin(),
                                                        after.services.end()),
                 changes, CompareService);
  changes.AddIfChanged("limits", "header bytes",
                       std::to_string(before.limits.header_bytes),
                       std::to_string(after.limits.header_bytes));
  changes.AddIfChanged("limits", "body bytes",
                       std::to_string(before.limits.body_bytes),
                       std::to_string(after.limits.body_bytes));
  changes.AddIfChanged("limits", "header timeout",
                       TextOf(before.limits.header_timeout),
                       TextOf(after.limits.header_timeout));
  changes.AddIfChanged("limits", "idle timeout",
                       TextOf(before.limits.idle_timeout),
                       TextOf(after.limits.idle_timeout));
  return std::move(changes.list);
}

}  // namespace celerykeel
