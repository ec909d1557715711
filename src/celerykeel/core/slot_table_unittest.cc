#include "celerykeel/core/slot_table.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNow = std::chrono::hours(6);

// An instance that hears `heard` of the others and reads fresh entries of all.
KnownFleet FleetOf(int others, int heard) {
  KnownFleet fleet;
  fleet.self = "self";
  fleet.members_read_at = kNow - seconds(10);
  fleet.slots.resize(8);
  for (int i = 0; i < others; ++i) {
    FleetMember member;
    member.instance = "other" + std::to_string(i);
    member.beat_at = kNow;
    if (i < heard) {
      member.heard_at = kNow;
    }
    fleet.members[member.instance] = member;
  }
  return fleet;
}

void GiveAllTo(KnownFleet& fleet, const std::string& instance) {
  for (SlotHolder& slot : fleet.slots) {
    slot = {.instance = instance, .epoch = 5};
  }
}

size_t Taken(const KnownFleet& fleet) {
  return SlotsToTake(fleet, kNow).size();
}

TEST_CASE("a lone instance takes all slots") {
  CHECK(Taken(FleetOf(0, 0)) == 8);
}

// Found on hsl-pressedag trouble-2: an instance that was restarted while the
// store was silent knew no member, and took slots whose holders were alive.
TEST_CASE("an instance that has not read who the members are takes nothing") {
  KnownFleet fleet = FleetOf(0, 0);
  fleet.members_read_at.reset();
  CHECK(Taken(fleet) == 0);
}

TEST_CASE("a fresh instance waits for the members it read of, not for long") {
  KnownFleet fleet = FleetOf(2, 1);
  fleet.members_read_at = kNow - milliseconds(100);
  CHECK(Taken(fleet) == 0);
  fleet.members["other1"].refused = true;  // no process: nobody to wait for
  fleet.members["other0"].leaving = true;
  CHECK(Taken(fleet) == 8);
}

// The loser of a slot took it back before the winner could tell: two
// instances fenced each other ten times a second.
TEST_CASE("a slot that another instance just took is left alone for a while") {
  KnownFleet fleet = FleetOf(0, 0);
  for (SlotHolder& slot : fleet.slots) {
    slot = {.instance = "", .epoch = 7, .contested_until = kNow + kContested};
  }
  CHECK(Taken(fleet) == 0);
  CHECK(SlotsToTake(fleet, kNow + kContested).size() == 8);
}

TEST_CASE("a living holder keeps its slots, a dead one loses them") {
  KnownFleet fleet = FleetOf(1, 1);
  GiveAllTo(fleet, "other0");
  CHECK(Taken(fleet) == 0);
  fleet.members["other0"].heard_at.reset();
  fleet.members["other0"].refused = true;
  CHECK(Taken(fleet) == 8);
}

TEST_CASE("an instance that is cut off takes nothing from holders that write") {
  KnownFleet fleet = FleetOf(4, 0);
  GiveAllTo(fleet, "other0");
  CHECK(Taken(fleet) == 0);
  fleet.members["other0"].beat_at = kNow - kStoreSilence;
  CHECK(Taken(fleet) == 8);
}

TEST_CASE("an older claim does not replace a newer one") {
  KnownFleet fleet = FleetOf(1, 1);
  CHECK(NoteHolder(fleet, 3, {.instance = "other0", .epoch = 9}));
  CHECK_FALSE(NoteHolder(fleet, 3, {.instance = "self", .epoch = 8}));
  CHECK(fleet.slots[3].instance == "other0");
  CHECK_FALSE(NoteHolder(fleet, 8, {.instance = "other0", .epoch = 10}));
}

// Seen on days that end with a loss of all power: five of eight slots had no
// holder for 0.9 s more, since each first claim met the epoch of before and was
// taken for a race.
TEST_CASE("a claim that meets an epoch of before the restart is made anew") {
  KnownFleet fleet;
  fleet.self = "a";
  fleet.slots.resize(2);
  constexpr uint64_t kOfBefore = 9;
  CHECK(MayClaimAgain(fleet, 0, kOfBefore, true));
  // Then the one met is a rival, which has time to say so.
  CHECK_FALSE(MayClaimAgain(fleet, 0, kOfBefore, false));
  // A holder that is known was claimed above already.
  fleet.slots[1] = {.instance = "b", .epoch = kOfBefore, .contested_until = {}};
  CHECK_FALSE(MayClaimAgain(fleet, 1, kOfBefore, true));
}

}  // namespace
}  // namespace celerykeel
