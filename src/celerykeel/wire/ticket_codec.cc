#include "celerykeel/wire/fleet_codec.h"

namespace celerykeel {

namespace {

// These fields are 1 by default; proto3 decodes a missing field to 0.
double OneIfZero(double number) {
  return number == 0 ? 1 : number;
}

pb::Team ToProto(const Team& team) {
  pb::Team out;
  out.set_id(team.id);
  out.set_removed(team.removed);
  out.set_rate(team.rate);
  out.set_burst(team.burst);
  out.set_weight(team.weight);
  out.set_profile(team.profile);
  return out;
}

Team FromProto(const pb::Team& in) {
  Team team;
  team.id = in.id();
  team.removed = in.removed();
  team.rate = in.rate();
  team.burst = in.burst();
  team.weight = OneIfZero(in.weight());
  team.profile = in.profile();
  return team;
}

pb::Key ToProto(const Key& key) {
  pb::Key out;
  out.set_id(key.id);
  out.set_removed(key.removed);
  out.set_team(key.team);
  out.set_salt(key.salt);
  out.set_digest(key.digest);
  out.set_withdrawn(key.withdrawn);
  return out;
}

Key FromProto(const pb::Key& in) {
  Key key;
  key.id = in.id();
  key.removed = in.removed();
  key.team = in.team();
  key.salt = in.salt();
  key.digest = in.digest();
  key.withdrawn = in.withdrawn();
  return key;
}

pb::Model ToProto(const Model& model) {
  pb::Model out;
  out.set_id(model.id);
  out.set_removed(model.removed);
  out.set_version(model.version);
  out.set_min_endpoints(model.min_endpoints);
  out.set_weight_bytes(model.weight_bytes);
  return out;
}

Model FromProto(const pb::Model& in) {
  Model model;
  model.id = in.id();
  model.removed = in.removed();
  model.version = in.version();
  model.min_endpoints = in.min_endpoints();
  model.weight_bytes = in.weight_bytes();
  return model;
}

pb::Adapter ToProto(const Adapter& adapter) {
  pb::Adapter out;
  out.set_id(adapter.id);
  out.set_removed(adapter.removed);
  out.set_model(adapter.model);
  out.set_version(adapter.version);
  return out;
}

Adapter FromProto(const pb::Adapter& in) {
  Adapter adapter;
  adapter.id = in.id();
  adapter.removed = in.removed();
  adapter.model = in.model();
  adapter.version = in.version();
  return adapter;
}

pb::EndpointKind ToProto(EndpointKind kind) {
  switch (kind) {
    case EndpointKind::kModelEngine:
      return pb::MODEL_ENGINE;
    case EndpointKind::kPlainService:
      return pb::PLAIN_SERVICE;
    case EndpointKind::kUnspecified:
      break;
  }
  return pb::ENDPOINT_KIND_UNSPECIFIED;
}

EndpointKind FromProto(pb::EndpointKind kind) {
  switch (kind) {
    case pb::MODEL_ENGINE:
      return EndpointKind::kModelEngine;
    case pb::PLAIN_SERVICE:
      return EndpointKind::kPlainService;
    default:
      return EndpointKind::kUnspecified;
  }
}

pb::Endpoint ToProto(const Endpoint& endpoint) {
  pb::Endpoint out;
  out.set_id(endpoint.id);
  out.set_removed(endpoint.removed);
  out.set_kind(ToProto(endpoint.kind));
  out.set_host(endpoint.host);
  out.set_port(endpoint.port);
  out.set_availability_zone(endpoint.availability_zone);
  out.set_model(endpoint.model);
  out.mutable_adapters()->Assign(endpoint.adapters.begin(),
                                 endpoint.adapters.end());
  out.set_service(endpoint.service);
  out.set_slots(endpoint.slots);
  out.set_cache_tokens(endpoint.cache_tokens);
  out.set_state(endpoint.state == EndpointState::kLeaving ? pb::LEAVING
                                                          : pb::ACTIVE);
  out.set_checks_fencing(endpoint.checks_fencing);
  return out;
}

// An unknown state, as of a newer version, decodes to kLeaving. This is the
// safe choice, because the endpoint gets no new work.
Endpoint FromProto(const pb::Endpoint& in) {
  Endpoint endpoint;
  endpoint.id = in.id();
  endpoint.removed = in.removed();
  endpoint.kind = FromProto(in.kind());
  endpoint.host = in.host();
  endpoint.port = in.port();
  endpoint.availability_zone = in.availability_zone();
  endpoint.model = in.model();
  endpoint.adapters.assign(in.adapters().begin(), in.adapters().end());
  endpoint.service = in.service();
  endpoint.slots = in.slots();
  endpoint.cache_tokens = in.cache_tokens();
  endpoint.state = in.state() == pb::ACTIVE ? EndpointState::kActive
                                            : EndpointState::kLeaving;
  endpoint.checks_fencing = in.checks_fencing();
  return endpoint;
}

pb::Route ToProto(const Route& route) {
  pb::Route out;
  out.set_id(route.id);
  out.set_removed(route.removed);
  out.set_service(route.service);
  out.set_path_prefix(route.path_prefix);
  out.set_method(route.method);
  out.set_idempotent(route.idempotent);
  out.set_open_to_all(route.open_to_all);
  out.set_value(route.value);
  return out;
}

Route FromProto(const pb::Route& in) {
  Route route;
  route.id = in.id();
  route.removed = in.removed();
  route.service = in.service();
  route.path_prefix = in.path_prefix();
  route.method = in.method();
  route.idempotent = in.idempotent();
  route.open_to_all = in.open_to_all();
  route.value = OneIfZero(in.value());
  return route;
}

pb::Profile ToProto(const Profile& profile) {
  pb::Profile out;
  out.set_id(profile.id);
  out.set_removed(profile.removed);
  out.set_worst_team_first(profile.worst_team_first);
  out.set_value_weighted(profile.value_weighted);
  out.set_program_latency_weight(profile.program_latency_weight);
  return out;
}

Profile FromProto(const pb::Profile& in) {
  Profile profile;
  profile.id = in.id();
  profile.removed = in.removed();
  profile.worst_team_first = in.worst_team_first();
  profile.value_weighted = in.value_weighted();
  profile.program_latency_weight = OneIfZero(in.program_latency_weight());
  return profile;
}

template <typename T, typename Messages>
void EncodeAll(const std::vector<T>& objects, Messages* out) {
  out->Reserve(static_cast<int>(objects.size()));
  for (const T& object : objects) {
    *out->Add() = ToProto(object);
  }
}

template <typename T, typename Messages>
void TakeAll(const Messages& in, std::vector<T>& objects) {
  objects.reserve(static_cast<size_t>(in.size()));
  for (const auto& message : in) {
    objects.push_back(FromProto(message));
  }
}

}  // namespace

pb::Ticket ToProto(const Ticket& ticket) {
  pb::Ticket out;
  out.set_number(ticket.number);
  out.set_operator_(ticket.operator_name);
  out.set_comment(ticket.comment);
  EncodeAll(ticket.teams, out.mutable_teams());
  EncodeAll(ticket.keys, out.mutable_keys());
  EncodeAll(ticket.models, out.mutable_models());
  EncodeAll(ticket.adapters, out.mutable_adapters());
  EncodeAll(ticket.endpoints, out.mutable_endpoints());
  EncodeAll(ticket.routes, out.mutable_routes());
  EncodeAll(ticket.profiles, out.mutable_profiles());
  return out;
}

Ticket FromProto(const pb::Ticket& in) {
  Ticket ticket;
  ticket.number = in.number();
  ticket.operator_name = in.operator_();
  ticket.comment = in.comment();
  TakeAll(in.teams(), ticket.teams);
  TakeAll(in.keys(), ticket.keys);
  TakeAll(in.models(), ticket.models);
  TakeAll(in.adapters(), ticket.adapters);
  TakeAll(in.endpoints(), ticket.endpoints);
  TakeAll(in.routes(), ticket.routes);
  TakeAll(in.profiles(), ticket.profiles);
  return ticket;
}

}  // namespace celerykeel
