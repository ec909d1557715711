#include "celerykeel/core/slot_table.h"

#include <algorithm>  // for std::all_of, std::any_of, std::count_if
#include <tuple>      // for std::tuple

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

namespace {

// True if this instance hears more than half of the fleet, itself included.
// Otherwise it may be partitioned itself, and only the store shows whether a
// silent holder is live.
bool HearsMajority(const KnownFleet& fleet, Duration now) {
  size_t known = 0;
  size_t heard = 0;
  for (const auto& [instance, member] : fleet.members) {
    const bool alive_in_store =
        member.store_entry_changed_at &&
        now < *member.store_entry_changed_at + kStoreEntryTimeout;
    if (HasRecentHeartbeat(member, now)) {
      ++known;
      ++heard;
    } else if (alive_in_store && !member.refused && !member.leaving) {
      ++known;
    }
  }
  return 2 * (heard + 1) > known + 1;
}

// True if each member with a recent store entry was heard, has no process or is
// leaving.
bool HasHeardAllMembers(const KnownFleet& fleet, Duration now) {
  return std::all_of(
      fleet.members.begin(), fleet.members.end(), [now](const auto& entry) {
        const FleetMember& member = entry.second;
        const bool recent =
            member.store_entry_changed_at &&
            now < *member.store_entry_changed_at + kStoreEntryTimeout;
        return !recent || member.refused || member.leaving ||
               HasRecentHeartbeat(member, now);
      });
}

bool IsDead(const FleetMember& member, bool hears_majority, Duration now) {
  if (member.leaving) {
    return true;
  }
  if (HasRecentHeartbeat(member, now)) {
    return false;
  }
  const bool alive_in_store =
      member.store_entry_changed_at &&
      now < *member.store_entry_changed_at + kStoreEntryTimeout;
  return member.refused || hears_majority || !alive_in_store;
}

// A holder that does not reach the store itself can't confirm its slot, and
// would have to hand it over again. If no instance reaches the store, it is
// down for all, and any instance is as good. A slow link delays the replay: 8
// MB take 3 s at 22 Mbit/s.
std::optional<std::string> BestHolder(const KnownFleet& fleet,
                                      uint32_t slot,
                                      bool hears_majority,
                                      double fast_link_mbps,
                                      Duration now) {
  const std::string subject = "slot/" + std::to_string(slot);
  // The store is reached, the link is fast, the weight.
  using Rank = std::tuple<bool, bool, uint64_t>;
  std::string best = fleet.self;
  Rank highest{fleet.self_reaches_store, fleet.self_link_mbps >= fast_link_mbps,
               RendezvousWeight(subject, fleet.self)};
  for (const auto& [instance, member] : fleet.members) {
    if (IsDead(member, hears_majority, now) ||
        !HasRecentHeartbeat(member, now)) {
      continue;
    }
    if (const Rank rank{member.store_reached,
                        member.link_mbps >= fast_link_mbps,
                        RendezvousWeight(subject, instance)};
        rank > highest) {
      best = instance;
      highest = rank;
    }
  }
  return best;
}

}  // namespace

bool HasRecentHeartbeat(const FleetMember& member, Duration now) {
  return member.last_heartbeat_at &&
         now < *member.last_heartbeat_at + kHeartbeatTimeout;
}

bool RecordHolder(KnownFleet& fleet, uint32_t slot, const SlotHolder& holder) {
  if (slot >= fleet.slots.size() || holder.epoch <= fleet.slots[slot].epoch) {
    return false;
  }
  fleet.slots[slot] = holder;
  return true;
}

double FastLinkRate(const KnownFleet& fleet, Duration now) {
  constexpr double kFastFraction = 0.5;  // of the fastest link
  std::vector<double> rates{fleet.self_link_mbps};
  for (const auto& [instance, member] : fleet.members) {
    if (HasRecentHeartbeat(member, now) && !member.leaving) {
      rates.push_back(member.link_mbps);
    }
  }
  const double fast =
      kFastFraction * *std::max_element(rates.begin(), rates.end());
  const auto count = static_cast<size_t>(
      std::count_if(rates.begin(), rates.end(),
                    [fast](double rate) { return rate >= fast; }));
  return 2 * count >= fleet.slots.size() ? fast : 0;
}

std::vector<uint32_t> SlotsToTake(const KnownFleet& fleet, Duration now) {
  std::vector<uint32_t> slots;
  if (!fleet.members_read_at ||
      (now < *fleet.members_read_at + kInitialListenTime &&
       !HasHeardAllMembers(fleet, now))) {
    return slots;
  }
  const bool hears_majority = HearsMajority(fleet, now);
  const double fast_link_mbps = FastLinkRate(fleet, now);
  for (uint32_t slot = 0; slot < fleet.slots.size(); ++slot) {
    const SlotHolder& holder = fleet.slots[slot];
    if (holder.instance == fleet.self ||
        (holder.contested_until && now < *holder.contested_until)) {
      continue;
    }
    const auto member = fleet.members.find(holder.instance);
    const bool vacant = holder.epoch == 0 || member == fleet.members.end() ||
                        IsDead(member->second, hears_majority, now);
    if (vacant && BestHolder(fleet, slot, hears_majority, fast_link_mbps,
                             now) == fleet.self) {
      slots.push_back(slot);
    }
  }
  return slots;
}

bool MayRepeatClaim(const KnownFleet& fleet,
                    uint32_t slot,
                    uint64_t fencing_epoch,
                    bool is_first_claim) {
  return is_first_claim && fleet.slots[slot].epoch < fencing_epoch;
}

bool HearsMostMembers(const KnownFleet& fleet, Duration now) {
  size_t known = 1;
  size_t heard = 1;
  for (const auto& [instance, member] : fleet.members) {
    const bool is_heard = HasRecentHeartbeat(member, now);
    known += is_heard || !member.leaving ? 1 : 0;
    heard += is_heard ? 1 : 0;
  }
  return 2 * heard > known;
}

bool MayForgetMembers(const KnownFleet& fleet, Duration now) {
  return fleet.entries_read_at &&
         now < *fleet.entries_read_at + kStoreEntryTimeout;
}

bool HasLeavingMember(const KnownFleet& fleet) {
  return std::any_of(fleet.members.begin(), fleet.members.end(),
                     [](const auto& entry) { return entry.second.leaving; });
}

uint32_t SlotOfSubject(std::string_view team,
                       std::string_view subject,
                       uint32_t slots) {
  const uint64_t seed = XXH3_64bits(team.data(), team.size());
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(subject.data(), subject.size(), seed) % slots);
}

}  // namespace celerykeel
