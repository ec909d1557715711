#pragma once

#include <concepts>     // for std::same_as
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/fleet_state.h"  // for Configuration
#include "celerykeel/core/ticket.h"       // for Ticket, Team, Key

namespace celerykeel {

/// @brief One kind of object: its name, and the members that hold it in a
/// ticket and in the configuration.
template <typename T>
struct ObjectKind {
  std::string_view name;   // "team"
  std::string_view field;  // "teams"
  std::vector<T> Ticket::*in_ticket;
  std::map<std::string, T> Configuration::*in_force;
};

inline constexpr ObjectKind<Team> kTeams{"team", "teams", &Ticket::teams,
                                         &Configuration::teams};
inline constexpr ObjectKind<Key> kKeys{"key", "keys", &Ticket::keys,
                                       &Configuration::keys};
inline constexpr ObjectKind<Model> kModels{"model", "models", &Ticket::models,
                                           &Configuration::models};
inline constexpr ObjectKind<Adapter> kAdapters{
    "adapter", "adapters", &Ticket::adapters, &Configuration::adapters};
inline constexpr ObjectKind<Endpoint> kEndpoints{
    "endpoint", "endpoints", &Ticket::endpoints, &Configuration::endpoints};
inline constexpr ObjectKind<Route> kRoutes{"route", "routes", &Ticket::routes,
                                           &Configuration::routes};
inline constexpr ObjectKind<Profile> kProfiles{
    "profile", "profiles", &Ticket::profiles, &Configuration::profiles};

/// @brief Calls `visit` with each kind of object. Referenced kinds come before
/// the kinds that reference them.
template <typename Visit>
void ForEachKind(Visit&& visit) {
  visit(kProfiles);
  visit(kTeams);
  visit(kKeys);
  visit(kModels);
  visit(kAdapters);
  visit(kEndpoints);
  visit(kRoutes);
}

/// @brief Returns the name of an object in the audit trail and in
/// FleetState::applied.
///
///     ObjectName("team", "eidfjord-coop");  // "team/eidfjord-coop"
std::string ObjectName(std::string_view kind, std::string_view id);

/// @brief Returns the path of a field in the JSON form of a ticket.
///
///     FieldPath("keys", 0, "team");  // "keys[0].team"
///     FieldPath("keys", 0);          // "keys[0]"
std::string FieldPath(std::string_view list,
                      size_t index,
                      std::string_view member = {});

}  // namespace celerykeel
