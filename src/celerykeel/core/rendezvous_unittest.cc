#include "celerykeel/core/rendezvous.h"

#include <doctest/doctest.h>

#include <string>  // for std::to_string

namespace celerykeel {
namespace {

FleetState Fleet(int members) {
  FleetState state;
  for (int i = 1; i <= members; ++i) {
    Member member;
    member.join.incarnation = static_cast<Incarnation>(i);
    member.join.instance = "instance-" + std::to_string(i);
    state.members[member.join.incarnation] = member;
  }
  return state;
}

TEST_CASE("a program and its sub-agents share a slot") {
  CHECK(SlotOf({"coop", "trip-7"}) == SlotOf({"coop", "trip-7/hotel"}));
}

TEST_CASE("equal ids of two teams are two programs") {
  CHECK(SlotOf({"coop", "trip-7"}) != SlotOf({"orchard", "trip-7"}));
}

TEST_CASE("a departing member moves only its own slots") {
  const FleetState before = Fleet(5);
  FleetState after = before;
  after.members.erase(3);
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    if (const auto owner = OwnerOfSlot(before, slot); owner != 3U) {
      CHECK(OwnerOfSlot(after, slot) == owner);
    }
  }
}

TEST_CASE("with an empty roster, slots have no owner") {
  CHECK_FALSE(OwnerOfSlot(FleetState{}, 0).has_value());
}

TEST_CASE("sub-agents are placed below their root") {
  CHECK(CanonicalProgramId("hotel", "trip-7/city") == "trip-7/hotel");
  CHECK(CanonicalProgramId("trip-7/hotel", "trip-7") == "trip-7/hotel");
  CHECK(CanonicalProgramId("trip-7", "") == "trip-7");
}

}  // namespace
}  // namespace celerykeel
