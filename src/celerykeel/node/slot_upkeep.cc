#include "celerykeel/node/slot_upkeep.h"

#include <algorithm>  // for std::all_of
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"            // for Now, WallNow
#include "celerykeel/core/abandoned_turns.h"  // for FindAbandonedTurns
#include "celerykeel/core/hand_over.h"        // for ShouldHandOver
#include "celerykeel/node/node.h"             // for Node
#include "celerykeel/node/slot_log.h"         // for Enqueue, MarkSlotLost
#include "celerykeel/node/store_client.h"     // for IsStoreAvailable

namespace celerykeel {

namespace {

// A quarter of the time for which a confirmation is valid.
constexpr Duration kConfirmInterval = kFreePartPeriod / 4;
constexpr Duration kProgramIdle = std::chrono::minutes(5);

// An instance of an older build that took the slot over would not count the
// second parts.
bool DoPeersCountCovers(const Node& node) {
  const Duration now = Now();
  return std::all_of(
      node.fleet.members.begin(), node.fleet.members.end(),
      [&](const auto& entry) {
        const auto state = node.peer_states.find(entry.first);
        return !HasRecentHeartbeat(entry.second, now) ||
               (state != node.peer_states.end() && state->second.counts_covers);
      });
}

void ConfirmSoon(Node& node, const HeldSlotPtr& slot) {
  if (slot->is_confirming) {
    return;
  }
  slot->is_confirming = true;
  Enqueue(node, slot, ClaimRecord{node.fleet.self, slot->epoch}, true,
          [slot](bool) { slot->is_confirming = false; });
}

void OpenCoverOf(Node& node, const HeldSlotPtr& slot) {
  slot->is_opening_cover = true;
  Enqueue(node, slot,
          ClaimRecord{node.fleet.self, slot->epoch, ClaimCover::kOpen}, true,
          [slot](bool durable) {
            if (!durable) {
              return;
            }
            OpenCover(slot->ledger);
            NotifyAllCovered(*slot);
          });
}

void EndCoverOf(Node& node, const HeldSlotPtr& slot) {
  const auto ignore = [](bool) {};  // the next holder then finds it open
  for (const SpendRecord& record : EndCover(slot->ledger)) {
    Enqueue(node, slot, record, false, ignore);
  }
  Enqueue(node, slot,
          ClaimRecord{node.fleet.self, slot->epoch, ClaimCover::kEnded}, false,
          ignore);
}

}  // namespace

bool MayActAsHolder(Node& node, const HeldSlotPtr& slot) {
  const Duration now = Now();
  if (slot->lost) {
    return false;
  }
  if (HearsMostMembers(node.fleet, now)) {
    return true;
  }
  // Renewed early, so that it does not run out between two requests.
  if (now >= slot->confirmed_at + kHoldConfirmationTime / 2) {
    ConfirmSoon(node, slot);
  }
  return now < slot->confirmed_at + kHoldConfirmationTime;
}

Task<bool> AwaitMayActAsHolder(Node& node, HeldSlotPtr slot, Duration timeout) {
  const Duration until = Now() + timeout;
  while (!MayActAsHolder(node, slot)) {
    constexpr Duration kStep = std::chrono::milliseconds(5);
    if (slot->lost || !IsStoreAvailable(node) || Now() + kStep > until) {
      co_return false;
    }
    co_await Sleep(node.io, kStep);
  }
  co_return true;
}

// The free parts of budgets are usable only for a limited time after the store
// has confirmed the slot. Confirming regularly keeps them usable at the start
// of an outage.
void ConfirmSlots(Node& node) {
  const Duration now = Now();
  for (const auto& [number, slot] : node.slots.held) {
    if (slot->active && !slot->writing &&
        now >= slot->confirmed_at + kConfirmInterval) {
      ConfirmSoon(node, slot);
    }
  }
}

void MaintainCovers(Node& node) {
  const Duration now = Now();
  const bool may_open = DoPeersCountCovers(node);
  for (const auto& [number, slot] : node.slots.held) {
    if (!slot->active || slot->lost) {
      continue;
    }
    if (may_open && !slot->is_opening_cover && !slot->was_released &&
        MayOpenCover(slot->ledger, now)) {
      OpenCoverOf(node, slot);
    } else if (MayEndCover(slot->ledger, now)) {
      EndCoverOf(node, slot);
    }
  }
}

void HandOverSlots(Node& node) {
  if (!node.store.unavailable) {
    return;
  }
  const Duration now = Now();
  std::vector<Duration> appended;
  for (const auto& [instance, state] : node.peer_states) {
    const auto member = node.fleet.members.find(instance);
    if (state.quick_append_at && state.store_reached &&
        member != node.fleet.members.end() &&
        HasRecentHeartbeat(member->second, now)) {
      appended.push_back(*state.quick_append_at);
    }
  }
  std::vector<HeldSlotPtr> given;
  for (const auto& [number, slot] : node.slots.held) {
    if (slot->active && !slot->lost &&
        ShouldHandOver(slot->append_began, node.store.answered_call_began_at,
                       appended, now)) {
      given.push_back(slot);
    }
  }
  for (const HeldSlotPtr& slot : given) {
    ++node.slots.handed_over;
    MarkSlotLost(node, slot, "handed over: peers reach the store");
  }
}

void AbandonTurns(Node& node) {
  const Duration now = Now();
  const auto is_in_touch = [&node, now](const TurnRelay& relay) {
    if (relay.instance == node.options.instance) {
      return relay.incarnation == node.incarnation;
    }
    const auto member = node.fleet.members.find(relay.instance);
    return member != node.fleet.members.end() &&
           member->second.incarnation == relay.incarnation &&
           HasRecentHeartbeat(member->second, now);
  };
  for (const auto& [number, slot] : node.slots.held) {
    if (!slot->active || slot->lost) {
      continue;
    }
    for (const AbandonedTurn& abandoned :
         FindAbandonedTurns(slot->ledger, is_in_touch, now)) {
      ++node.slots.abandoned_turns;
      WriteLog(node.log, LogLevel::kUnusual, "turn abandoned",
               {{"id", abandoned.turn},
                {"program", abandoned.program.id},
                {"slot", number}});
      const auto record = AbandonTurn(slot->ledger, abandoned);
      if (!record) {
        continue;
      }
      Enqueue(node, slot, *record, false,
              [slot, record, abandoned](bool durable) {
                if (durable) {
                  ApplyDurableCeiling(slot->ledger, *record);
                  FinishAbandonedTurn(slot->ledger, abandoned);
                  NotifyAllCovered(*slot);
                }
              });
    }
  }
}

void ExpireSlots(Node& node) {
  const Duration now = Now();
  const WallMillis wall = WallNow();
  for (auto& [number, slot] : node.slots.held) {
    if (!slot->active) {
      continue;  // its log is being replayed
    }
    Expire(slot->ledger, wall, now, kProgramIdle);
    ExpireOrigins(slot->origins, now);
    std::erase_if(slot->endpoints, [&slot = *slot](const auto& entry) {
      return !slot.ledger.programs.contains(entry.first);
    });
  }
}

}  // namespace celerykeel
