#include "celerykeel/core/reader_choice.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

KnownFleet FleetOf(int self, int count) {
  KnownFleet fleet;
  fleet.self = "i" + std::to_string(self);
  for (int i = 0; i < count; ++i) {
    if (i != self) {
      FleetMember& member = fleet.members["i" + std::to_string(i)];
      member.instance = "i" + std::to_string(i);
      member.last_heartbeat_at = kNow;
    }
  }
  return fleet;
}

TEST_CASE("a fleet has kReaderCount readers, or fewer if it is smaller") {
  for (const int count : {1, 2, 3, 13, 85}) {
    size_t readers = 0;
    for (int i = 0; i < count; ++i) {
      readers += IsReader(FleetOf(i, count), kNow) ? 1 : 0;
    }
    CHECK(readers == std::min<size_t>(kReaderCount, count));
  }
}

TEST_CASE("an instance that hears no other one is a reader") {
  KnownFleet fleet = FleetOf(0, 13);
  CHECK(IsReader(fleet, kNow + kHeartbeatTimeout));
  for (auto& [instance, member] : fleet.members) {
    member.leaving = true;
  }
  CHECK(IsReader(fleet, kNow));
}

}  // namespace
}  // namespace celerykeel
