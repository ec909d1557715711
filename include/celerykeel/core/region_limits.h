#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel {

struct Deployment;

/// @brief Region of each zone, from the settings.
using ZoneRegions = std::map<std::string, std::string, std::less<>>;

/// @brief The regions to which a call is restricted by its route and its team.
struct RegionLimits {
  const ZoneRegions* zone_regions = nullptr;
  // Null or empty: no restriction.
  const std::vector<std::string>* by_route = nullptr;
  const std::vector<std::string>* by_team = nullptr;
};

/// @brief True if the call is restricted at all.
bool IsRestricted(const RegionLimits& limits);

/// @brief True if the call may go to endpoints of the zone. If it is
/// restricted, a zone without a known region is not allowed.
bool IsZoneAllowed(const RegionLimits& limits, std::string_view zone);

/// @brief True if the call's body may go to an instance of the zone: one in an
/// allowed region or in the region of `own_zone`.
bool MayCarryBody(const RegionLimits& limits,
                  std::string_view zone,
                  std::string_view own_zone);

/// @brief Names the first route or team whose allowed regions are all unknown;
/// empty if there is none.
std::string FindUnknownRegions(const Deployment& deployment,
                               const ZoneRegions& zone_regions);

}  // namespace celerykeel
