#include "celerykeel/core/ticket_check.h"

#include <algorithm>      // for std::find
#include <optional>       // for std::optional
#include <string_view>    // for std::string_view
#include <unordered_map>  // for std::unordered_map

#include "celerykeel/core/ticket_objects.h"  // for ForEachKind, FieldPath

namespace celerykeel {

namespace {

using MaybeRefusal = std::optional<TicketRefusal>;

// View of the objects of one kind with the ticket applied. The configuration is
// not copied, because it may hold tens of thousands of teams.
template <typename T>
class After {
 public:
  After(const ObjectKind<T>& kind,
        const Configuration& configuration,
        const Ticket& ticket)
      : in_force(configuration.*kind.in_force) {
    for (const T& object : ticket.*kind.in_ticket) {
      this->in_ticket.emplace(object.id, &object);
    }
  }

  const T* Find(const std::string& id) const {
    if (const auto named = this->in_ticket.find(id);
        named != this->in_ticket.end()) {
      return named->second->removed ? nullptr : named->second;
    }
    const auto found = this->in_force.find(id);
    return found == this->in_force.end() ? nullptr : &found->second;
  }

  // Calls `visit` with each object that the ticket does not name.
  template <typename Visit>
  void ForEachNotInTicket(Visit&& visit) const {
    for (const auto& [id, object] : this->in_force) {
      if (!this->in_ticket.contains(id)) {
        visit(object);
      }
    }
  }

  template <typename Wanted>
  bool Any(Wanted&& wanted) const {
    for (const auto& [id, object] : this->in_ticket) {
      if (!object->removed && wanted(*object)) {
        return true;
      }
    }
    bool any = false;
    this->ForEachNotInTicket(
        [&](const T& object) { any = any || wanted(object); });
    return any;
  }

  bool RemovesAny() const {
    return std::any_of(this->in_ticket.begin(), this->in_ticket.end(),
                       [](const auto& entry) { return entry.second->removed; });
  }

 private:
  const std::map<std::string, T>& in_force;
  std::unordered_map<std::string_view, const T*> in_ticket;
};

struct ConfigurationAfterTicket {
  ConfigurationAfterTicket(const Configuration& configuration,
                           const Ticket& given_ticket)
      : ticket(given_ticket),
        profiles(kProfiles, configuration, given_ticket),
        teams(kTeams, configuration, given_ticket),
        keys(kKeys, configuration, given_ticket),
        models(kModels, configuration, given_ticket),
        adapters(kAdapters, configuration, given_ticket),
        endpoints(kEndpoints, configuration, given_ticket) {}

  const Ticket& ticket;
  After<Profile> profiles;
  After<Team> teams;
  After<Key> keys;
  After<Model> models;
  After<Adapter> adapters;
  After<Endpoint> endpoints;
};

// A reference to an object that does not exist or lacks a required property.
struct MissingReference {
  std::string member;
  std::string object;
  std::string detail;  // required property, appended to the name
};

using MaybeMissingReference = std::optional<MissingReference>;

MaybeMissingReference FindMissing(const ConfigurationAfterTicket&,
                                  const Profile&) {
  return std::nullopt;
}

MaybeMissingReference FindMissing(const ConfigurationAfterTicket&,
                                  const Model&) {
  return std::nullopt;
}

MaybeMissingReference FindMissing(const ConfigurationAfterTicket& after,
                                  const Team& team) {
  if (!team.profile.empty() && !after.profiles.Find(team.profile)) {
    return MissingReference{"profile", ObjectName(kProfiles.name, team.profile),
                            ""};
  }
  return std::nullopt;
}

MaybeMissingReference FindMissing(const ConfigurationAfterTicket& after,
                                  const Key& key) {
  if (!after.teams.Find(key.team)) {
    return MissingReference{"team", ObjectName(kTeams.name, key.team), ""};
  }
  return std::nullopt;
}

MaybeMissingReference FindMissing(const ConfigurationAfterTicket& after,
                                  const Adapter& adapter) {
  if (!after.models.Find(adapter.model)) {
    return MissingReference{"model", ObjectName(kModels.name, adapter.model),
                            ""};
  }
  return std::nullopt;
}

// An engine serves only adapters of the model that it runs.
MaybeMissingReference FindMissing(const ConfigurationAfterTicket& after,
                                  const Endpoint& endpoint) {
  if (endpoint.kind != EndpointKind::kModelEngine) {
    return std::nullopt;
  }
  if (!after.models.Find(endpoint.model)) {
    return MissingReference{"model", ObjectName(kModels.name, endpoint.model),
                            ""};
  }
  size_t index = 0;
  for (const std::string& id : endpoint.adapters) {
    const Adapter* const adapter = after.adapters.Find(id);
    if (adapter == nullptr || adapter->model != endpoint.model) {
      return MissingReference{
          FieldPath("adapters", index), ObjectName(kAdapters.name, id),
          " of " + ObjectName(kModels.name, endpoint.model)};
    }
    ++index;
  }
  return std::nullopt;
}

MaybeMissingReference FindMissing(const ConfigurationAfterTicket& after,
                                  const Route& route) {
  if (!after.endpoints.Any([&](const Endpoint& endpoint) {
        return endpoint.service == route.service;
      })) {
    return MissingReference{"service", "service/" + route.service, ""};
  }
  return std::nullopt;
}

template <typename T>
MaybeRefusal FindUnknown(const ObjectKind<T>& kind,
                         const Configuration& in_force,
                         const ConfigurationAfterTicket& after) {
  size_t index = 0;
  for (const T& object : after.ticket.*kind.in_ticket) {
    if (object.removed) {
      if (!(in_force.*kind.in_force).contains(object.id)) {
        return UnknownReference{FieldPath(kind.field, index, "id"),
                                ObjectName(kind.name, object.id)};
      }
    } else if (const MaybeMissingReference missing =
                   FindMissing(after, object)) {
      return UnknownReference{FieldPath(kind.field, index, missing->member),
                              missing->object + missing->detail};
    }
    ++index;
  }
  return std::nullopt;
}

// Returns the path of the ticket's entry for the missing object, or of the list
// of its kind if the ticket has no such entry.
template <typename T>
std::string FindEntryPath(const ObjectKind<T>& kind,
                          const Ticket& ticket,
                          std::string_view object) {
  size_t index = 0;
  for (const T& named : ticket.*kind.in_ticket) {
    if (object == ObjectName(kind.name, named.id)) {
      return FieldPath(kind.field, index);
    }
    ++index;
  }
  return std::string(kind.field);
}

template <typename T, typename Named>
MaybeRefusal FindRemovedReference(const ObjectKind<T>& kind,
                                  const After<T>& objects,
                                  const ObjectKind<Named>& named,
                                  const ConfigurationAfterTicket& after) {
  MaybeRefusal found;
  objects.ForEachNotInTicket([&](const T& object) {
    if (const MaybeMissingReference missing = FindMissing(after, object);
        missing && !found &&
        missing->object.starts_with(std::string(named.name) + "/")) {
      found =
          StillReferenced{FindEntryPath(named, after.ticket, missing->object),
                          missing->object, ObjectName(kind.name, object.id)};
    }
  });
  return found;
}

// An object outside the ticket can only lose a referenced object if the ticket
// removes an object or changes the model of an adapter.
MaybeRefusal FindStillReferenced(const ConfigurationAfterTicket& after) {
  MaybeRefusal found;
  if (after.profiles.RemovesAny()) {
    found = FindRemovedReference(kTeams, after.teams, kProfiles, after);
  }
  if (!found && after.teams.RemovesAny()) {
    found = FindRemovedReference(kKeys, after.keys, kTeams, after);
  }
  if (!found && after.models.RemovesAny()) {
    found = FindRemovedReference(kAdapters, after.adapters, kModels, after);
  }
  if (!found && after.models.RemovesAny()) {
    found = FindRemovedReference(kEndpoints, after.endpoints, kModels, after);
  }
  if (!found && !after.ticket.adapters.empty()) {
    found = FindRemovedReference(kEndpoints, after.endpoints, kAdapters, after);
  }
  return found;
}

template <typename T>
MaybeRefusal FindStale(const ObjectKind<T>& kind,
                       const FleetState& state,
                       const Ticket& ticket) {
  size_t index = 0;
  for (const T& object : ticket.*kind.in_ticket) {
    const std::string name = ObjectName(kind.name, object.id);
    if (const auto found = state.applied.find(name);
        found != state.applied.end() && found->second.number > ticket.number) {
      return StaleTicket{FieldPath(kind.field, index), name, ticket.number,
                         found->second.number};
    }
    ++index;
  }
  return std::nullopt;
}

MaybeRefusal FindNumberFault(const FleetState& state, const Ticket& ticket) {
  if (ticket.number <= state.number_floor) {
    return NumberTooOld{ticket.number, state.number_floor};
  }
  if (state.numbers.contains(ticket.number)) {
    return NumberTaken{ticket.number};
  }
  return std::nullopt;
}

}  // namespace

tl::expected<void, TicketRefusal> CheckTicket(const FleetState& state,
                                              const Ticket& ticket) {
  if (auto fields = CheckTicketFields(ticket); !fields) {
    return fields;
  }
  MaybeRefusal found = FindNumberFault(state, ticket);
  ForEachKind([&](const auto& kind) {
    if (!found) {
      found = FindStale(kind, state, ticket);
    }
  });
  const ConfigurationAfterTicket after(state.in_force, ticket);
  ForEachKind([&](const auto& kind) {
    if (!found) {
      found = FindUnknown(kind, state.in_force, after);
    }
  });
  if (!found) {
    found = FindStillReferenced(after);
  }
  if (found) {
    return tl::unexpected(*found);
  }
  return {};
}

}  // namespace celerykeel
