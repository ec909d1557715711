#include "celerykeel/node/slot_host.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"          // for Now, WallNow
#include "celerykeel/node/node.h"           // for Node
#include "celerykeel/node/slot_log.h"       // for Enqueue
#include "celerykeel/node/stream_takeup.h"  // for RecordStreamBegan

namespace celerykeel {

namespace {

constexpr Duration kConfirmTimeout = std::chrono::milliseconds(400);
constexpr Duration kLookupTimeout = std::chrono::milliseconds(500);
// Allows for clock differences between instances and for callers whose next
// turn is late.
constexpr WallMillis kExpiryMargin = 10000;
constexpr uint32_t kMaxRememberedEndpoints = 20000;  // in a slot

pb::TurnGrant Verdict(pb::TurnGrant::Verdict verdict) {
  pb::TurnGrant grant;
  grant.set_verdict(verdict);
  return grant;
}

pb::TurnGrant::Verdict VerdictOf(BudgetShortfall reason) {
  switch (reason) {
    case BudgetShortfall::kSpent:
      return pb::TurnGrant::BUDGET_SPENT;
    case BudgetShortfall::kHeld:
      return pb::TurnGrant::BUDGET_HELD;
    case BudgetShortfall::kEnded:
      break;
  }
  return pb::TurnGrant::NOT_HOLDER;
}

bool IsConfirmed(const HeldSlot& slot) {
  return Now() < slot.confirmed_at + kFreePartPeriod;
}

void NotifyCovered(HeldSlot& slot, const ProgramName& program) {
  const auto spend = slot.ledger.programs.find(program);
  if (spend == slot.ledger.programs.end() ||
      !IsCovered(slot.ledger, spend->second, IsConfirmed(slot))) {
    return;
  }
  const auto [first, last] = slot.uncovered.equal_range(program);
  std::vector<std::function<void(bool)>> waiting;
  for (auto entry = first; entry != last; ++entry) {
    waiting.push_back(std::move(entry->second));
  }
  slot.uncovered.erase(first, last);
  for (const auto& covered : waiting) {
    covered(true);
  }
}

void RaiseCeilingIfNeeded(Node& node,
                          const HeldSlotPtr& slot,
                          const ProgramName& program,
                          bool urgent) {
  const auto record = RaiseCeiling(slot->ledger, program, IsConfirmed(*slot));
  if (!record) {
    return;
  }
  Enqueue(node, slot, *record, urgent, [slot, record](bool durable) {
    if (durable) {
      ApplyDurableCeiling(slot->ledger, *record);
      NotifyCovered(*slot, record->program);
    }
  });
}

}  // namespace

void NotifyAllCovered(HeldSlot& slot) {
  std::set<ProgramName> waiting;
  for (const auto& [program, covered] : slot.uncovered) {
    waiting.insert(program);
  }
  for (const ProgramName& program : waiting) {
    NotifyCovered(slot, program);
  }
}

namespace {

// Appends another claim record, which becomes durable only if no other instance
// has taken the slot.
std::shared_ptr<Promise<bool>> StartConfirm(Node& node,
                                            const HeldSlotPtr& slot) {
  auto held = std::make_shared<Promise<bool>>(node.io);
  Enqueue(node, slot, ClaimRecord{node.fleet.self, slot->epoch}, true,
          [held](bool durable) { held->SetValue(durable); });
  return held;
}

struct History {
  bool known = false;  // false: the turn may exist in a slot not searched
  bool found = false;
  bool foreign = false;  // found by a lookup in all slots
  std::string text;
};

// Looks for a turn of another program, which may be in any slot. Only if the
// holders of all slots have replayed their logs and none has found the turn is
// it certain that the turn does not exist.
Task<History> FindTurnInAllSlots(Node& node,
                                 const std::string& team,
                                 const std::string& turn) {
  History history;
  history.foreign = true;
  std::set<uint32_t> searched;
  pb::TurnLookup lookup;
  lookup.set_team(team);
  lookup.set_turn(turn);
  std::vector<pb::TurnFound> answers;
  answers.push_back(co_await LookUpHeldSlots(node, lookup));
  std::set<std::string> holders;
  for (const SlotHolder& holder : node.fleet.slots) {
    holders.insert(holder.instance);
  }
  for (const std::string& holder : holders) {
    const auto link = node.peers.links.find(holder);
    if (link == node.peers.links.end()) {
      continue;
    }
    pb::NodeFrame frame;
    *frame.mutable_lookup() = lookup;
    auto answer = co_await CallPeer(node.io, node.peers, link->second,
                                    std::move(frame), kLookupTimeout);
    if (answer && answer->has_found()) {
      answers.push_back(std::move(*answer->mutable_found()));
    }
  }
  for (pb::TurnFound& answer : answers) {
    searched.insert(answer.slots().begin(), answer.slots().end());
    if (answer.found()) {
      history.known = true;
      history.found = true;
      history.text = std::move(*answer.mutable_history());
      co_return history;
    }
  }
  history.known = searched.size() == node.fleet.slots.size();
  co_return history;
}

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

// @return nothing if the turn goes on from one that is not known here, and the
// end does not bring the chain's text.
std::optional<TurnRecord> MakeTurnRecord(const Node& node,
                                         const HeldSlot& slot,
                                         const pb::TurnEnd& end) {
  const WallMillis now = WallNow();
  TurnRecord record{
      .program = {end.team(), end.program()},
      .turn = end.turn(),
      .previous = end.previous(),
      .base = end.base(),
      .input = end.input(),
      .output = end.output(),
      .ended_at = now,
      .expires_at =
          now + static_cast<WallMillis>(end.retention_ms()) + kExpiryMargin,
      .spent = 0};
  if (const auto spend = slot.ledger.programs.find(record.program);
      spend != slot.ledger.programs.end()) {
    record.spent = spend->second.spent;
  }
  if (!record.base.empty()) {
    record.previous.clear();
    return record;
  }
  if (record.previous.empty()) {
    return record;
  }
  const auto previous =
      FindPrevious(slot.ledger, end.team(), end.turn(), end.previous());
  if (previous == nullptr) {
    return std::nullopt;
  }
  // This record repeats the chain's text if a replay may lack the previous
  // records: expired ones are dropped, and the store deletes old ones.
  const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(
      node.options.store_retention);
  if (previous->expires_at < now ||
      now - previous->oldest_record > retention.count() / 2) {
    record.base = ChainText(*previous);
    record.previous.clear();
  }
  return record;
}

}  // namespace

HeldSlotPtr ActiveSlot(const Node& node, uint32_t slot) {
  const auto found = node.slots.held.find(slot);
  return found != node.slots.held.end() && found->second->active &&
                 !found->second->lost
             ? found->second
             : nullptr;
}

// Another instance may have taken a slot without notice here and written turns
// since. A successful append shows that none has.
Task<pb::TurnFound> LookUpHeldSlots(Node& node, pb::TurnLookup lookup) {
  pb::TurnFound found;
  std::vector<std::pair<HeldSlotPtr, std::shared_ptr<Promise<bool>>>> asked;
  for (const auto& [number, slot] : node.slots.held) {
    if (!slot->active || slot->lost) {
      continue;
    }
    if (const auto turn =
            FindTurn(slot->ledger, lookup.team(), lookup.turn())) {
      found.set_found(true);
      found.set_history(ChainText(*turn));
      co_return found;
    }
    asked.emplace_back(slot, StartConfirm(node, slot));
  }
  for (const auto& [slot, held] : asked) {
    const auto confirmed = co_await held->Wait(kConfirmTimeout);
    if (confirmed.value_or(false)) {
      found.add_slots(slot->slot);
    }
  }
  co_return found;
}

Task<pb::TurnGrant> AdmitAsHolder(Node& node,
                                  pb::TurnAdmission admission,
                                  TurnRelay relay,
                                  std::function<void(bool)> covered) {
  HeldSlotPtr slot = ActiveSlot(node, admission.slot());
  if (slot == nullptr) {
    co_return Verdict(pb::TurnGrant::NOT_HOLDER);
  }
  const History history =
      co_await FindHistory(node, slot, admission.team(), admission.previous());
  if (slot->lost) {
    co_return Verdict(pb::TurnGrant::NOT_HOLDER);
  }
  if (!history.found) {
    co_return Verdict(history.known ? pb::TurnGrant::NO_SUCH_TURN
                                    : pb::TurnGrant::NOT_HOLDER);
  }
  if (admission.kept() && !history.foreign) {
    HoldChain(slot->ledger, admission.team(), admission.turn(),
              admission.previous(), Now());
  }
  pb::TurnGrant grant = Verdict(pb::TurnGrant::GRANTED);
  grant.set_history(history.text);
  grant.set_foreign(history.foreign);
  const ProgramName program{admission.team(), admission.program()};
  if (const auto endpoint = slot->endpoints.find(program);
      endpoint != slot->endpoints.end()) {
    grant.set_endpoint(endpoint->second);
  }
  if (const StreamOrigin* origin = FindOrigin(
          slot->origins, {admission.team(), admission.resumed_call()})) {
    grant.mutable_origin()->set_service(origin->service);
    grant.mutable_origin()->set_version(origin->version);
  }
  if (!admission.has_budget()) {
    grant.set_covered(true);
    co_return grant;
  }
  const TurnRequest request{.program = program,
                            .turn = admission.turn(),
                            .most_tokens = admission.most_tokens(),
                            .budget = admission.budget(),
                            .is_retained = admission.kept(),
                            .relay = std::move(relay)};
  if (const auto admitted = AdmitTurn(slot->ledger, request, Now());
      !admitted) {
    co_return Verdict(VerdictOf(admitted.error()));
  }
  const bool is_covered = IsCovered(
      slot->ledger, slot->ledger.programs[program], IsConfirmed(*slot));
  grant.set_covered(is_covered);
  if (!is_covered) {
    slot->uncovered.emplace(program, std::move(covered));
  }
  RaiseCeilingIfNeeded(node, slot, program, !is_covered);
  co_return grant;
}

namespace {

using EndedTurn = std::pair<std::string, std::string>;

// Queues the record of a retained turn, and then notifies all that wait for it.
void EnqueueTurn(Node& node,
                 const HeldSlotPtr& slot,
                 const EndedTurn& turn,
                 const TurnRecord& record) {
  Enqueue(node, slot, record, true, [slot, turn, record](bool durable) {
    if (durable) {
      Replay(slot->ledger, record);
      ReleaseChain(slot->ledger, record.program.team, record.turn);
    }
    if (const auto waiting = slot->ending.extract(turn); !waiting.empty()) {
      for (const auto& on_end : waiting.mapped()) {
        on_end(durable);
      }
    }
  });
}

Task<pb::TurnEndDone> AwaitRecord(std::shared_ptr<Promise<bool>> written) {
  constexpr Duration kLongest = std::chrono::seconds(30);
  const auto durable = co_await written->Wait(kLongest);
  pb::TurnEndDone done;
  done.set_durable(durable.value_or(false));
  done.set_not_holder(durable.has_value() && !*durable);
  co_return done;
}

}  // namespace

Task<pb::TurnEndDone> EndAsHolder(Node& node, pb::TurnEnd end) {
  pb::TurnEndDone done;
  HeldSlotPtr slot = ActiveSlot(node, end.slot());
  if (slot == nullptr) {
    done.set_not_holder(true);
    co_return done;
  }
  const ProgramName program{end.team(), end.program()};
  const EndedTurn turn{end.team(), end.turn()};
  const auto written = std::make_shared<Promise<bool>>(node.io);
  const std::function<void(bool)> on_written = [written](bool durable) {
    written->SetValue(durable);
  };
  if (const auto found = slot->ending.find(turn); found != slot->ending.end()) {
    // Its record is queued already, and the tokens were counted.
    found->second.push_back(on_written);
    co_return co_await AwaitRecord(written);
  }
  if (end.has_began()) {
    RecordStreamBegan(node, end.began());
  }
  if (!end.endpoint().empty() && !end.program().empty() &&
      slot->endpoints.size() < kMaxRememberedEndpoints) {
    slot->endpoints[program] = end.endpoint();
  }
  if (end.most_tokens() > 0) {
    const auto spend = SettleTurn(slot->ledger, program, end.turn(),
                                  end.used_tokens(), end.most_tokens(), Now());
    if (spend) {
      Enqueue(node, slot, *spend, false, [slot, spend](bool durable) {
        if (durable) {
          ApplyDurableCeiling(slot->ledger, *spend);
          NotifyCovered(*slot, spend->program);
        }
      });
    }
    NotifyCovered(*slot, program);
  }
  if (!end.kept() || FindTurn(slot->ledger, end.team(), end.turn())) {
    ReleaseChain(slot->ledger, end.team(), end.turn());
    done.set_durable(true);
    co_return done;
  }
  const std::optional<TurnRecord> record = MakeTurnRecord(node, *slot, end);
  if (!record) {
    done.set_needs_base(true);
    co_return done;
  }
  slot->ending[turn].push_back(on_written);
  EnqueueTurn(node, slot, turn, *record);
  co_return co_await AwaitRecord(written);
}

}  // namespace celerykeel
