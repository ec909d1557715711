#include "celerykeel/node/regions.h"

#include "celerykeel/node/node.h"  // for Node

namespace celerykeel {

namespace {

constexpr int kUnavailable = 503;
// An evacuation lasts for seconds at least, and callers repeat a call once.
constexpr Duration kEvacuationRetry = std::chrono::seconds(1);

}  // namespace

RegionLimits RegionLimitsOf(const Node& node, const Call& call) {
  return {
      .zone_regions = &node.options.zone_regions,
      .by_route =
          call.route == nullptr ? nullptr : &call.route->allowed_regions,
      .by_team = call.team == nullptr ? nullptr : &call.team->allowed_regions};
}

bool MayCarryBody(const Node& node,
                  const Call& call,
                  std::string_view instance) {
  const RegionLimits limits = RegionLimitsOf(node, call);
  if (!IsRestricted(limits) || instance == node.options.instance) {
    return true;
  }
  const auto member = node.fleet.members.find(std::string(instance));
  return member != node.fleet.members.end() &&
         MayCarryBody(limits, member->second.zone, node.options.zone);
}

bool MayStoreText(const Node& node, const Call& call, uint32_t slot) {
  return !call.route->retained || ActiveSlot(node, slot) != nullptr ||
         MayCarryBody(node, call, node.fleet.slots[slot].instance);
}

CallRefusal AllEvacuated() {
  return {kUnavailable, "not run: all endpoints are in evacuated zones",
          kEvacuationRetry};
}

}  // namespace celerykeel
