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

/// @brief Whether a call that an endpoint may have run may be sent again.
enum class RepeatRule {
  kIdempotent,  // may run any number of times
  kOnce,        // runs at most once for each request
  kStream,      // runs once; a resumable route continues after the last relayed
                // event
};

struct ServiceWeight {
  std::string service;
  double weight = 1;
};

/// @brief A route of the deployment in force.
struct CallRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RepeatRule repeat = RepeatRule::kOnce;
  std::vector<ServiceWeight> services;  // never empty
  Duration timeout{};                   // max time until the complete answer
  Duration target_latency{};
  Duration target_gap{};      // max pause between events, streams only
  uint32_t priority = 0;      // 0 is the most urgent
  uint32_t max_tries = 1;     // max endpoints that a request is sent to
  bool retained = false;      // its turns are stored and can be continued
  Duration retention{};       // time after its end that a turn is stored
  bool open = false;          // needs no key
  bool has_affinity = false;  // calls on an object prefer the same endpoint
  bool resumable = false;
  std::vector<std::string> allowed_regions;  // empty: any
};

/// @brief Capacity of each model engine of a service.
struct EngineTraits {
  uint32_t slots = 0;         // max concurrent calls
  uint64_t cache_tokens = 0;  // shared by the prompt cache and running calls
  uint32_t tokens_per_event = 1;  // generated tokens per event
};

struct DeployedService {
  std::string name;
  std::string health_path;
  uint32_t max_connections = 0;  // per endpoint, from all callers
  std::optional<EngineTraits> engine;
  Duration cold_start{};  // time for which an endpoint is cold after a start
  double cold_per_second = 0;  // calls that a cold endpoint takes; 0: no limit
};

struct DeployedTeam {
  std::string name;
  std::vector<std::string> keys;
  std::optional<uint32_t> priority;          // overrides the route's
  RateLimits limits;                         // rate 0: unlimited
  std::vector<std::string> allowed_regions;  // empty: any
};

/// @brief Limits on the size of a caller's request, on the time for its
/// headers, and on idle time.
struct CallerLimits {
  uint64_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief A complete version of the configuration that operators put in force.
struct Deployment {
  uint64_t version = 0;
  std::vector<CallRoute> routes;
  std::unordered_map<std::string, DeployedService> services;
  std::unordered_map<std::string, DeployedTeam> teams;
  std::unordered_map<std::string, std::string> team_by_key;
  std::unordered_map<std::string, std::vector<size_t>> routes_by_host;
  // Priorities of the routes of each service and of all teams, ascending.
  std::unordered_map<std::string, std::vector<uint32_t>> priorities;
  CallerLimits limits;
};

/// @brief Fills the indexes from `routes` and `teams`.
void IndexDeployment(Deployment& deployment);

/// @brief Finds the route of `host` with the longest matching path prefix;
/// nullptr if there is none.
/// @param host may include a port, which is ignored.
/// @param target path and query.
const CallRoute* MatchRoute(const Deployment& deployment,
                            std::string_view host,
                            std::string_view target);

/// @brief Finds the team of a key; nullptr if there is none.
const DeployedTeam* TeamOfKey(const Deployment& deployment,
                              std::string_view key);

/// @brief Chooses a service of a route in proportion to the weights.
/// @param point in [0, 1); calls with the same point get the same service.
const std::string& ServiceAt(const CallRoute& route, double point);

}  // namespace celerykeel
