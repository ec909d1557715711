#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <string>   // for std::string
#include <vector>   // for std::vector

#include "celerykeel/core/identity.h"  // for TicketNumber

namespace celerykeel {

/// @brief A paying tenant.
struct Team {
  std::string id;
  bool removed = false;
  double rate = 0;    // requests per second, fleet-wide
  double burst = 0;   // requests
  double weight = 1;  // share of service under contention
  std::string profile;

  friend bool operator==(const Team&, const Team&) = default;
};

/// @brief A caller's key: its public id and a salted digest of its full text.
struct Key {
  std::string id;
  bool removed = false;
  std::string team;
  std::string salt;    // hex
  std::string digest;  // hex, SHA-256 over the salt's bytes and the key's text
  bool withdrawn = false;  // calls with the key are refused

  friend bool operator==(const Key&, const Key&) = default;
};

struct Model {
  std::string id;
  bool removed = false;
  std::string version;
  uint32_t min_endpoints = 0;  // min admitted during an upgrade
  uint64_t weight_bytes = 0;

  friend bool operator==(const Model&, const Model&) = default;
};

struct Adapter {
  std::string id;
  bool removed = false;
  std::string model;
  std::string version;

  friend bool operator==(const Adapter&, const Adapter&) = default;
};

enum class EndpointKind { kUnspecified, kModelEngine, kPlainService };
enum class EndpointState { kActive, kLeaving };

/// @brief A server behind the system: a model engine or a plain service.
struct Endpoint {
  std::string id;
  bool removed = false;
  EndpointKind kind = EndpointKind::kUnspecified;
  std::string host;  // IPv4 address
  uint32_t port = 0;
  std::string availability_zone;
  std::string model;                  // engines only
  std::vector<std::string> adapters;  // engines only
  std::string service;                // plain services only
  uint32_t slots = 0;                 // max concurrent requests
  uint64_t cache_tokens = 0;
  EndpointState state = EndpointState::kActive;
  bool checks_fencing = false;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// @brief A kind of request that callers may send to a plain service. The route
/// with the longest matching prefix applies.
struct Route {
  std::string id;
  bool removed = false;
  std::string service;
  std::string path_prefix;  // starts with '/'
  std::string method;       // empty: any method
  bool idempotent = false;
  bool open_to_all = false;
  double value = 1;  // value of one recorded action

  friend bool operator==(const Route&, const Route&) = default;
};

/// @brief The scheduler's objectives for a team, with their weights.
struct Profile {
  std::string id;
  bool removed = false;
  bool worst_team_first = false;
  bool value_weighted = false;
  double program_latency_weight = 1;

  friend bool operator==(const Profile&, const Profile&) = default;
};

/// @brief A change of the configuration: the complete new state of each object
/// that the ticket names.
struct Ticket {
  TicketNumber number = 0;
  std::string operator_name;
  std::string comment;
  std::vector<Team> teams;
  std::vector<Key> keys;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<Endpoint> endpoints;
  std::vector<Route> routes;
  std::vector<Profile> profiles;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

}  // namespace celerykeel
