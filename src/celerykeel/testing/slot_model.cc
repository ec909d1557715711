#include "celerykeel/testing/slot_model.h"

#include <algorithm>  // for std::find_if
#include <cstddef>    // for std::ptrdiff_t
#include <iterator>   // for std::next
#include <utility>    // for std::move

namespace celerykeel::testing {

namespace {

const ProgramName kProgram{"orchard", "p1"};
constexpr Duration kNow = std::chrono::seconds(10);
constexpr WallMillis kWall = 1'000'000;

}  // namespace

void SlotModel::Apply(const SlotStep& step) {
  // The chosen instance, or the other one if that does not hold the slot.
  auto& chosen = this->holders[step.which % this->holders.size()];
  auto& other = this->holders[(step.which + 1) % this->holders.size()];
  auto& holder = chosen ? chosen : other;
  const uint32_t rest = step.which / 2;
  switch (step.kind) {
    case SlotStep::Kind::kClaim:
      this->Claim(step.which % this->holders.size());
      break;
    case SlotStep::Kind::kAdmit:
      if (holder) {
        this->Admit(*holder, rest);
      }
      break;
    case SlotStep::Kind::kAppend:
    case SlotStep::Kind::kAppendAnswerLost:
    case SlotStep::Kind::kAppendLost:
      this->Append(holder, step.kind);
      break;
    case SlotStep::Kind::kDeliver:
      this->DeliverTokens(rest);
      break;
    case SlotStep::Kind::kEnd:
      if (holder) {
        this->End(*holder, rest);
      }
      break;
    case SlotStep::Kind::kLookUpTurn:
      this->LookUpTurn(holder, rest);
      break;
    case SlotStep::Kind::kEndCover:
      if (holder) {
        this->EndCoverOf(*holder);
      }
      break;
    case SlotStep::Kind::kAbandon:
      if (holder) {
        this->Abandon(*holder, rest);
      }
      break;
    case SlotStep::Kind::kAdmitAgain:
      if (holder) {
        this->AdmitAgain(*holder, rest);
      }
      break;
    case SlotStep::Kind::kKill:
      holder.reset();
      break;
    case SlotStep::Kind::kPowerLoss:
      this->holders = {};
      this->turns.clear();
      break;
    case SlotStep::Kind::kStoreDown:
      this->store_available = false;
      break;
    case SlotStep::Kind::kStoreUp:
      this->store_available = true;
      break;
  }
  if (this->delivered > kBudget + this->sizes[0]) {
    this->violation =
        "more tokens than the budget plus the max tokens of one turn";
  }
}

bool SlotModel::IsFenced(const Holder& holder) const {
  return this->without != WithoutRule::kFence &&
         holder.epoch < this->store_epoch;
}

// Appends a claim with the next epoch and replays the log up to it. A lost
// answer to a claim is not simulated, since repeating the claim has the same
// effect.
void SlotModel::Claim(size_t instance) {
  if (!this->store_available || this->holders[instance]) {
    return;
  }
  Holder holder;
  const bool is_first = this->log.empty();
  holder.epoch = ++this->store_epoch;
  this->log.emplace_back(ClaimRecord{"i", holder.epoch});
  for (SlotRecord record : this->log) {
    if (auto* spend = std::get_if<SpendRecord>(&record);
        spend != nullptr && this->without == WithoutRule::kSlackOnce) {
      spend->slack_used = false;
    }
    Replay(holder.ledger, record);
  }
  if (this->without != WithoutRule::kAssumeSpent) {
    AssumeCeilingSpent(holder.ledger, is_first, kNow);
  }
  if (this->without == WithoutRule::kChargeFreePart) {
    holder.ledger.unknown_programs_until = {};
    for (auto& [program, spend] : holder.ledger.programs) {
      spend.free_part_charged = true;
    }
  }
  if (this->without == WithoutRule::kChargeSecondPart) {
    holder.ledger.has_open_cover = false;
  }
  if (!is_first) {
    this->Enqueue(holder, ClaimRecord{"i", holder.epoch, ClaimCover::kOpen},
                  "");
    if (this->without == WithoutRule::kDurableCover) {
      OpenCover(holder.ledger);
    }
  }
  this->holders[instance] = std::move(holder);
}

// A cover ends after the time within which each live program asks the new
// holder, so the program must have asked.
void SlotModel::EndCoverOf(Holder& holder) {
  const bool has_cover =
      holder.ledger.has_open_cover || holder.ledger.grants_second_part;
  const auto spend = holder.ledger.programs.find(kProgram);
  const bool has_asked =
      spend != holder.ledger.programs.end() && spend->second.budget > 0;
  if (!has_cover || (!has_asked && this->next_turn > 1)) {
    return;
  }
  for (const SpendRecord& record : EndCover(holder.ledger)) {
    if (this->without != WithoutRule::kRecordsBeforeCoverEnd) {
      this->Enqueue(holder, record, "");
    }
  }
  this->Enqueue(holder, ClaimRecord{"i", holder.epoch, ClaimCover::kEnded}, "");
}

// The holder takes the relay of a running turn for gone. The turn may have
// delivered its tokens, or may still do so.
void SlotModel::Abandon(Holder& holder, uint32_t which) {
  const auto spend = holder.ledger.programs.find(kProgram);
  if (spend == holder.ledger.programs.end() || spend->second.running.empty()) {
    return;
  }
  const auto running = std::next(
      spend->second.running.begin(),
      static_cast<std::ptrdiff_t>(which % spend->second.running.size()));
  const AbandonedTurn abandoned{kProgram, running->first};
  if (this->without == WithoutRule::kAbandonOnce) {
    spend->second.slack_used = false;
  }
  if (const auto record = AbandonTurn(holder.ledger, abandoned)) {
    holder.queue.push_back({*record, "", abandoned.turn});
    if (this->without == WithoutRule::kDurableAbandon) {
      FinishAbandonedTurn(holder.ledger, abandoned);
    }
  }
}

void SlotModel::Enqueue(Holder& holder,
                        SlotRecord record,
                        std::string completes_turn) {
  holder.queue.push_back({std::move(record), std::move(completes_turn), ""});
}

void SlotModel::AnnounceCovered(const Holder& holder) {
  const auto spend = holder.ledger.programs.find(kProgram);
  if (spend == holder.ledger.programs.end() ||
      !IsCovered(holder.ledger, spend->second, true)) {
    return;
  }
  for (Turn& turn : this->turns) {
    turn.covered = turn.covered || spend->second.running.contains(turn.id);
  }
}

bool SlotModel::IsRetained(uint32_t which) const {
  return this->kinds == TurnKinds::kRetained ||
         (this->kinds == TurnKinds::kMixed && which % 2 == 1);
}

void SlotModel::Admit(Holder& holder, uint32_t which) {
  const std::string id = "t" + std::to_string(this->next_turn);
  const uint64_t most = this->sizes[which % this->sizes.size()];
  const bool has_small_budget =
      this->kinds == TurnKinds::kMixed && which / 2 % 2 == 1;
  const bool is_retained = this->IsRetained(which);
  const TurnRequest request{.program = kProgram,
                            .turn = id,
                            .most_tokens = most,
                            .budget = has_small_budget ? kSmallBudget : kBudget,
                            .is_retained = is_retained};
  if (!AdmitTurn(holder.ledger, request, kNow)) {
    return;
  }
  if (this->without == WithoutRule::kFreePartOnce) {
    holder.ledger.programs[kProgram].is_inherited = false;
    holder.ledger.programs[kProgram].slack_used = false;
  }
  if (this->without == WithoutRule::kSecondPartLimit) {
    holder.ledger.programs[kProgram].second_part = kBudget;
  }
  ++this->next_turn;
  this->turns.push_back({.id = id, .most = most, .is_retained = is_retained});
  if (const auto record = RaiseCeiling(holder.ledger, kProgram, true)) {
    this->Enqueue(holder, *record, "");
  }
  this->AnnounceCovered(holder);
}

// A request for the admission of a turn was repeated, and the repetition is
// processed after the turn's end. Nobody reports the end once more.
void SlotModel::AdmitAgain(Holder& holder, uint32_t which) {
  if (holder.ended.empty()) {
    return;
  }
  const Turn& turn = holder.ended[which % holder.ended.size()];
  if (this->without == WithoutRule::kRefuseEnded) {
    holder.ledger.ended = {};
  }
  const TurnRequest request{.program = kProgram,
                            .turn = turn.id,
                            .most_tokens = turn.most,
                            .budget = kBudget,
                            .is_retained = turn.is_retained};
  if (AdmitTurn(holder.ledger, request, kNow)) {
    this->violation = "a turn that has ended holds budget";
  }
}

void SlotModel::Append(std::optional<Holder>& holder, SlotStep::Kind how) {
  if (!holder || holder->queue.empty()) {
    return;
  }
  const bool arrives = this->store_available &&
                       how != SlotStep::Kind::kAppendLost && !holder->appended;
  if (this->store_available && this->IsFenced(*holder)) {
    holder.reset();
    return;
  }
  if (arrives) {
    this->log.push_back(holder->queue.front().record);
    holder->appended = true;
  }
  const bool answered = this->store_available && how == SlotStep::Kind::kAppend;
  if (answered || this->without == WithoutRule::kSameSequence) {
    this->Finish(*holder);
  }
}

void SlotModel::Finish(Holder& holder) {
  const Pending pending = std::move(holder.queue.front());
  holder.queue.pop_front();
  holder.appended = false;
  if (const auto* spend = std::get_if<SpendRecord>(&pending.record)) {
    ApplyDurableCeiling(holder.ledger, *spend);
    FinishAbandonedTurn(holder.ledger, {kProgram, pending.abandons_turn});
    this->AnnounceCovered(holder);
  } else if (const auto* claim = std::get_if<ClaimRecord>(&pending.record)) {
    if (claim->cover == ClaimCover::kOpen) {
      OpenCover(holder.ledger);
      this->AnnounceCovered(holder);
    }
  } else {
    Replay(holder.ledger, pending.record);
  }
  // The turn is missing if a power loss ended its instance.
  const auto turn = std::find_if(
      this->turns.begin(), this->turns.end(),
      [&pending](const Turn& one) { return one.id == pending.completes_turn; });
  if (turn != this->turns.end()) {
    this->complete_turns.push_back(turn->id);
    this->turns.erase(turn);
  }
}

void SlotModel::DeliverTokens(uint32_t which) {
  if (this->turns.empty()) {
    return;
  }
  Turn& turn = this->turns[which % this->turns.size()];
  if (turn.delivered ||
      (!turn.covered && this->without != WithoutRule::kCover)) {
    return;
  }
  turn.delivered = true;
  this->delivered += turn.most;
}

// The relaying instance reports the end to the current holder of the slot.
void SlotModel::End(Holder& holder, uint32_t which) {
  if (this->turns.empty()) {
    return;
  }
  const auto chosen = this->turns.begin() +
                      static_cast<std::ptrdiff_t>(which % this->turns.size());
  Turn& turn = *chosen;
  if (turn.ending) {
    return;
  }
  turn.ending = true;
  const uint64_t used = turn.delivered ? turn.most : 0;
  if (const auto spend =
          SettleTurn(holder.ledger, kProgram, turn.id, used, turn.most, kNow)) {
    this->Enqueue(holder, *spend, "");
  }
  holder.ended.push_back(turn);
  this->AnnounceCovered(holder);
  if (!turn.delivered || !turn.is_retained) {
    this->turns.erase(chosen);
    return;
  }
  const TurnRecord record{.program = kProgram,
                          .turn = turn.id,
                          .previous = {},
                          .base = {},
                          .input = "in",
                          .output = "out",
                          .ended_at = kWall,
                          .expires_at = 2 * kWall,
                          .spent = holder.ledger.programs[kProgram].spent};
  if (this->without == WithoutRule::kDurableEnd) {
    this->complete_turns.push_back(turn.id);
  }
  this->Enqueue(holder, record, turn.id);
}

void SlotModel::LookUpTurn(std::optional<Holder>& holder, uint32_t which) {
  if (!holder || this->complete_turns.empty()) {
    return;
  }
  const std::string& id =
      this->complete_turns[which % this->complete_turns.size()];
  if (FindTurn(holder->ledger, kProgram.team, id) != nullptr) {
    return;
  }
  // Before a holder reports a turn as missing, an append must confirm that it
  // still holds the slot. Queued records are appended first.
  if (this->without != WithoutRule::kConfirm) {
    if (!this->store_available || !holder->queue.empty()) {
      return;
    }
    if (this->IsFenced(*holder)) {
      holder.reset();
      return;
    }
  }
  this->violation = "a turn with a complete answer is reported as missing";
}

}  // namespace celerykeel::testing
