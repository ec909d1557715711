#include "celerykeel/node/zone_traffic.h"

#include <algorithm>  // for std::max
#include <cmath>      // for std::abs
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/node.h"   // for Node

namespace celerykeel {

namespace {

// Part of a new measurement in the mean: the last 20 calls or so count.
constexpr double kMeasureStep = 0.05;
// A change of the crossing share that is logged.
constexpr double kLoggedChange = 0.1;
constexpr Duration kLogInterval = std::chrono::seconds(1);
// Measures of services that are no longer in the configuration are dropped
// together with the others beyond this number.
constexpr size_t kMaxServices = 4096;

bool HasPrices(const Node& node) {
  return node.options.zone_prices.per_caller_second > 0;
}

std::string_view ReasonText(CrossingReason reason) {
  switch (reason) {
    case CrossingReason::kNone:
      return "none";
    case CrossingReason::kNoCapacity:
      return "no endpoint in the zone";
    case CrossingReason::kCheaper:
      return "cheaper than waiting";
  }
  return "";
}

// Returns what this instance knows of each service in more than one zone.
std::map<std::string_view, ServiceTraffic> KnownTraffic(const Node& node,
                                                        Duration now) {
  std::map<std::string_view, std::map<std::string_view, ZoneState>> zones;
  std::map<std::string_view, std::pair<double, double>> slots;
  const auto zone_of = [&](const EndpointStatus& endpoint) -> ZoneState& {
    return zones[endpoint.entry.service][endpoint.entry.zone];
  };
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    ZoneState& zone = zone_of(endpoint);
    zone.zone = endpoint.entry.zone;
    if (IsUsable(node.endpoints, endpoint, now)) {
      zone.slots += endpoint.entry.slots / endpoint.speed_factor;
    }
    zone.calls += endpoint.in_flight + endpoint.in_flight_from_peers;
    zone.calls_of_own += endpoint.in_flight;
    auto& [sum, count] = slots[endpoint.entry.service];
    sum += endpoint.entry.slots;
    count += 1;
  }
  Duration age{};
  for (const auto& [instance, state] : node.peer_states) {
    const auto member = node.fleet.members.find(instance);
    if (member == node.fleet.members.end() ||
        !HasRecentHeartbeat(member->second, now)) {
      continue;
    }
    age = std::max(age, now - *member->second.last_heartbeat_at);
    if (member->second.zone != node.options.zone) {
      continue;
    }
    for (const auto& [id, in_flight] : state.loads) {
      if (const auto found = node.endpoints.endpoints.find(id);
          found != node.endpoints.endpoints.end()) {
        zone_of(found->second).calls_of_own += in_flight;
      }
    }
  }
  std::map<std::string_view, ServiceTraffic> known;
  for (const auto& [service, by_zone] : zones) {
    if (by_zone.size() < 2 && by_zone.contains(node.options.zone)) {
      continue;
    }
    ServiceTraffic& traffic = known[service];
    for (const auto& [name, zone] : by_zone) {
      traffic.zones.push_back(zone);
    }
    const auto& [sum, count] = slots[service];
    traffic.slots_per_endpoint = sum / count;
    if (const auto measured = node.zone_traffic.measures.find(service);
        measured != node.zone_traffic.measures.end()) {
      traffic.call_seconds = measured->second.call_seconds;
      traffic.call_bytes = measured->second.call_bytes;
    }
    traffic.age = age;
  }
  return known;
}

void LogChange(Node& node, const std::string& service, const ZoneShares& now) {
  ZoneTraffic& traffic = node.zone_traffic;
  double& logged = traffic.logged_shares[service];
  Duration& logged_at = traffic.logged_at[service];
  if (std::abs(now.crossing - logged) <= kLoggedChange ||
      Now() < logged_at + kLogInterval) {
    return;
  }
  logged = now.crossing;
  logged_at = Now();
  std::string zones;
  for (const auto& [zone, share] : now.shares) {
    zones += (zones.empty() ? "" : " ") + zone + ":" + std::to_string(share);
  }
  WriteLog(node.log, LogLevel::kUnusual, "zone shares",
           {{"service", service},
            {"crossing", now.crossing},
            {"zones", zones},
            {"reason", ReasonText(now.reason)}});
}

}  // namespace

void RecordServiceCall(ZoneTraffic& traffic,
                       const std::string& service,
                       Duration time,
                       size_t bytes) {
  if (traffic.measures.size() >= kMaxServices) {
    traffic.measures.clear();
  }
  const double seconds = std::chrono::duration<double>(time).count();
  const auto [found, is_new] =
      traffic.measures.try_emplace(service, seconds, double(bytes));
  ServiceMeasures& measured = found->second;
  measured.call_seconds += kMeasureStep * (seconds - measured.call_seconds);
  measured.call_bytes += kMeasureStep * (double(bytes) - measured.call_bytes);
}

void CountCrossing(Node& node,
                   const EndpointEntry& endpoint,
                   bool is_preferred) {
  if (endpoint.zone == node.options.zone) {
    return;
  }
  const ZoneShares* shares = ZoneSharesOf(node, endpoint.service);
  const bool has_share =
      shares != nullptr && shares->shares.contains(endpoint.zone);
  const std::string_view reason = is_preferred ? "last endpoint"
                                  : has_share  ? ReasonText(shares->reason)
                                               : "load";
  node.metrics.crossings
      .Add({{"service", endpoint.service},
            {"zone", endpoint.zone},
            {"reason", std::string(reason)}})
      .Increment();
}

void UpdateZoneTraffic(Node& node) {
  if (!HasPrices(node)) {
    return;
  }
  const Duration now = Now();
  const auto known = KnownTraffic(node, now);
  ZoneTraffic& traffic = node.zone_traffic;
  const auto is_gone = [&](const auto& entry) {
    return !known.contains(entry.first);
  };
  std::erase_if(traffic.services, is_gone);
  std::erase_if(traffic.logged_shares, is_gone);
  std::erase_if(traffic.logged_at, is_gone);
  for (const auto& [service, state] : known) {
    const std::string name(service);
    ZoneShares& shares = traffic.services[name];
    UpdateZoneShares(shares, state, node.options.zone, node.options.zone_prices,
                     now);
    LogChange(node, name, shares);
    for (const ZoneState& zone : state.zones) {
      if (zone.zone != node.options.zone) {
        const auto share = shares.shares.find(zone.zone);
        node.metrics.zone_shares.Add({{"service", name}, {"zone", zone.zone}})
            .Set(share == shares.shares.end() ? 0 : share->second);
      }
    }
  }
}

const ZoneShares* ZoneSharesOf(const Node& node, std::string_view service) {
  const auto found = node.zone_traffic.services.find(service);
  return found == node.zone_traffic.services.end() ? nullptr : &found->second;
}

}  // namespace celerykeel
