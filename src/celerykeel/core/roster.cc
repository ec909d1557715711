#include "celerykeel/core/roster.h"

#include <algorithm>    // for std::find, std::min_element
#include <cstdio>       // for std::snprintf
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel {

namespace {

constexpr size_t kIncarnationDigits = 16;

// Returns the member of that name with the highest fence. An earlier
// incarnation may still be in the roster while its eviction is pending.
std::optional<Incarnation> CurrentIncarnation(const FleetState& state,
                                              std::string_view instance) {
  std::optional<Incarnation> current;
  Fence highest = 0;
  for (const auto& [incarnation, member] : state.members) {
    if (member.join.instance == instance && member.fence > highest) {
      current = incarnation;
      highest = member.fence;
    }
  }
  return current;
}

void RemoveOldestDeparted(std::map<Incarnation, DepartedMember>& departed) {
  const auto oldest = std::min_element(
      departed.begin(), departed.end(), [](const auto& a, const auto& b) {
        return a.second.departed_at < b.second.departed_at;
      });
  departed.erase(oldest);
}

void Depart(FleetState& state,
            Offset offset,
            Incarnation incarnation,
            bool evicted) {
  const auto found = state.members.find(incarnation);
  state.departed[incarnation] =
      DepartedMember{std::move(found->second), offset, evicted};
  state.members.erase(found);
  state.roster_version = offset;
  if (state.departed.size() > kMaxDepartedMembers) {
    RemoveOldestDeparted(state.departed);
  }
}

tl::unexpected<RosterRefusal> Refuse(RosterRefusal refusal) {
  return tl::unexpected<RosterRefusal>(std::move(refusal));
}

struct Render {
  std::string operator()(const AlreadyJoined& refusal) const {
    return "repeats the join at offset " + std::to_string(refusal.at);
  }
  std::string operator()(const AlreadyDeparted& refusal) const {
    return "this incarnation departed at offset " + std::to_string(refusal.at) +
           "; the instance has to join under a new one";
  }
  std::string operator()(const NotAMember& refusal) const {
    return "incarnation " + FormatIncarnation(refusal.incarnation) +
           " is no member";
  }
  std::string operator()(const UnnamedJoin&) const {
    return "the join gives no incarnation or no instance name";
  }
  std::string operator()(const ReplacesOtherInstance& refusal) const {
    return "would replace a member of instance " + refusal.instance;
  }
  std::string operator()(const StaleWitnessChange& refusal) const {
    return "change " + std::to_string(refusal.in_force) +
           " of the witnesses is in force";
  }
  std::string operator()(const TooFewVotes& refusal) const {
    return std::to_string(refusal.words) + " of the " +
           std::to_string(refusal.wanted) + " words needed";
  }
};

}  // namespace

bool IsLone(const Join& member) {
  return member.witnesses.size() <= 1;
}

bool MayVoteToEvict(const Join& member, std::string_view instance) {
  return instance != member.instance &&
         (IsLone(member) ||
          std::find(member.witnesses.begin(), member.witnesses.end(),
                    instance) != member.witnesses.end());
}

size_t VotesNeeded(const Join& evicted) {
  return evicted.witnesses.size() / 2 + 1;
}

// Votes are counted by instance name: two incarnations of one instance count
// once. The name of the evicted instance itself never counts. A lease holder
// counts itself among its witnesses. If its successor of the same name could
// vote, the lease majority and the eviction majority could have no witness in
// common.
size_t CountVotes(const FleetState& state,
                  const Member& member,
                  const std::vector<Incarnation>& words) {
  std::set<std::string_view> names;
  for (const Incarnation word : words) {
    const auto witness = state.members.find(word);
    if (witness == state.members.end()) {
      continue;
    }
    const std::string& name = witness->second.join.instance;
    if (MayVoteToEvict(member.join, name) &&
        CurrentIncarnation(state, name) == word) {
      names.insert(name);
    }
  }
  return names.size();
}

tl::expected<void, RosterRefusal> ApplyJoin(FleetState& state,
                                            Offset offset,
                                            const Join& join) {
  if (join.incarnation == 0 || join.instance.empty()) {
    return Refuse(UnnamedJoin{});
  }
  if (const auto found = state.members.find(join.incarnation);
      found != state.members.end()) {
    return Refuse(AlreadyJoined{found->second.fence});
  }
  if (const auto found = state.departed.find(join.incarnation);
      found != state.departed.end()) {
    return Refuse(AlreadyDeparted{found->second.departed_at});
  }
  if (const auto replaced = state.members.find(join.replaces);
      replaced != state.members.end()) {
    if (replaced->second.join.instance != join.instance) {
      return Refuse(ReplacesOtherInstance{replaced->second.join.instance});
    }
    // Marked as evicted: a process may act under the earlier incarnation until
    // its lease expires. A successor must wait as after an eviction. Only a
    // Leave record means that the instance has stopped.
    Depart(state, offset, join.replaces, /*evicted=*/true);
  }
  state.members[join.incarnation] = Member{join, offset};
  state.roster_version = offset;
  return {};
}

tl::expected<void, RosterRefusal> ApplyLeave(FleetState& state,
                                             Offset offset,
                                             const Leave& leave) {
  if (!state.members.contains(leave.incarnation)) {
    return Refuse(NotAMember{leave.incarnation});
  }
  Depart(state, offset, leave.incarnation, /*evicted=*/false);
  return {};
}

// Does not change the roster version, because the owners of programs stay the
// same.
tl::expected<void, RosterRefusal> ApplyWitnessChange(
    FleetState& state,
    const WitnessChange& change) {
  const auto found = state.members.find(change.incarnation);
  if (found == state.members.end()) {
    return Refuse(NotAMember{change.incarnation});
  }
  Join& join = found->second.join;
  if (change.number <= join.witnesses_number || change.witnesses.empty()) {
    return Refuse(StaleWitnessChange{join.witnesses_number});
  }
  join.witnesses = change.witnesses;
  join.witnesses_number = change.number;
  return {};
}

tl::expected<void, RosterRefusal> ApplyEvict(FleetState& state,
                                             Offset offset,
                                             const Evict& evict) {
  const auto found = state.members.find(evict.incarnation);
  if (found == state.members.end()) {
    return Refuse(NotAMember{evict.incarnation});
  }
  const size_t words = CountVotes(state, found->second, evict.words);
  if (const size_t needed = VotesNeeded(found->second.join); words < needed) {
    return Refuse(TooFewVotes{words, needed});
  }
  Depart(state, offset, evict.incarnation, /*evicted=*/true);
  return {};
}

std::string FormatIncarnation(Incarnation incarnation) {
  char digits[kIncarnationDigits + 1] = {};
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(incarnation));
  return digits;
}

std::string RenderRefusal(const RosterRefusal& refusal) {
  return std::visit(Render{}, refusal);
}

}  // namespace celerykeel
