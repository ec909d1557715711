#include "celerykeel/core/abandoned_turns.h"

#include <utility>  // for std::pair

namespace celerykeel {

namespace {

RunningTurn* FindRunning(TurnLedger& ledger, const AbandonedTurn& abandoned) {
  const auto spend = ledger.programs.find(abandoned.program);
  if (spend == ledger.programs.end()) {
    return nullptr;
  }
  const auto turn = spend->second.running.find(abandoned.turn);
  return turn == spend->second.running.end() ? nullptr : &turn->second;
}

bool IsAbandoned(RunningTurn& turn, bool is_in_touch, Duration now) {
  if (is_in_touch) {
    turn.lost_at.reset();
  } else if (!turn.lost_at) {
    turn.lost_at = now;
  }
  return (turn.lost_at && now >= *turn.lost_at + kAbandonAfter) ||
         now >= turn.admitted_at + kLongestTurn;
}

}  // namespace

std::vector<AbandonedTurn> FindAbandonedTurns(
    TurnLedger& ledger,
    const std::function<bool(const TurnRelay&)>& is_in_touch,
    Duration now) {
  std::vector<AbandonedTurn> abandoned;
  for (auto& [program, spend] : ledger.programs) {
    for (auto& [id, turn] : spend.running) {
      const bool in_touch =
          turn.relay.instance.empty() || is_in_touch(turn.relay);
      if (IsAbandoned(turn, in_touch, now) && !turn.is_abandoned) {
        abandoned.push_back({program, id});
      }
    }
  }
  return abandoned;
}

// The slack may be used up only once the record that says so is durable: a
// successor without the record would grant it again.
std::optional<SpendRecord> AbandonTurn(TurnLedger& ledger,
                                       const AbandonedTurn& abandoned) {
  RunningTurn* const turn = FindRunning(ledger, abandoned);
  if (turn == nullptr || turn->is_abandoned) {
    return std::nullopt;
  }
  ProgramSpend& spend = ledger.programs[abandoned.program];
  if (spend.slack_used) {
    spend.spent += turn->max_tokens;
    spend.running.erase(abandoned.turn);
    return std::nullopt;
  }
  turn->is_abandoned = true;
  spend.slack_used = true;
  return RecordOf(abandoned.program, spend);
}

void FinishAbandonedTurn(TurnLedger& ledger, const AbandonedTurn& abandoned) {
  if (FindRunning(ledger, abandoned) != nullptr) {
    ledger.programs[abandoned.program].running.erase(abandoned.turn);
  }
}

}  // namespace celerykeel
