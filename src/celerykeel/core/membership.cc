#include "celerykeel/core/membership.h"

#include <algorithm>  // for std::sort, std::count_if
#include <map>        // for std::map
#include <utility>    // for std::pair

#include "celerykeel/core/lease.h"       // for MajorityOf
#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

namespace {

constexpr size_t kSmallFleetWitnesses = 3;

// Instance names by zone, ordered by weight with the best last.
using ZoneRanks =
    std::map<std::string, std::vector<std::pair<uint64_t, std::string>>>;

ZoneRanks RankByZone(const FleetState& state,
                     std::string_view instance,
                     const std::set<std::string>& avoid) {
  const std::string subject = "witness/" + std::string(instance);
  std::map<std::string, std::string> zone_of;  // by distinct name
  for (const auto& [incarnation, member] : state.members) {
    const Join& join = member.join;
    if (join.instance != instance && !avoid.contains(join.instance)) {
      zone_of[join.instance] = join.availability_zone;
    }
  }
  ZoneRanks zones;
  for (const auto& [name, zone] : zone_of) {
    zones[zone].emplace_back(RendezvousWeight(subject, name), name);
  }
  for (auto& [zone, names] : zones) {
    std::sort(names.begin(), names.end());
  }
  return zones;
}

std::string TakeHighestWeight(
    std::vector<std::pair<uint64_t, std::string>>& names) {
  std::string best = std::move(names.back().second);
  names.pop_back();
  return best;
}

}  // namespace

size_t WitnessCountFor(size_t instances) {
  if (instances >= kMaxWitnesses) {
    return kMaxWitnesses;
  }
  return instances >= kSmallFleetWitnesses ? kSmallFleetWitnesses : 1;
}

std::set<std::string> MemberNames(const FleetState& state) {
  std::set<std::string> names;
  for (const auto& [incarnation, member] : state.members) {
    names.insert(member.join.instance);
  }
  return names;
}

std::vector<std::string> ChooseWitnesses(const FleetState& state,
                                         std::string_view instance,
                                         std::string_view availability_zone,
                                         const std::set<std::string>& avoid) {
  ZoneRanks zones = RankByZone(state, instance, avoid);
  std::vector<std::pair<uint64_t, std::string>> own_zone;
  if (auto own = zones.extract(std::string(availability_zone))) {
    own_zone = std::move(own.mapped());
  }
  size_t available = 1 + own_zone.size();
  for (const auto& [zone, names] : zones) {
    available += names.size();
  }
  const size_t wanted = WitnessCountFor(available);
  std::vector<std::string> chosen{std::string(instance)};
  while (chosen.size() < wanted) {
    const size_t before = chosen.size();
    for (auto& [zone, names] : zones) {
      if (!names.empty() && chosen.size() < wanted) {
        chosen.push_back(TakeHighestWeight(names));
      }
    }
    if (chosen.size() == before) {
      chosen.push_back(TakeHighestWeight(own_zone));
    }
  }
  return chosen;
}

// Unresponsive members count towards the wanted number until they have
// departed. Otherwise an instance that is cut off from all others would choose
// itself as its only witness, and nobody could evict it.
bool NeedsNewWitnesses(const FleetState& state,
                       const Join& own,
                       const std::set<std::string>& unusable) {
  std::set<std::string> usable = MemberNames(state);
  usable.insert(own.instance);
  const size_t wanted = WitnessCountFor(usable.size());
  for (const std::string& name : unusable) {
    usable.erase(name);
  }
  usable.insert(own.instance);
  if (WitnessCountFor(usable.size()) < wanted) {
    return false;
  }
  if (own.witnesses.size() != wanted) {
    return true;
  }
  const auto live = static_cast<size_t>(std::count_if(
      own.witnesses.begin(), own.witnesses.end(),
      [&](const std::string& name) { return usable.contains(name); }));
  return wanted > 1 && live <= MajorityOf(wanted);
}

Incarnation FindPredecessor(const FleetState& state, const Join& own) {
  Incarnation found = 0;
  Fence newest = 0;
  for (const auto& [incarnation, member] : state.members) {
    const Join& join = member.join;
    if (join.instance == own.instance &&
        join.steward_address == own.steward_address && member.fence > newest) {
      found = incarnation;
      newest = member.fence;
    }
  }
  return found;
}

bool IsNameTaken(const FleetState& state, const Join& own) {
  return std::any_of(state.members.begin(), state.members.end(),
                     [&](const auto& entry) {
                       const Join& join = entry.second.join;
                       return join.instance == own.instance &&
                              join.steward_address != own.steward_address;
                     });
}

}  // namespace celerykeel
