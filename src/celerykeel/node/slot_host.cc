#include "celerykeel/node/slot_host.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"          // for Now, WallNow
#include "celerykeel/node/node.h"           // for Node
#include "celerykeel/node/slot_log.h"       // for Enqueue
#include "celerykeel/node/stream_takeup.h"  // for RecordStreamBegan
#include "celerykeel/node/turn_lookup.h"    // for FindHistory

namespace celerykeel {

namespace {

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

namespace {

using TurnName = std::pair<std::string, std::string>;  // team and turn

// Longer than a lookup in all slots takes.
constexpr Duration kMaxAdmissionTime = std::chrono::seconds(3);

Task<pb::TurnGrant> Admit(Node& node,
                          HeldSlotPtr slot,
                          pb::TurnAdmission admission,
                          TurnRelay relay,
                          std::shared_ptr<AdmissionUnderWay> under_way) {
  const History history =
      co_await FindHistory(node, slot, admission.team(), admission.previous());
  // The turn may have been given up meanwhile.
  if (slot->lost ||
      HasEnded(slot->ledger, admission.team(), admission.turn())) {
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
    slot->uncovered.emplace(program, std::move(under_way->covered));
  }
  RaiseCeilingIfNeeded(node, slot, program, !is_covered);
  co_return grant;
}

// Waits for the decision on an earlier request for the same turn, which was
// slow and whose sender has given it up.
Task<pb::TurnGrant> AwaitAdmission(Node& node,
                                   std::shared_ptr<AdmissionUnderWay> under_way,
                                   std::function<void(bool)> covered) {
  if (under_way->repeated != nullptr) {
    under_way->repeated->SetValue(Verdict(pb::TurnGrant::NOT_HOLDER));
  }
  const auto decided = std::make_shared<Promise<pb::TurnGrant>>(node.io);
  under_way->repeated = decided;
  under_way->covered = std::move(covered);
  auto grant = co_await decided->Wait(kMaxAdmissionTime);
  co_return grant ? std::move(*grant) : Verdict(pb::TurnGrant::NOT_HOLDER);
}

}  // namespace

Task<pb::TurnGrant> AdmitAsHolder(Node& node,
                                  pb::TurnAdmission admission,
                                  TurnRelay relay,
                                  std::function<void(bool)> covered) {
  HeldSlotPtr slot = ActiveSlot(node, admission.slot());
  if (slot == nullptr) {
    co_return Verdict(pb::TurnGrant::NOT_HOLDER);
  }
  const TurnName turn{admission.team(), admission.turn()};
  if (const auto found = slot->admissions.find(turn);
      found != slot->admissions.end()) {
    co_return co_await AwaitAdmission(node, found->second, std::move(covered));
  }
  const auto under_way = std::make_shared<AdmissionUnderWay>();
  under_way->covered = std::move(covered);
  slot->admissions[turn] = under_way;
  pb::TurnGrant grant = co_await Admit(node, slot, std::move(admission),
                                       std::move(relay), under_way);
  slot->admissions.erase(turn);
  if (under_way->repeated != nullptr) {
    under_way->repeated->SetValue(std::move(grant));
    co_return Verdict(pb::TurnGrant::NOT_HOLDER);
  }
  co_return grant;
}

namespace {

// Queues the record of a retained turn, and then notifies all that wait for it.
void EnqueueTurn(Node& node,
                 const HeldSlotPtr& slot,
                 const TurnName& turn,
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
  const TurnName turn{end.team(), end.turn()};
  const auto written = std::make_shared<Promise<bool>>(node.io);
  const std::function<void(bool)> on_written = [written](bool durable) {
    written->SetValue(durable);
  };
  if (const auto found = slot->ending.find(turn); found != slot->ending.end()) {
    // Its record is queued already, and the tokens were counted.
    found->second.push_back(on_written);
    co_return co_await AwaitRecord(written);
  }
  RecordEnded(slot->ledger, end.team(), end.turn(), Now());
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
