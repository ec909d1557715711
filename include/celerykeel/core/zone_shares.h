#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief What operators pay, in any unit. Both 0: no prices are set.
struct ZonePrices {
  double per_gigabyte = 0;       // sent between zones
  double per_caller_second = 0;  // that a caller waits
};

/// @brief What an instance knows of a service's endpoints in one zone.
struct ZoneState {
  std::string zone;
  // Of endpoints that take calls now, each divided by its speed factor.
  double slots = 0;
  double calls = 0;         // in flight there, from all instances
  double calls_of_own = 0;  // of these, from instances of the own zone
};

/// @brief What an instance knows of a service.
struct ServiceTraffic {
  std::vector<ZoneState> zones;
  double slots_per_endpoint = 1;
  double call_seconds = 0;  // mean time of a call at an endpoint
  double call_bytes = 0;    // mean bytes of a request and its answer
  Duration age{};           // of the oldest part of this knowledge
};

/// @brief Why calls leave the zone.
enum class CrossingReason { kNone, kNoCapacity, kCheaper };

/// @brief Shares of a service's calls from the own zone that go to others.
struct ZoneShares {
  std::map<std::string, double, std::less<>> shares;  // by other zone
  double crossing = 0;                                // sum of the shares
  CrossingReason reason = CrossingReason::kNone;
  // State of the steps: smoothed demand in calls in flight, the direction of
  // the last step, the time of its last change, and whether there was no other
  // change for `kCalmTime` before.
  double demand = 0;
  bool knows_demand = false;
  int direction = 0;
  Duration turned_at{};
  bool was_calm = true;
};

/// @brief Interval at which shares are updated. A step is at most
/// `kMaxShareStep`.
inline constexpr Duration kShareInterval = std::chrono::milliseconds(400);
inline constexpr double kMaxShareStep = 0.1;
/// @brief Shares return at once if they have not turned for this long;
/// otherwise, for example if a zone flaps, in steps.
inline constexpr Duration kCalmTime = std::chrono::seconds(5);

/// @brief Returns the expected wait at endpoints with this load (calls in
/// flight per slot), as a multiple of the mean time of a call.
double ExpectedWait(double load, double slots_per_endpoint);

/// @brief Returns the share of calls at which a further call to another zone
/// would cost as much as one in the own zone.
double BestCrossing(const ServiceTraffic& traffic,
                    std::string_view own_zone,
                    double demand,
                    const ZonePrices& prices);

/// @brief Moves the shares one step towards their best values.
void UpdateZoneShares(ZoneShares& shares,
                      const ServiceTraffic& traffic,
                      std::string_view own_zone,
                      const ZonePrices& prices,
                      Duration now);

/// @brief Returns the zone of a call.
/// @param draw in [0, 1], differs from call to call.
std::string_view ZoneOfCall(const ZoneShares& shares,
                            std::string_view own_zone,
                            double draw);

}  // namespace celerykeel
