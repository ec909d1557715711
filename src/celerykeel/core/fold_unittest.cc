#include "celerykeel/core/fold.h"

#include <doctest/doctest.h>

#include <memory>   // for std::make_shared
#include <string>   // for std::string
#include <utility>  // for std::move
#include <vector>   // for std::vector

#include "celerykeel/core/roster.h"  // for kMaxDepartedMembers

namespace celerykeel {
namespace {

Join JoinOf(Incarnation incarnation, std::string instance) {
  Join join;
  join.incarnation = incarnation;
  join.instance = std::move(instance);
  join.witnesses = {"a", "b", "c"};
  return join;
}

Ticket TeamTicket(TicketNumber number, std::string team, double rate = 10) {
  Ticket ticket;
  ticket.number = number;
  ticket.operator_name = "kari";
  Team object;
  object.id = std::move(team);
  object.rate = rate;
  object.burst = 20;
  ticket.teams = {object};
  return ticket;
}

FleetState FleetOfThree() {
  FleetState state;
  Fold(state, 1, JoinOf(11, "a"));
  Fold(state, 2, JoinOf(22, "b"));
  Fold(state, 3, JoinOf(33, "c"));
  return state;
}

TEST_CASE("a join adds a member whose fencing number is the record offset") {
  const FleetState state = FleetOfThree();
  REQUIRE(state.members.size() == 3);
  CHECK(state.members.at(22).fence == 2);
  CHECK(state.roster_version == 3);
}

TEST_CASE("a repeated append of a join changes only the audit trail") {
  FleetState state = FleetOfThree();
  const AuditEntry* const entry = Fold(state, 4, JoinOf(22, "b"));
  REQUIRE(entry != nullptr);
  CHECK_FALSE(entry->accepted);
  CHECK(entry->reason == "repeats the join at offset 2");
  CHECK(state.members.at(22).fence == 2);
  CHECK(state.roster_version == 3);
}

TEST_CASE("only a newer witness change applies, and the roster version stays") {
  FleetState state = FleetOfThree();
  Fold(state, 4, WitnessChange{22, 2, {"b", "c", "d"}});
  const AuditEntry* const entry =
      Fold(state, 5, WitnessChange{22, 1, {"b", "x", "y"}});
  REQUIRE(entry != nullptr);
  CHECK_FALSE(entry->accepted);
  CHECK(entry->reason == "change 2 of the witnesses is in force");
  CHECK(state.members.at(22).join.witnesses ==
        std::vector<std::string>{"b", "c", "d"});
  CHECK(state.roster_version == 3);
}

TEST_CASE("a join may replace only an earlier incarnation of its instance") {
  FleetState state = FleetOfThree();
  Join again = JoinOf(23, "b");
  again.replaces = 22;
  CHECK(Fold(state, 4, again)->accepted);
  CHECK_FALSE(state.members.contains(22));
  CHECK(state.departed.at(22).evicted);
  Join other = JoinOf(24, "b");
  other.replaces = 11;
  CHECK_FALSE(Fold(state, 5, other)->accepted);
  CHECK(state.members.contains(11));
  CHECK_FALSE(state.members.contains(24));
}

TEST_CASE("a departed incarnation cannot join again") {
  FleetState state = FleetOfThree();
  CHECK(Fold(state, 4, Leave{22})->accepted);
  CHECK_FALSE(state.departed.at(22).evicted);
  CHECK_FALSE(Fold(state, 5, JoinOf(22, "b"))->accepted);
  CHECK_FALSE(state.members.contains(22));
  CHECK_FALSE(Fold(state, 6, Leave{22})->accepted);
}

TEST_CASE("an eviction needs votes of a majority of the witnesses") {
  FleetState state = FleetOfThree();
  SUBCASE("one vote of three is too few") {
    CHECK_FALSE(Fold(state, 4, Evict{11, {22}, 22, "silent"})->accepted);
    CHECK(state.audit.back().reason == "1 of the 2 words needed");
  }
  SUBCASE("the vote of the evicted member does not count") {
    CHECK_FALSE(Fold(state, 4, Evict{11, {22, 11}, 22, "silent"})->accepted);
  }
  SUBCASE("the vote of another incarnation of its name does not count") {
    Fold(state, 4, JoinOf(12, "a"));
    CHECK_FALSE(Fold(state, 5, Evict{11, {22, 12}, 22, "silent"})->accepted);
  }
  SUBCASE("a repeated vote counts once") {
    CHECK_FALSE(Fold(state, 4, Evict{11, {22, 22}, 22, "silent"})->accepted);
  }
  SUBCASE("the vote of an earlier incarnation of a witness does not count") {
    Join again = JoinOf(23, "b");
    again.replaces = 22;
    Fold(state, 4, again);
    CHECK_FALSE(Fold(state, 5, Evict{11, {22, 33}, 33, "silent"})->accepted);
  }
  SUBCASE("the vote of a member that is not a witness does not count") {
    Fold(state, 4, JoinOf(44, "d"));
    CHECK_FALSE(Fold(state, 5, Evict{11, {22, 44}, 33, "silent"})->accepted);
  }
  SUBCASE("two votes of three are enough") {
    CHECK(Fold(state, 4, Evict{11, {22, 33}, 22, "silent"})->accepted);
    CHECK(state.departed.at(11).evicted);
    CHECK(state.audit.back().subject == "a");
  }
}

TEST_CASE(
    "any other member can evict a lone member, which cannot evict itself") {
  FleetState state;
  Join lone = JoinOf(11, "a");
  lone.witnesses = {"a"};
  Fold(state, 1, lone);
  CHECK_FALSE(Fold(state, 2, Evict{11, {11}, 11, "silent"})->accepted);
  Fold(state, 3, JoinOf(22, "b"));
  CHECK(Fold(state, 4, Evict{11, {22}, 22, "silent"})->accepted);
}

TEST_CASE("the number of departed members is limited, the oldest are dropped") {
  FleetState state;
  Offset offset = 0;
  for (Incarnation i = 1; i <= kMaxDepartedMembers + 5; ++i) {
    Fold(state, ++offset, JoinOf(i, "a"));
    Fold(state, ++offset, Leave{i});
  }
  CHECK(state.departed.size() == kMaxDepartedMembers);
  CHECK_FALSE(state.departed.contains(5));
  CHECK(state.departed.contains(6));
}

TEST_CASE("a ticket sets the complete state of the objects it names") {
  FleetState state;
  CHECK(Fold(state, 1, TeamTicket(7, "coop"))->accepted);
  CHECK(state.in_force.teams.at("coop").rate == 10);
  CHECK(state.applied.at("team/coop") == Applied{7, 1});
  CHECK(state.audit.back().reason == "sets team/coop");
}

TEST_CASE("a rejected ticket changes only the audit trail") {
  FleetState state;
  Fold(state, 1, TeamTicket(7, "coop"));
  const Configuration before = state.in_force;
  SUBCASE("number taken") {
    const AuditEntry* const entry = Fold(state, 2, TeamTicket(7, "other"));
    CHECK_FALSE(entry->accepted);
    CHECK(entry->field == "number");
  }
  SUBCASE("older than what is in force") {
    const AuditEntry* const entry = Fold(state, 2, TeamTicket(6, "coop", 99));
    CHECK_FALSE(entry->accepted);
    CHECK(entry->field == "teams[0]");
  }
  SUBCASE("one object of two is stale") {
    Ticket mixed = TeamTicket(6, "new-team");
    mixed.teams.push_back(TeamTicket(6, "coop", 99).teams[0]);
    const AuditEntry* const entry = Fold(state, 2, mixed);
    CHECK_FALSE(entry->accepted);
    CHECK(entry->field == "teams[1]");
  }
  CHECK(state.in_force == before);
  CHECK(state.numbers == std::set<TicketNumber>{7});
}

TEST_CASE("an older ticket may set an object that no newer ticket has set") {
  FleetState state;
  Fold(state, 1, TeamTicket(7, "coop"));
  CHECK(Fold(state, 2, TeamTicket(6, "orchard"))->accepted);
}

TEST_CASE("a ticket older than the removal of its object is rejected") {
  FleetState state;
  Fold(state, 1, TeamTicket(7, "coop"));
  Ticket removal = TeamTicket(9, "coop");
  removal.teams[0].removed = true;
  CHECK(Fold(state, 2, removal)->accepted);
  CHECK_FALSE(state.in_force.teams.contains("coop"));
  CHECK_FALSE(Fold(state, 3, TeamTicket(8, "coop"))->accepted);
  CHECK(Fold(state, 4, TeamTicket(10, "coop"))->accepted);
}

TEST_CASE("dropped ticket numbers are never accepted again") {
  FleetState state;
  Offset offset = 0;
  Ticket removal = TeamTicket(2, "gone");
  removal.teams[0].removed = true;
  Fold(state, ++offset, TeamTicket(1, "gone"));
  Fold(state, ++offset, removal);
  for (TicketNumber number = 3; number <= kMaxTicketNumbers + 1; ++number) {
    Fold(state, ++offset, TeamTicket(number, "coop"));
  }
  CHECK(state.numbers.size() == kMaxTicketNumbers / 2);
  CHECK(state.number_floor == kMaxTicketNumbers / 2 + 1);
  CHECK_FALSE(state.applied.contains("team/gone"));
  for (const TicketNumber number : {TicketNumber{1}, state.number_floor}) {
    CHECK_FALSE(Fold(state, ++offset, TeamTicket(number, "gone"))->accepted);
  }
  CHECK(state.audit.size() == kMaxAuditEntries);
}

TEST_CASE("a ticket refused before it was appended is only audited") {
  FleetState state;
  const AuditEntry* const entry =
      Fold(state, 1, RefusedTicket{"7", "kari", "", "teams[0]", "stale"});
  REQUIRE(entry != nullptr);
  CHECK_FALSE(entry->accepted);
  CHECK(entry->kind == "ticket");
  CHECK(entry->field == "teams[0]");
  CHECK(state.numbers.empty());
}

TEST_CASE("a record at or below the offset is skipped") {
  FleetState state = FleetOfThree();
  const FleetState before = state;
  CHECK(Fold(state, 3, Leave{11}) == nullptr);
  CHECK(state == before);
}

TEST_CASE("an unreadable record is counted and audited") {
  FleetState state;
  const AuditEntry* const entry = Fold(state, 1, Unreadable{});
  REQUIRE(entry != nullptr);
  CHECK(entry->kind == "unreadable");
  CHECK(state.unreadable == 1);
  CHECK(state.offset == 1);
}

TEST_CASE("a snapshot restores only an empty state") {
  const FleetState whole = FleetOfThree();
  const Snapshot snapshot{3, std::make_shared<const FleetState>(whole)};
  FleetState fresh;
  CHECK(Fold(fresh, 9, snapshot) == nullptr);
  CHECK(fresh == whole);
  FleetState ahead = FleetOfThree();
  Fold(ahead, 4, Leave{11});
  CHECK(Fold(ahead, 9, snapshot) == nullptr);
  CHECK(ahead.offset == 9);
  CHECK_FALSE(ahead.members.contains(11));
}

}  // namespace
}  // namespace celerykeel
