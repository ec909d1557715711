#include "celerykeel/core/zone_shares.h"

#include <algorithm>   // for std::max, std::min
#include <cmath>       // for std::fmod
#include <deque>       // for std::deque
#include <functional>  // for std::function
#include <random>      // for std::mt19937

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 3;
constexpr ZonePrices kPrices{.per_gigabyte = 1, .per_caller_second = 1};

std::string ZoneName(int zone) {
  return std::string(1, char('a' + zone));
}

// Instances in three zones with 40 slots and calls for 22 of them each. Each
// instance updates its shares by itself, and knows the calls of all as they
// were 0.5 to 3 s ago.
class ZoneFleet {
 public:
  explicit ZoneFleet(int instances) : fleet(static_cast<size_t>(instances)) {}

  /// @param slots of zone a.
  void Run(Duration time, const std::function<double(double)>& slots) {
    for (const Duration end = this->now + time; this->now < end;
         this->now += milliseconds(100)) {
      this->slots_of_a =
          slots(std::chrono::duration<double>(this->now).count());
      this->Record();
      for (size_t i = 0; i < this->fleet.size(); ++i) {
        if (i % 4 == size_t(this->now / milliseconds(100)) % 4) {
          this->Update(i);
        }
      }
    }
  }

  // Returns the part of zone a's calls that leave it.
  double CrossingOfA() const {
    return this->Calls()[0][1] + this->Calls()[0][2];
  }
  double LoadOf(int zone) const {
    const auto calls = this->Calls();
    return kDemand * (calls[0][zone] + calls[1][zone] + calls[2][zone]) /
           (zone == 0 ? this->slots_of_a : kSlots);
  }

 private:
  static constexpr double kDemand = 22;
  static constexpr double kSlots = 40;
  // By caller's zone and endpoint's zone, in parts of a zone's demand.
  using Matrix = std::array<std::array<double, kZones>, kZones>;

  Matrix Calls() const {
    Matrix calls{};
    std::array<double, kZones> members{};
    for (size_t i = 0; i < this->fleet.size(); ++i) {
      const int from = int(i % kZones);
      members[from] += 1;
      for (int to = 0; to < kZones; ++to) {
        const auto found = this->fleet[i].shares.find(ZoneName(to));
        calls[from][to] += to == from ? 1 - this->fleet[i].crossing
                           : found == this->fleet[i].shares.end()
                               ? 0
                               : found->second;
      }
    }
    for (int from = 0; from < kZones; ++from) {
      for (double& part : calls[from]) {
        part /= members[from];
      }
    }
    return calls;
  }

  void Record() {
    this->history.push_front(this->Calls());
    this->slots_history.push_front(this->slots_of_a);
    if (this->history.size() > 31) {
      this->history.pop_back();
      this->slots_history.pop_back();
    }
  }

  void Update(size_t index) {
    const size_t age =
        std::min<size_t>(5 + this->random() % 26, this->history.size() - 1);
    const Matrix& calls = this->history[age];
    const int own = int(index % kZones);
    ServiceTraffic traffic{.zones = {},
                           .slots_per_endpoint = 6,
                           .call_seconds = 0.05,
                           .call_bytes = 5000,
                           .age = milliseconds(100 * age)};
    for (int zone = 0; zone < kZones; ++zone) {
      const double noise = 0.9 + 0.2 * double(this->random() % 1000) / 1000;
      traffic.zones.push_back(
          {.zone = ZoneName(zone),
           .slots = zone == 0 ? this->slots_history[age] : kSlots,
           .calls = noise * kDemand *
                    (calls[0][zone] + calls[1][zone] + calls[2][zone]),
           .calls_of_own = noise * kDemand * calls[own][zone]});
    }
    UpdateZoneShares(this->fleet[index], traffic, ZoneName(own), kPrices,
                     this->now);
  }

  std::vector<ZoneShares> fleet;
  std::deque<Matrix> history;
  std::deque<double> slots_history;
  std::mt19937 random{3};
  double slots_of_a = kSlots;
  Duration now = seconds(100);
};

double Whole(double /*now*/) {
  return 40;
}
double Halved(double /*now*/) {
  return 20;
}

// Guards against a zone whose callers wait while other zones have room, against
// shares that swing, and against calls that stay away once there is room again.
TEST_CASE("a zone with half of its endpoints is served as the others") {
  for (const int instances : {10, 300}) {
    INFO(instances, " instances");
    ZoneFleet fleet(instances);
    fleet.Run(seconds(10), Whole);
    CHECK(fleet.CrossingOfA() < 0.02);
    fleet.Run(seconds(8), Halved);
    double least = 1;
    double most = 0;
    for (int i = 0; i < 40; ++i) {
      fleet.Run(milliseconds(400), Halved);
      least = std::min(least, fleet.CrossingOfA());
      most = std::max(most, fleet.CrossingOfA());
      CHECK(fleet.LoadOf(0) < 0.85);
    }
    CHECK(least > 0.2);
    CHECK(most - least < 0.15);
    fleet.Run(seconds(4), Whole);
    CHECK(fleet.CrossingOfA() < 0.05);
  }
}

TEST_CASE("a zone that flaps each second: the other zones keep their loads") {
  for (const int instances : {10, 300}) {
    INFO(instances, " instances");
    ZoneFleet fleet(instances);
    const auto flapping = [](double now) {
      return std::fmod(now, 2) < 1 ? 40.0 : 4.0;
    };
    fleet.Run(seconds(10), flapping);
    double least = 1;
    double most = 0;
    for (int i = 0; i < 40; ++i) {
      fleet.Run(milliseconds(400), flapping);
      least = std::min(least, fleet.CrossingOfA());
      most = std::max(most, fleet.CrossingOfA());
    }
    CHECK(most - least < 0.35);
  }
}

TEST_CASE("prices decide whether a call leaves its zone") {
  ServiceTraffic traffic{
      .zones = {{.zone = "a", .slots = 10, .calls = 8, .calls_of_own = 8},
                {.zone = "b", .slots = 10, .calls = 2, .calls_of_own = 0}},
      .slots_per_endpoint = 5,
      .call_seconds = 0.1,
      .call_bytes = 1e6};
  const auto best = [&](double per_gigabyte) {
    return BestCrossing(traffic, "a", 8, {per_gigabyte, 1});
  };
  CHECK(best(0) > 0.2);
  CHECK(best(0) > best(5));
  CHECK(best(1000) == 0);
  SUBCASE("unless the zone has no endpoint that takes calls") {
    traffic.zones[0].slots = 0;
    CHECK(best(1000) == 1);
  }
  SUBCASE("and no other zone has any") {
    traffic.zones[1].slots = 0;
    CHECK(best(0) == 0);
  }
}

}  // namespace
}  // namespace celerykeel
