#include "celerykeel/core/region_limits.h"

#include <doctest/doctest.h>

#include "celerykeel/core/deployment.h"  // for Deployment

namespace celerykeel {
namespace {

const ZoneRegions kZones{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};

// Guards against data that leaves the regions of its route or team.
TEST_CASE("a restricted call goes to allowed regions only") {
  const std::vector<std::string> north{"north"};
  const std::vector<std::string> both{"north", "south"};
  const std::vector<std::string> none;
  RegionLimits limits{.zone_regions = &kZones, .by_route = &none};
  CHECK_FALSE(IsRestricted(limits));
  CHECK(IsZoneAllowed(limits, "unknown"));
  limits.by_route = &both;
  CHECK(IsZoneAllowed(limits, "s1"));
  CHECK_FALSE(IsZoneAllowed(limits, "unknown"));
  limits.by_team = &north;
  CHECK(IsZoneAllowed(limits, "n2"));
  CHECK_FALSE(IsZoneAllowed(limits, "s1"));
}

TEST_CASE("a body may also go to instances of the caller's region") {
  const std::vector<std::string> north{"north"};
  const RegionLimits limits{.zone_regions = &kZones, .by_route = &north};
  CHECK(MayCarryBody(limits, "n1", "s1"));
  CHECK(MayCarryBody(limits, "s1", "s1"));
  CHECK_FALSE(MayCarryBody(limits, "s1", "n1"));
  CHECK_FALSE(MayCarryBody(limits, "unknown", "n1"));
}

// Guards against a version that sends a restricted route's calls nowhere.
TEST_CASE("restrictions that name no known region are found") {
  Deployment deployment;
  deployment.routes.resize(1);
  deployment.routes[0].name = "r";
  CHECK(FindUnknownRegions(deployment, {}).empty());
  deployment.routes[0].allowed_regions = {"east", "north"};
  CHECK(FindUnknownRegions(deployment, kZones).empty());
  CHECK(FindUnknownRegions(deployment, {}) == "route r");
  deployment.teams["t"].allowed_regions = {"east"};
  CHECK(FindUnknownRegions(deployment, kZones) == "team t");
}

}  // namespace
}  // namespace celerykeel
