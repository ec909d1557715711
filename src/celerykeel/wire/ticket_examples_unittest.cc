// Checks that an empty fleet accepts the tickets under examples/tickets/, and
// the zones, endpoints and teams that they define.
#include <doctest/doctest.h>

#include <map>     // for std::map
#include <set>     // for std::set
#include <string>  // for std::string

#include "celerykeel/core/fold.h"            // for Fold
#include "celerykeel/testing/source_tree.h"  // for SourcePath
#include "celerykeel/wire/ticket_json.h"     // for ParseTicketJson

namespace celerykeel {
namespace {

Configuration InForce(std::string_view file) {
  const auto path = SourcePath("examples/tickets/" + std::string(file));
  REQUIRE_FALSE(path.empty());
  const auto ticket = ParseTicketJson(ReadWholeFile(path));
  REQUIRE(ticket.has_value());
  FleetState state;
  const AuditEntry* const entry = Fold(state, 1, *ticket);
  REQUIRE(entry != nullptr);
  CHECK_MESSAGE(entry->accepted, entry->reason);
  return state.in_force;
}

std::set<std::string> ZonesOf(const Configuration& in_force) {
  std::set<std::string> zones;
  for (const auto& [id, endpoint] : in_force.endpoints) {
    zones.insert(endpoint.availability_zone);
  }
  return zones;
}

std::map<EndpointKind, int> CountKinds(const Configuration& in_force) {
  std::map<EndpointKind, int> counts;
  for (const auto& [id, endpoint] : in_force.endpoints) {
    ++counts[endpoint.kind];
  }
  return counts;
}

// Only GET routes are idempotent, and only idempotent routes are open to all.
// Calls of routes that move goods or money may not be repeated.
void CheckRoutes(const Configuration& in_force) {
  for (const auto& entry : in_force.routes) {
    const Route& route = entry.second;
    CAPTURE(route.id);
    CHECK(route.idempotent == (route.method == "GET"));
    CHECK((!route.open_to_all || route.idempotent));
  }
}

TEST_CASE("an empty fleet accepts hardangersaft.json") {
  const Configuration in_force = InForce("hardangersaft.json");
  CHECK(ZonesOf(in_force) ==
        std::set<std::string>{"eidfjord", "jondal", "kinsarvik", "utne"});
  CHECK(CountKinds(in_force)[EndpointKind::kModelEngine] == 12);
  CHECK(CountKinds(in_force)[EndpointKind::kPlainService] == 4);
  CHECK(in_force.teams.size() == 8);
  CheckRoutes(in_force);
}

TEST_CASE("an empty fleet accepts oglje.json") {
  const Configuration in_force = InForce("oglje.json");
  CHECK(ZonesOf(in_force) ==
        std::set<std::string>{"kranj-c", "lju-a", "lju-b"});
  CHECK(CountKinds(in_force)[EndpointKind::kModelEngine] == 9);
  CHECK(CountKinds(in_force)[EndpointKind::kPlainService] == 3);
  CHECK(in_force.teams.size() == 8);
  CheckRoutes(in_force);
}

TEST_CASE("an empty fleet accepts demo.json") {
  const Configuration in_force = InForce("demo.json");
  CHECK(CountKinds(in_force)[EndpointKind::kModelEngine] == 2);
  CHECK(in_force.endpoints.at("booking-1").port == 18111);
  CHECK(in_force.teams.contains("eidfjord-coop"));
  CHECK(in_force.teams.contains("kinsarvik-coop"));
  CheckRoutes(in_force);
}

}  // namespace
}  // namespace celerykeel
