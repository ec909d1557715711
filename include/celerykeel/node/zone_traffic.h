#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/core/zone_shares.h"     // for ZoneShares

namespace celerykeel {

struct Node;

/// @brief What this instance measured of a service's calls.
struct ServiceMeasures {
  double call_seconds = 0;
  double call_bytes = 0;
};

/// @brief Traffic of this instance between zones. With prices, it decides the
/// zone of a call; without, it only measures.
struct ZoneTraffic {
  std::map<std::string, ZoneShares, std::less<>> services;
  std::map<std::string, ServiceMeasures, std::less<>> measures;
  // Shares as last logged, and when, by service.
  std::map<std::string, double> logged_shares;
  std::map<std::string, Duration> logged_at;
};

/// @brief Records a call that ended at an endpoint of a service.
void RecordServiceCall(ZoneTraffic& traffic,
                       const std::string& service,
                       Duration time,
                       size_t bytes);

/// @brief Counts a call that is sent to an endpoint, by service and zone, if it
/// leaves this zone.
void CountCrossing(Node& node,
                   const EndpointEntry& endpoint,
                   bool is_preferred);

/// @brief Updates the shares of all services. Called every kShareInterval.
void UpdateZoneTraffic(Node& node);

/// @brief Returns the service's shares; nullptr without prices.
const ZoneShares* ZoneSharesOf(const Node& node, std::string_view service);

}  // namespace celerykeel
