#include "celerykeel/core/zone_shares.h"

#include <algorithm>  // for std::clamp, std::max
#include <cmath>      // for std::pow, std::sqrt

namespace celerykeel {

namespace {

// From this load on, the wait continues as a straight line. The formula below
// has a pole at 1, but measured loads exceed 1 while calls queue.
constexpr double kStraightFrom = 0.9;
constexpr double kSlopeInterval = 0.01;
// Round trip between zones, which take 0.5 to 1.4 ms one way.
constexpr double kExtraWaySeconds = 0.002;
constexpr double kBytesPerGigabyte = 1e9;
// Load up to which another zone has room for calls of this one.
constexpr double kRoomLoad = 0.85;
// A smaller crossing share is not worth its connections.
constexpr double kMinCrossing = 0.05;
// The share stays if its best value is this close.
constexpr double kDeadBand = 0.03;
// Part of a change of the demand that one update takes in.
constexpr double kDemandStep = 0.3;
constexpr int kBisections = 20;

// The calls of other zones in this one, and its slots.
struct Side {
  double slots = 0;
  double others = 0;
};

double LoadWith(const Side& side, double calls) {
  return (side.others + calls) / side.slots;
}

std::pair<Side, Side> OwnAndOther(const ServiceTraffic& traffic,
                                  std::string_view own_zone) {
  Side own;
  Side other;
  for (const ZoneState& zone : traffic.zones) {
    Side& side = zone.zone == own_zone ? own : other;
    side.slots += zone.slots;
    // The calls of an unusable zone will go elsewhere.
    side.others += zone.slots > 0 ? zone.calls - zone.calls_of_own : 0;
  }
  return {own, other};
}

double RoomIn(const ZoneState& zone) {
  return std::max(kRoomLoad * zone.slots - (zone.calls - zone.calls_of_own),
                  0.0);
}

// Divides the crossing share over the other zones by their room, or by their
// slots if none has room.
void Divide(ZoneShares& shares,
            const ServiceTraffic& traffic,
            std::string_view own_zone) {
  double room = 0;
  double slots = 0;
  for (const ZoneState& zone : traffic.zones) {
    if (zone.zone != own_zone) {
      room += RoomIn(zone);
      slots += zone.slots;
    }
  }
  shares.shares.clear();
  for (const ZoneState& zone : traffic.zones) {
    const double part = room > 0    ? RoomIn(zone) / room
                        : slots > 0 ? zone.slots / slots
                                    : 0;
    if (zone.zone != own_zone && part > 0 && shares.crossing > 0) {
      shares.shares[zone.zone] = shares.crossing * part;
    }
  }
}

// Returns the next crossing share on the way to the best one.
double NextCrossing(ZoneShares& shares,
                    double best,
                    Duration age,
                    Duration now) {
  if (best < kMinCrossing) {
    best = 0;
  }
  const double change = best - shares.crossing;
  if (change == 0 || (best > 0 && std::abs(change) < kDeadBand)) {
    return shares.crossing;
  }
  const int direction = change > 0 ? 1 : -1;
  // Smaller changes come from noise, and say nothing about the zone.
  if (direction != shares.direction && std::abs(change) >= kMaxShareStep) {
    shares.was_calm = now >= shares.turned_at + kCalmTime;
    shares.direction = direction;
    shares.turned_at = now;
  }
  if (direction < 0 && shares.direction < 0 && shares.was_calm) {
    return best;
  }
  const double step =
      kMaxShareStep / (1 + std::chrono::duration<double>(age).count());
  return shares.crossing + std::clamp(change, -step, step);
}

}  // namespace

// Sakasegawa's approximation for a queue with several servers.
double ExpectedWait(double load, double slots_per_endpoint) {
  const double slots = std::max(slots_per_endpoint, 1.0);
  const auto wait = [slots](double of) {
    return std::pow(of, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - of));
  };
  if (load <= kStraightFrom) {
    return wait(std::max(load, 0.0));
  }
  const double slope =
      (wait(kStraightFrom) - wait(kStraightFrom - kSlopeInterval)) /
      kSlopeInterval;
  return wait(kStraightFrom) + slope * (load - kStraightFrom);
}

double BestCrossing(const ServiceTraffic& traffic,
                    std::string_view own_zone,
                    double demand,
                    const ZonePrices& prices) {
  const auto [own, other] = OwnAndOther(traffic, own_zone);
  if (other.slots <= 0) {
    return 0;
  }
  if (own.slots <= 0) {
    return 1;
  }
  if (prices.per_caller_second <= 0) {
    return 0;
  }
  // In seconds of a caller's time.
  const double way = kExtraWaySeconds + traffic.call_bytes / kBytesPerGigabyte *
                                            prices.per_gigabyte /
                                            prices.per_caller_second;
  const auto saved = [&, own = own, other = other](double crossing) {
    const double here = ExpectedWait(LoadWith(own, demand * (1 - crossing)),
                                     traffic.slots_per_endpoint);
    const double there = ExpectedWait(LoadWith(other, demand * crossing),
                                      traffic.slots_per_endpoint);
    return (here - there) * traffic.call_seconds - way;
  };
  double low = 0;
  double high = 1;
  if (saved(low) <= 0) {
    return low;
  }
  if (saved(high) >= 0) {
    return high;
  }
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (saved(middle) > 0 ? low : high) = middle;
  }
  return low;
}

// The best share follows from the demand of the zone and the slots, which do
// not depend on the present share. So the age of the knowledge delays a change,
// but does not make the shares swing.
void UpdateZoneShares(ZoneShares& shares,
                      const ServiceTraffic& traffic,
                      std::string_view own_zone,
                      const ZonePrices& prices,
                      Duration now) {
  double demand = 0;
  bool has_own_slots = false;
  for (const ZoneState& zone : traffic.zones) {
    demand += zone.calls_of_own;
    has_own_slots |= zone.zone == own_zone && zone.slots > 0;
  }
  shares.demand = shares.knows_demand
                      ? shares.demand + kDemandStep * (demand - shares.demand)
                      : demand;
  shares.knows_demand = true;
  const double best = BestCrossing(traffic, own_zone, shares.demand, prices);
  shares.crossing = NextCrossing(shares, best, traffic.age, now);
  Divide(shares, traffic, own_zone);
  shares.reason = shares.crossing <= 0 ? CrossingReason::kNone
                  : has_own_slots      ? CrossingReason::kCheaper
                                       : CrossingReason::kNoCapacity;
}

std::string_view ZoneOfCall(const ZoneShares& shares,
                            std::string_view own_zone,
                            double draw) {
  double sum = 0;
  for (const auto& [zone, share] : shares.shares) {
    sum += share;
    if (draw < sum) {
      return zone;
    }
  }
  return own_zone;
}

}  // namespace celerykeel
