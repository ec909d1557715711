#include "celerykeel/core/region_limits.h"

#include <algorithm>  // for std::find, std::none_of

#include "celerykeel/core/deployment.h"  // for Deployment

namespace celerykeel {

namespace {

using Regions = std::vector<std::string>;

bool Restricts(const Regions* regions) {
  return regions != nullptr && !regions->empty();
}

bool Allows(const Regions* regions, const std::string& region) {
  return !Restricts(regions) ||
         std::find(regions->begin(), regions->end(), region) != regions->end();
}

bool NamesNoKnownRegion(const Regions& regions, const ZoneRegions& known) {
  return !regions.empty() &&
         std::none_of(known.begin(), known.end(), [&](const auto& zone) {
           return Allows(&regions, zone.second);
         });
}

}  // namespace

bool IsRestricted(const RegionLimits& limits) {
  return Restricts(limits.by_route) || Restricts(limits.by_team);
}

bool IsZoneAllowed(const RegionLimits& limits, std::string_view zone) {
  if (!IsRestricted(limits)) {
    return true;
  }
  if (limits.zone_regions == nullptr) {
    return false;
  }
  const auto region = limits.zone_regions->find(zone);
  return region != limits.zone_regions->end() &&
         Allows(limits.by_route, region->second) &&
         Allows(limits.by_team, region->second);
}

bool MayCarryBody(const RegionLimits& limits,
                  std::string_view zone,
                  std::string_view own_zone) {
  if (zone == own_zone || IsZoneAllowed(limits, zone)) {
    return true;
  }
  if (limits.zone_regions == nullptr) {
    return false;
  }
  const auto region = limits.zone_regions->find(zone);
  const auto own = limits.zone_regions->find(own_zone);
  return region != limits.zone_regions->end() &&
         own != limits.zone_regions->end() && region->second == own->second;
}

std::string FindUnknownRegions(const Deployment& deployment,
                               const ZoneRegions& zone_regions) {
  for (const CallRoute& route : deployment.routes) {
    if (NamesNoKnownRegion(route.allowed_regions, zone_regions)) {
      return "route " + route.name;
    }
  }
  for (const auto& [name, team] : deployment.teams) {
    if (NamesNoKnownRegion(team.allowed_regions, zone_regions)) {
      return "team " + name;
    }
  }
  return {};
}

}  // namespace celerykeel
