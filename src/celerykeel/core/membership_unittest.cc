#include "celerykeel/core/membership.h"

#include <doctest/doctest.h>

#include <map>     // for std::map
#include <string>  // for std::to_string

namespace celerykeel {
namespace {

// Returns `instances` members, assigned round-robin to `zones` availability
// zones.
FleetState Fleet(uint64_t instances, uint64_t zones) {
  FleetState state;
  for (uint64_t i = 0; i < instances; ++i) {
    Member member;
    member.fence = i + 1;
    member.join.incarnation = i + 1;
    member.join.instance = "instance-" + std::to_string(i);
    member.join.availability_zone = "zone-" + std::to_string(i % zones);
    member.join.steward_address = "127.0.0.1:" + std::to_string(9000 + i);
    state.members[member.join.incarnation] = member;
  }
  return state;
}

Join OwnJoin(FleetState& state, const std::set<std::string>& avoid = {}) {
  Join& own = state.members.at(1).join;
  own.witnesses =
      ChooseWitnesses(state, own.instance, own.availability_zone, avoid);
  return own;
}

TEST_CASE("witnesses are chosen from other availability zones first") {
  FleetState state = Fleet(13, 4);
  const Join own = OwnJoin(state);
  REQUIRE(own.witnesses.size() == kMaxWitnesses);
  CHECK(own.witnesses[0] == "instance-0");
  std::map<std::string, int> in_zone;
  for (const auto& [incarnation, member] : state.members) {
    for (const std::string& witness : own.witnesses) {
      in_zone[member.join.availability_zone] +=
          witness == member.join.instance ? 1 : 0;
    }
  }
  CHECK(in_zone["zone-0"] == 1);  // itself
  CHECK(in_zone["zone-1"] >= 1);
  CHECK(in_zone["zone-2"] >= 1);
  CHECK(in_zone["zone-3"] >= 1);
}

TEST_CASE("in a fleet of one or two an instance is its only witness") {
  FleetState one = Fleet(1, 1);
  CHECK(OwnJoin(one).witnesses == std::vector<std::string>{"instance-0"});
  FleetState two = Fleet(2, 2);
  CHECK(OwnJoin(two).witnesses.size() == 1);
  FleetState three = Fleet(3, 1);
  CHECK(OwnJoin(three).witnesses.size() == 3);
}

TEST_CASE("new witnesses are needed after fleet growth or witness failures") {
  FleetState state = Fleet(2, 2);
  Join own = OwnJoin(state);
  CHECK_FALSE(NeedsNewWitnesses(state, own, {}));
  state = Fleet(3, 3);
  CHECK(NeedsNewWitnesses(state, own, {}));

  state = Fleet(8, 4);
  own = OwnJoin(state);
  CHECK_FALSE(NeedsNewWitnesses(state, own, {}));
  CHECK_FALSE(NeedsNewWitnesses(state, own, {own.witnesses[1]}));
  const std::set<std::string> two{own.witnesses[1], own.witnesses[2]};
  CHECK(NeedsNewWitnesses(state, own, two));
  for (const std::string& witness : OwnJoin(state, two).witnesses) {
    CHECK_FALSE(two.contains(witness));
  }
}

TEST_CASE("an instance cut off from all others keeps its witnesses") {
  FleetState state = Fleet(3, 3);
  const Join own = OwnJoin(state);
  CHECK_FALSE(NeedsNewWitnesses(state, own, {"instance-1", "instance-2"}));
}

TEST_CASE(
    "a restarted instance replaces its earlier run, a process at another "
    "address may not") {
  const FleetState state = Fleet(3, 3);
  Join again = state.members.at(2).join;
  again.incarnation = 77;
  CHECK(FindPredecessor(state, again) == 2);
  CHECK_FALSE(IsNameTaken(state, again));
  again.steward_address = "127.0.0.1:9999";
  CHECK(FindPredecessor(state, again) == 0);
  CHECK(IsNameTaken(state, again));
}

}  // namespace
}  // namespace celerykeel
