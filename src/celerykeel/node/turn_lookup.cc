#include "celerykeel/node/turn_lookup.h"

#include <memory>   // for std::shared_ptr
#include <set>      // for std::set
#include <utility>  // for std::move
#include <vector>   // for std::vector

#include "celerykeel/base/clock.h"     // for Now
#include "celerykeel/node/node.h"      // for Node
#include "celerykeel/node/slot_log.h"  // for Enqueue

namespace celerykeel {

namespace {

constexpr Duration kConfirmTimeout = std::chrono::milliseconds(400);
constexpr Duration kLookupTimeout = std::chrono::milliseconds(500);
// While a long history arrives.
constexpr Duration kMaxLookupTime = std::chrono::seconds(2);

struct Confirmation {
  uint32_t slot = 0;
  std::shared_ptr<Promise<bool>> is_held;
};

// Appends another claim record to each slot held here. It becomes durable only
// if no other instance has taken the slot.
std::vector<Confirmation> StartConfirmations(Node& node) {
  std::vector<Confirmation> confirmations;
  for (const auto& [number, slot] : node.slots.held) {
    if (!slot->active || slot->lost) {
      continue;
    }
    auto held = std::make_shared<Promise<bool>>(node.io);
    Enqueue(node, slot, ClaimRecord{node.fleet.self, slot->epoch}, true,
            [held](bool durable) { held->SetValue(durable); });
    confirmations.push_back({number, std::move(held)});
  }
  return confirmations;
}

// @return the slots that are confirmed in time.
Task<std::vector<uint32_t>> AwaitConfirmations(
    std::vector<Confirmation> confirmations,
    Duration until) {
  std::vector<uint32_t> slots;
  for (const Confirmation& confirmation : confirmations) {
    const auto is_held = co_await confirmation.is_held->Wait(until - Now());
    if (is_held.value_or(false)) {
      slots.push_back(confirmation.slot);
    }
  }
  co_return slots;
}

std::shared_ptr<const StoredTurn> FindInHeldSlots(const Node& node,
                                                  const std::string& team,
                                                  const std::string& turn) {
  for (const auto& [number, slot] : node.slots.held) {
    if (slot->active && !slot->lost) {
      if (auto found = FindTurn(slot->ledger, team, turn)) {
        return found;
      }
    }
  }
  return nullptr;
}

std::vector<PeerCallPtr> AskHolders(Node& node, const pb::TurnLookup& lookup) {
  std::set<std::string> holders;
  for (const SlotHolder& holder : node.fleet.slots) {
    holders.insert(holder.instance);
  }
  std::vector<PeerCallPtr> calls;
  for (const std::string& holder : holders) {
    const auto link = node.peers.links.find(holder);
    if (link == node.peers.links.end()) {
      continue;
    }
    pb::NodeFrame frame;
    *frame.mutable_lookup() = lookup;
    if (auto call =
            BeginCall(node.io, node.peers, link->second, std::move(frame))) {
      calls.push_back(std::move(call));
    }
  }
  return calls;
}

// Looks for a turn of another program, which may be in any slot. Only if the
// holders of all slots have replayed their logs and none has found the turn is
// it certain that the turn does not exist. All holders are asked at the same
// time, since each waits for the store.
Task<History> FindTurnInAllSlots(Node& node,
                                 const std::string& team,
                                 const std::string& turn) {
  History history;
  history.foreign = true;
  if (const auto stored = FindInHeldSlots(node, team, turn)) {
    history.known = true;
    history.found = true;
    history.text = ChainText(*stored);
    co_return history;
  }
  pb::TurnLookup lookup;
  lookup.set_team(team);
  lookup.set_turn(turn);
  const Duration began = Now();
  const std::vector<PeerCallPtr> calls = AskHolders(node, lookup);
  const std::vector<Confirmation> confirmations = StartConfirmations(node);
  std::set<uint32_t> searched;
  for (const PeerCallPtr& call : calls) {
    const Duration passed = Now() - began;
    auto answer = co_await AwaitAnswer(*call, kLookupTimeout - passed,
                                       kMaxLookupTime - passed);
    if (!answer || !answer->has_found()) {
      continue;
    }
    pb::TurnFound& found = *answer->mutable_found();
    if (found.found()) {
      history.known = true;
      history.found = true;
      history.text = std::move(*found.mutable_history());
      co_return history;
    }
    searched.insert(found.slots().begin(), found.slots().end());
  }
  const auto own =
      co_await AwaitConfirmations(confirmations, began + kConfirmTimeout);
  searched.insert(own.begin(), own.end());
  history.known = searched.size() == node.fleet.slots.size();
  co_return history;
}

}  // namespace

Task<History> FindHistory(Node& node,
                          HeldSlotPtr slot,
                          std::string team,
                          std::string turn) {
  if (turn.empty()) {
    co_return History{
        .known = true, .found = true, .foreign = false, .text = {}};
  }
  if (const auto stored = FindTurn(slot->ledger, team, turn)) {
    co_return History{.known = true,
                      .found = true,
                      .foreign = false,
                      .text = ChainText(*stored)};
  }
  co_return co_await FindTurnInAllSlots(node, team, turn);
}

// Another instance may have taken a slot without notice here and written turns
// since. A successful append shows that none has.
Task<pb::TurnFound> LookUpHeldSlots(Node& node, pb::TurnLookup lookup) {
  pb::TurnFound found;
  if (const auto turn = FindInHeldSlots(node, lookup.team(), lookup.turn())) {
    found.set_found(true);
    found.set_history(ChainText(*turn));
    co_return found;
  }
  const auto confirmed = co_await AwaitConfirmations(StartConfirmations(node),
                                                     Now() + kConfirmTimeout);
  for (const uint32_t slot : confirmed) {
    found.add_slots(slot);
  }
  co_return found;
}

}  // namespace celerykeel
