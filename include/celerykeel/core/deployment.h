#pragma once

#include <cstdint>        // for uint64_t
#include <optional>       // for std::optional
#include <string>         // for std::string
#include <string_view>    // for std::string_view
#include <unordered_map>  // for std::unordered_map
#include <vector>         // for std::vector

#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/core/token_bucket.h"  // for RateLimits

namespace celerykeel {

/// @brief Whether a call may be sent again once an endpoint may have run it.
enum class RepeatRule {
  kIdempotent,  // any number of times
  kOnce,        // at most once for each request
  kStream,      // once, or resumed after the last event if the route allows
};

struct ServiceWeight {
  std::string service;
  double weight = 1;
};

/// @brief One route of the deployment in force.
struct CallRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RepeatRule repeat = RepeatRule::kOnce;
  std::vector<ServiceWeight> services;  // never empty
  Duration timeout{};                   // longest wait for the whole answer
  Duration target_latency{};
  Duration gap_target{};      // longest pause between events, streams only
  uint32_t priority = 0;      // 0 is the most urgent
  uint32_t max_tries = 1;     // endpoints that one request may be sent to
  bool retained = false;      // the history of its turns is kept
  Duration retention{};       // for so long after a turn's end
  bool open = false;          // needs no key
  bool has_affinity = false;  // calls on one object do better on one endpoint
  bool resumable = false;
};

/// @brief What a service's model engines allow.
struct EngineTraits {
  uint32_t slots = 0;             // calls that run at once
  uint64_t cache_tokens = 0;      // prompt cache and running calls together
  uint32_t tokens_per_event = 1;  // generated tokens in one event
};

struct DeployedService {
  std::string name;
  std::string health_path;
  uint32_t max_connections = 0;  // of one endpoint, from all callers
  std::optional<EngineTraits> engine;
};

struct DeployedTeam {
  std::string name;
  std::vector<std::string> keys;
  std::optional<uint32_t> priority;  // goes before the route's
  RateLimits limits;                 // rate 0: unlimited
};

/// @brief What a caller may send, and how long it may take.
struct CallerLimits {
  uint64_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief A whole version of what the operators put in force.
struct Deployment {
  uint64_t version = 0;
  std::vector<CallRoute> routes;
  std::unordered_map<std::string, DeployedService> services;
  std::unordered_map<std::string, DeployedTeam> teams;
  std::unordered_map<std::string, std::string> team_by_key;
  std::unordered_map<std::string, std::vector<size_t>> routes_by_host;
  CallerLimits limits;
};

/// @brief Fills the indexes from `routes` and `teams`.
void IndexDeployment(Deployment& deployment);

/// @brief The route of `host` with the longest prefix of `path`.
/// @param target path and query; the host may carry a port.
const CallRoute* MatchRoute(const Deployment& deployment,
                            std::string_view host,
                            std::string_view target);

/// @brief The team that holds a key; nullptr if none does.
const DeployedTeam* TeamOfKey(const Deployment& deployment,
                              std::string_view key);

/// @brief The service for a call of a route that is split by weight.
/// @param point in [0, 1); calls with the same point get the same service.
const std::string& ServiceAt(const CallRoute& route, double point);

}  // namespace celerykeel
