#include "celerykeel/core/ticket_check.h"

#include <doctest/doctest.h>

#include <limits>  // for std::numeric_limits

#include "celerykeel/core/fold.h"  // for Fold

namespace celerykeel {
namespace {

Team TeamOf(std::string id) {
  Team team;
  team.id = std::move(id);
  team.rate = 5;
  team.burst = 10;
  return team;
}

Key KeyOf(std::string id, std::string team) {
  Key key;
  key.id = std::move(id);
  key.team = std::move(team);
  key.salt = std::string(32, 'a');
  key.digest = std::string(64, 'b');
  return key;
}

Model ModelOf(std::string id) {
  Model model;
  model.id = std::move(id);
  model.version = "3";
  return model;
}

Adapter AdapterOf(std::string id, std::string model) {
  Adapter adapter;
  adapter.id = std::move(id);
  adapter.model = std::move(model);
  adapter.version = "1";
  return adapter;
}

Endpoint EngineOf(std::string id, std::string model) {
  Endpoint endpoint;
  endpoint.id = std::move(id);
  endpoint.kind = EndpointKind::kModelEngine;
  endpoint.host = "10.0.0.1";
  endpoint.port = 8000;
  endpoint.availability_zone = "utne";
  endpoint.model = std::move(model);
  endpoint.slots = 4;
  return endpoint;
}

Endpoint ServiceOf(std::string id, std::string service) {
  Endpoint endpoint = EngineOf(std::move(id), "");
  endpoint.kind = EndpointKind::kPlainService;
  endpoint.service = std::move(service);
  return endpoint;
}

Route RouteOf(std::string id, std::string service) {
  Route route;
  route.id = std::move(id);
  route.service = std::move(service);
  route.path_prefix = "/slots";
  return route;
}

// Ticket 1: objects of each kind, with references between them.
Ticket Whole() {
  Ticket ticket;
  ticket.number = 1;
  Profile profile;
  profile.id = "harvest";
  ticket.profiles = {profile};
  ticket.teams = {TeamOf("coop")};
  ticket.teams[0].profile = "harvest";
  ticket.keys = {KeyOf("k1", "coop")};
  ticket.models = {ModelOf("assistant")};
  ticket.adapters = {AdapterOf("fruit", "assistant")};
  ticket.endpoints = {EngineOf("e1", "assistant"), ServiceOf("s1", "booking")};
  ticket.endpoints[0].adapters = {"fruit"};
  ticket.routes = {RouteOf("r1", "booking")};
  return ticket;
}

FleetState StateWithAllKinds() {
  FleetState state;
  REQUIRE(Fold(state, 1, Whole())->accepted);
  return state;
}

Ticket Next() {
  Ticket ticket;
  ticket.number = 2;
  return ticket;
}

// Checks that the ticket is rejected with `kind` at `field`.
void CheckRefused(const Ticket& ticket,
                  std::string_view kind,
                  std::string_view field) {
  const auto checked = CheckTicket(StateWithAllKinds(), ticket);
  REQUIRE_FALSE(checked.has_value());
  CHECK(KindOf(checked.error()) == kind);
  CHECK(FieldOf(checked.error()) == field);
  CHECK_FALSE(RenderRefusal(checked.error()).empty());
}

TEST_CASE("a ticket may reference objects that it adds") {
  CHECK(CheckTicket({}, Whole()).has_value());
}

TEST_CASE(
    "a reference to an unknown object is rejected with the path of its field") {
  Ticket ticket = Next();
  SUBCASE("key") {
    ticket.keys = {KeyOf("k2", "coop"), KeyOf("k3", "nobody")};
    CheckRefused(ticket, "unknown_reference", "keys[1].team");
  }
  SUBCASE("team") {
    ticket.teams = {TeamOf("orchard")};
    ticket.teams[0].profile = "none";
    CheckRefused(ticket, "unknown_reference", "teams[0].profile");
  }
  SUBCASE("adapter") {
    ticket.adapters = {AdapterOf("pallet", "none")};
    CheckRefused(ticket, "unknown_reference", "adapters[0].model");
  }
  SUBCASE("endpoint") {
    ticket.endpoints = {EngineOf("e2", "none")};
    CheckRefused(ticket, "unknown_reference", "endpoints[0].model");
  }
  SUBCASE("adapter of another model") {
    ticket.models = {ModelOf("small")};
    ticket.endpoints = {EngineOf("e2", "small")};
    ticket.endpoints[0].adapters = {"fruit"};
    CheckRefused(ticket, "unknown_reference", "endpoints[0].adapters[0]");
  }
  SUBCASE("route") {
    ticket.routes = {RouteOf("r2", "payout")};
    CheckRefused(ticket, "unknown_reference", "routes[0].service");
  }
  SUBCASE("removal of an unknown object") {
    ticket.keys = {KeyOf("k9", "coop")};
    ticket.keys[0].removed = true;
    CheckRefused(ticket, "unknown_reference", "keys[0].id");
  }
}

TEST_CASE("a ticket cannot remove or change an object that others depend on") {
  Ticket ticket = Next();
  SUBCASE("a team with a key") {
    ticket.teams = {TeamOf("coop")};
    ticket.teams[0].removed = true;
    CheckRefused(ticket, "still_referenced", "teams[0]");
    ticket.keys = {KeyOf("k1", "coop")};
    ticket.keys[0].removed = true;
    CHECK(CheckTicket(StateWithAllKinds(), ticket).has_value());
  }
  SUBCASE("a profile of a team") {
    Profile profile;
    profile.id = "harvest";
    profile.removed = true;
    ticket.profiles = {profile};
    CheckRefused(ticket, "still_referenced", "profiles[0]");
  }
  SUBCASE("a model of an adapter and an engine") {
    ticket.models = {ModelOf("assistant")};
    ticket.models[0].removed = true;
    CheckRefused(ticket, "still_referenced", "models[0]");
  }
  SUBCASE("an adapter of an engine") {
    ticket.adapters = {AdapterOf("fruit", "assistant")};
    ticket.adapters[0].removed = true;
    CheckRefused(ticket, "still_referenced", "adapters[0]");
  }
  SUBCASE("an adapter that changes its model") {
    ticket.models = {ModelOf("small")};
    ticket.adapters = {AdapterOf("fruit", "small")};
    CheckRefused(ticket, "still_referenced", "adapters[0]");
  }
}

struct FieldFault {
  std::string_view field;
  void (*damage)(Ticket&);
};

TEST_CASE("an invalid field value is rejected with the path of the field") {
  const FieldFault faults[] = {
      {"number", [](Ticket& ticket) { ticket.number = 0; }},
      {"teams[0].rate", [](Ticket& ticket) { ticket.teams[0].rate = 0; }},
      {"teams[0].rate",
       [](Ticket& ticket) {
         ticket.teams[0].rate = std::numeric_limits<double>::quiet_NaN();
       }},
      {"teams[0].burst", [](Ticket& ticket) { ticket.teams[0].burst = 0.5; }},
      {"teams[0].weight", [](Ticket& ticket) { ticket.teams[0].weight = -1; }},
      {"teams[0].id", [](Ticket& ticket) { ticket.teams[0].id = "two words"; }},
      {"keys[0].digest",
       [](Ticket& ticket) { ticket.keys[0].digest = "secret"; }},
      {"keys[0].salt", [](Ticket& ticket) { ticket.keys[0].salt = ""; }},
      {"models[0].version",
       [](Ticket& ticket) { ticket.models[0].version = ""; }},
      {"endpoints[1].kind",
       [](Ticket& ticket) {
         ticket.endpoints[1].kind = EndpointKind::kUnspecified;
       }},
      {"endpoints[0].host",
       [](Ticket& ticket) { ticket.endpoints[0].host = "engine.example"; }},
      {"endpoints[0].port",
       [](Ticket& ticket) { ticket.endpoints[0].port = 65'536; }},
      {"endpoints[0].slots",
       [](Ticket& ticket) { ticket.endpoints[0].slots = 0; }},
      {"endpoints[0].service",
       [](Ticket& ticket) { ticket.endpoints[0].service = "booking"; }},
      {"endpoints[1].model",
       [](Ticket& ticket) { ticket.endpoints[1].model = "assistant"; }},
      {"routes[0].pathPrefix",
       [](Ticket& ticket) { ticket.routes[0].path_prefix = "slots"; }},
      {"routes[0].method",
       [](Ticket& ticket) { ticket.routes[0].method = "post"; }},
      {"profiles[0].programLatencyWeight",
       [](Ticket& ticket) { ticket.profiles[0].program_latency_weight = -2; }},
  };
  for (const auto& [field, damage] : faults) {
    Ticket ticket = Whole();
    ticket.number = 2;
    damage(ticket);
    CheckRefused(ticket, "invalid_field", field);
  }
}

TEST_CASE(
    "an empty ticket and a ticket that names an object twice are rejected") {
  CheckRefused(Next(), "empty_ticket", "");
  Ticket twice = Next();
  twice.teams = {TeamOf("coop"), TeamOf("orchard"), TeamOf("coop")};
  CheckRefused(twice, "named_twice", "teams[2]");
}

TEST_CASE("only the id of a removed object is checked") {
  Ticket ticket = Next();
  Key key;
  key.id = "k1";
  key.removed = true;
  ticket.keys = {key};
  CHECK(CheckTicket(StateWithAllKinds(), ticket).has_value());
}

TEST_CASE(
    "a stale ticket is rejected with the number that last changed the object") {
  FleetState state = StateWithAllKinds();
  Ticket later;
  later.number = 9;
  later.teams = {TeamOf("coop")};
  REQUIRE(Fold(state, 2, later)->accepted);
  later.number = 5;
  const auto checked = CheckTicket(state, later);
  REQUIRE_FALSE(checked.has_value());
  REQUIRE(std::holds_alternative<StaleTicket>(checked.error()));
  CHECK(std::get<StaleTicket>(checked.error()).in_force == 9);
  CHECK(std::get<StaleTicket>(checked.error()).object == "team/coop");
}

}  // namespace
}  // namespace celerykeel
