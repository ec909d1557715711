#include "celerykeel/core/adoption.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::count_if

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Incarnation kSelf = 1;
constexpr Incarnation kOther = 2;
const ProgramName kTrip{"coop", "trip"};

FleetState Fleet(std::initializer_list<Incarnation> members, Offset version) {
  FleetState state;
  for (const Incarnation member : members) {
    state.members[member].join.incarnation = member;
    state.members[member].join.instance = "instance-" + std::to_string(member);
  }
  state.roster_version = version;
  return state;
}

void Depart(FleetState& state, Incarnation incarnation, bool evicted) {
  DepartedMember departed;
  departed.member.join.incarnation = incarnation;
  departed.evicted = evicted;
  state.departed[incarnation] = departed;
}

template <typename Action>
size_t Count(const AdoptionActions& actions) {
  return static_cast<size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<Action>(action);
      }));
}

ReplayedFamilies Image(uint64_t version) {
  ReplayedFamilies images;
  images[kTrip].root = kTrip;
  images[kTrip].version = version;
  return images;
}

TEST_CASE("the first instance of a fleet is ready at once") {
  Adoption adoption;
  const auto actions = ApplyRoster(adoption, Fleet({kSelf}, 1), kSelf, {});
  CHECK(Count<AdoptSlots>(actions) == 1);
  CHECK(IsReadyFor(adoption, kTrip));
}

TEST_CASE("slots of a live member are not ready until it has released them") {
  Adoption adoption;
  ApplyRoster(adoption, Fleet({kSelf, kOther}, 2), kSelf, {});
  CHECK(adoption.ready.none());
  CHECK(Count<RequestHandover>(Tick(adoption, seconds(1))) == 1);
  SUBCASE("a handover for an older roster is ignored") {
    TakeHandover(adoption, kOther, 1, /*is_last=*/true, {});
    CHECK(adoption.ready.none());
  }
  SUBCASE("the last part of a handover completes it") {
    TakeHandover(adoption, kOther, 2, /*is_last=*/false, Image(3));
    CHECK(adoption.ready.none());
    const auto actions =
        TakeHandover(adoption, kOther, 2, /*is_last=*/true, {});
    CHECK(Count<AdoptSlots>(actions) == 1);
    CHECK(adoption.ready == adoption.owned);
  }
}

TEST_CASE("the journal of an evicted member is read after its lease expires") {
  Adoption adoption;
  FleetState state = Fleet({kSelf}, 2);
  Depart(state, kOther, /*evicted=*/true);
  ApplyRoster(adoption, state, kSelf, seconds(100));
  const Duration lease = adoption.options.successor_wait;
  CHECK(Tick(adoption, seconds(100) + lease - milliseconds(1)).empty());
  CHECK(Count<ReadJournalPage>(Tick(adoption, seconds(100) + lease)) == 1);
  CHECK(adoption.ready.none());
  ApplyJournalPage(adoption, kOther, true, 0, {}, seconds(105));
  CHECK(IsReadyFor(adoption, kTrip));
}

TEST_CASE("the journal of a member that left is read at once, to its end") {
  Adoption adoption;
  FleetState state = Fleet({kSelf}, 2);
  Depart(state, kOther, /*evicted=*/false);
  ApplyRoster(adoption, state, kSelf, seconds(100));
  CHECK(Count<ReadJournalPage>(Tick(adoption, seconds(100))) == 1);
  CHECK(Count<ReadJournalPage>(ApplyJournalPage(adoption, kOther, true, 7, {},
                                                seconds(100))) == 1);
  CHECK(adoption.ready.none());
  ApplyJournalPage(adoption, kOther, true, 0, {}, seconds(100));
  CHECK(IsReadyFor(adoption, kTrip));
}

TEST_CASE(
    "a failed journal read is repeated, and no slot is ready before it "
    "succeeds") {
  Adoption adoption;
  FleetState state = Fleet({kSelf}, 2);
  Depart(state, kOther, /*evicted=*/false);
  ApplyRoster(adoption, state, kSelf, {});
  Tick(adoption, {});
  ApplyJournalPage(adoption, kOther, false, 0, {}, {});
  CHECK(adoption.ready.none());
  CHECK(Count<ReadJournalPage>(Tick(adoption, seconds(1))) == 1);
}

TEST_CASE("the newest state among all sources is adopted") {
  Adoption adoption;
  FleetState state = Fleet({kSelf, kOther}, 2);
  Depart(state, 3, /*evicted=*/false);
  // Finds a program that this instance owns, independent of the hash.
  ApplyRoster(adoption, state, kSelf, {});
  ProgramName mine = kTrip;
  while (!IsOwnerOf(adoption, mine)) {
    mine.id += "x";
  }
  Tick(adoption, {});
  CallRecord record;
  record.key = {mine, 1};
  record.version = 5;
  ApplyJournalPage(adoption, 3, true, 0, {record}, {});
  ReplayedFamilies older;
  older[mine].root = mine;
  older[mine].version = 4;
  const auto actions =
      TakeHandover(adoption, kOther, 2, /*is_last=*/true, older);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<AdoptSlots>(actions[0]).families.at(mine).version == 5);
}

TEST_CASE("slots that stay remain ready while others are gained") {
  Adoption adoption;
  ApplyRoster(adoption, Fleet({kSelf, kOther, 3}, 3), kSelf, {});
  TakeHandover(adoption, kOther, 3, true, {});
  TakeHandover(adoption, 3, 3, true, {});
  const SlotSet before = adoption.ready;
  REQUIRE(before.any());
  FleetState after = Fleet({kSelf, 3}, 4);
  Depart(after, kOther, /*evicted=*/true);
  ApplyRoster(adoption, after, kSelf, seconds(1));
  CHECK(adoption.ready == before);
  CHECK(adoption.owned.count() > before.count());
}

TEST_CASE(
    "lost slots are released at once, a new incarnation starts with none") {
  Adoption adoption;
  ApplyRoster(adoption, Fleet({kSelf}, 1), kSelf, {});
  SUBCASE("another member joins") {
    const auto actions =
        ApplyRoster(adoption, Fleet({kSelf, kOther}, 2), kSelf, {});
    CHECK(Count<DropSlots>(actions) == 1);
    CHECK(adoption.ready == adoption.owned);
    CHECK(adoption.ready.count() < kSlots);
  }
  SUBCASE("this instance joins again") {
    FleetState state = Fleet({9}, 2);
    Depart(state, kSelf, /*evicted=*/true);
    const auto actions = ApplyRoster(adoption, state, 9, {});
    CHECK(Count<DropSlots>(actions) == 1);
    CHECK(adoption.ready.none());
  }
}

}  // namespace
}  // namespace celerykeel
