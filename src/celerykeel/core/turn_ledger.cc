#include "celerykeel/core/turn_ledger.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

namespace celerykeel {

namespace {

uint64_t Running(const ProgramSpend& spend) {
  uint64_t tokens = 0;
  for (const auto& [id, turn] : spend.running) {
    tokens += turn.max_tokens;
  }
  return tokens;
}

// Number of turns reserved ahead, which let a program continue during an outage
// of the store. Reserved turns count as spent after a takeover, which is why
// there are few. A program with a free part needs them only beyond that part.
constexpr uint64_t kTurnsAhead = 3;
constexpr uint64_t kTurnsAheadBeyondFreePart = 1;
// Of one slot. 10 s at 400 turns a second.
constexpr size_t kMaxEnded = 4096;
// The free part is the budget divided by this. Programs of the known
// deployments use a fifth of their budgets at the median, and less than the
// free part in three of four cases.
constexpr uint64_t kFreePartDivisor = 3;
// The second part is the budget divided by this: a turn of three in four
// programs fits in, and a program that was charged both parts has a third left.
constexpr uint64_t kSecondPartDivisor = 3;
// Between the clocks of successive holders, whose records follow each other.
constexpr WallMillis kMaxClockDifference = 10000;

uint64_t TargetCeiling(const ProgramSpend& spend) {
  const uint64_t used = spend.spent + Running(spend);
  const uint64_t ahead =
      spend.is_inherited ? kTurnsAhead : kTurnsAheadBeyondFreePart;
  return std::max(std::min(used + ahead * spend.largest, spend.budget), used);
}

bool IsInFreePart(const ProgramSpend& spend,
                  uint64_t tokens,
                  bool is_confirmed) {
  const uint64_t slack = spend.slack_used ? 0 : spend.largest;
  return is_confirmed && !spend.is_inherited &&
         tokens <= spend.free_part + slack;
}

// The second part follows the free part that an earlier holder may have
// granted, which is charged. The slack was used with that.
bool IsInSecondPart(const TurnLedger& ledger,
                    const ProgramSpend& spend,
                    uint64_t tokens,
                    bool is_confirmed) {
  return is_confirmed && ledger.grants_second_part && spend.is_inherited &&
         tokens <= spend.free_part + spend.second_part;
}

ProgramSpend& FindOrAddSpend(TurnLedger& ledger,
                             const ProgramName& program,
                             Duration now) {
  const auto [found, is_new] = ledger.programs.try_emplace(program);
  if (is_new) {
    found->second.is_inherited = now < ledger.unknown_programs_until;
  }
  return found->second;
}

// Counts the free part that an earlier holder may have granted as spent, and
// the second part if a cover was open. The free part included the slack of one
// turn.
void ChargeInheritedParts(const TurnLedger& ledger, ProgramSpend& spend) {
  if (spend.is_inherited && !spend.free_part_charged) {
    spend.free_part_charged = true;
    spend.slack_used = true;
    const uint64_t second = ledger.has_open_cover ? spend.second_part : 0;
    spend.spent = std::max(spend.spent, spend.free_part + second);
  }
}

void ForgetOldestEnd(EndedTurns& ended) {
  ended.turns.erase(ended.by_time.front().second);
  ended.by_time.pop_front();
}

void ReplayClaim(TurnLedger& ledger, const ClaimRecord& record) {
  if (record.cover != ClaimCover::kUnchanged) {
    ledger.has_open_cover = record.cover == ClaimCover::kOpen;
  }
}

void ReplaySpend(TurnLedger& ledger, const SpendRecord& record) {
  ProgramSpend& spend = ledger.programs[record.program];
  // Only one holder writes at a time, and its newest record is the one in
  // force.
  spend.spent = record.spent;
  spend.ceiling = record.ceiling;
  spend.requested_ceiling = spend.ceiling;
  spend.largest = std::max(spend.largest, record.largest);
  spend.slack_used = spend.slack_used || record.slack_used;
}

void ReplayTurn(TurnLedger& ledger, const TurnRecord& record) {
  // The records of a program without a budget carry no spent tokens.
  if (record.spent > 0) {
    ProgramSpend& spend = ledger.programs[record.program];
    spend.spent = std::max(spend.spent, record.spent);
  }
  auto turn = std::make_shared<StoredTurn>();
  turn->text = record.base + record.input + record.output;
  turn->expires_at = record.expires_at;
  turn->oldest_record = record.ended_at;
  if (!record.previous.empty()) {
    turn->previous =
        FindPrevious(ledger, record.program.team, record.turn, record.previous);
    if (turn->previous == nullptr) {
      return;  // the previous turns have expired, and with them this turn
    }
    turn->oldest_record = turn->previous->oldest_record;
  }
  ledger.turns[{record.program.team, record.turn}] = std::move(turn);
}

}  // namespace

SpendRecord RecordOf(const ProgramName& program, const ProgramSpend& spend) {
  return {.program = program,
          .spent = spend.spent,
          .ceiling = spend.requested_ceiling,
          .largest = spend.largest,
          .slack_used = spend.slack_used};
}

void Replay(TurnLedger& ledger, const SlotRecord& record) {
  if (const auto* spend = std::get_if<SpendRecord>(&record)) {
    ReplaySpend(ledger, *spend);
  } else if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
    ReplayClaim(ledger, *claim);
  } else if (const auto* turn = std::get_if<TurnRecord>(&record)) {
    ReplayTurn(ledger, *turn);
  }
}

void ExpireReplayed(TurnLedger& ledger, WallMillis written_at) {
  std::erase_if(ledger.turns, [written_at](const auto& entry) {
    return entry.second->expires_at + kMaxClockDifference < written_at;
  });
}

// The previous holder may have let callers receive all tokens up to the
// ceiling. The max tokens of one turn are not counted: the last turn seldom
// uses all of its tokens, and a program may exceed its budget by the max tokens
// of one turn. This slack is granted only once, since the excess of several
// takeovers would add up.
void AssumeCeilingSpent(TurnLedger& ledger, bool is_first, Duration now) {
  ledger.unknown_programs_until = is_first ? now : now + kUnknownProgramPeriod;
  for (auto& [program, spend] : ledger.programs) {
    spend.used_at = now;
    spend.is_inherited = true;
    const uint64_t slack = spend.slack_used ? 0 : spend.largest;
    const uint64_t assumed = spend.ceiling - std::min(spend.ceiling, slack);
    spend.slack_used = spend.slack_used || spend.ceiling > spend.spent;
    spend.spent = std::max(spend.spent, assumed);
    spend.ceiling = 0;
    spend.requested_ceiling = 0;
  }
}

bool MayOpenCover(const TurnLedger& ledger, Duration now) {
  return !ledger.has_open_cover && !ledger.grants_second_part &&
         now < ledger.unknown_programs_until;
}

void OpenCover(TurnLedger& ledger) {
  ledger.grants_second_part = true;
}

bool MayEndCover(const TurnLedger& ledger, Duration now) {
  return (ledger.has_open_cover || ledger.grants_second_part) &&
         now >= ledger.unknown_programs_until;
}

// Programs that were charged but got no record since would be charged less by a
// successor that finds the cover ended.
std::vector<SpendRecord> EndCover(TurnLedger& ledger) {
  ledger.has_open_cover = false;
  ledger.grants_second_part = false;
  std::vector<SpendRecord> records;
  for (const auto& [program, spend] : ledger.programs) {
    if (spend.is_inherited && spend.free_part_charged) {
      records.push_back(RecordOf(program, spend));
    }
  }
  return records;
}

tl::expected<void, BudgetShortfall> AdmitTurn(TurnLedger& ledger,
                                              const TurnRequest& request,
                                              Duration now) noexcept {
  ProgramSpend& spend = FindOrAddSpend(ledger, request.program, now);
  spend.used_at = now;
  spend.budget = request.budget;
  spend.free_part = request.is_retained ? 0 : request.budget / kFreePartDivisor;
  spend.second_part = request.budget / kSecondPartDivisor;
  ChargeInheritedParts(ledger, spend);
  if (spend.running.contains(request.turn)) {
    return {};
  }
  if (HasEnded(ledger, request.program.team, request.turn)) {
    return tl::unexpected(BudgetShortfall::kEnded);
  }
  if (spend.spent + request.most_tokens > request.budget) {
    return tl::unexpected(BudgetShortfall::kSpent);
  }
  if (spend.spent + Running(spend) + request.most_tokens > request.budget) {
    return tl::unexpected(BudgetShortfall::kHeld);
  }
  spend.running[request.turn] = {.max_tokens = request.most_tokens,
                                 .relay = request.relay,
                                 .admitted_at = now,
                                 .lost_at = {}};
  spend.largest = std::max(spend.largest, request.most_tokens);
  return {};
}

bool IsCovered(const TurnLedger& ledger,
               const ProgramSpend& spend,
               bool is_confirmed) {
  const uint64_t tokens = spend.spent + Running(spend);
  return tokens <= spend.ceiling || IsInFreePart(spend, tokens, is_confirmed) ||
         IsInSecondPart(ledger, spend, tokens, is_confirmed);
}

std::optional<SpendRecord> RaiseCeiling(TurnLedger& ledger,
                                        const ProgramName& program,
                                        bool is_confirmed) noexcept {
  ProgramSpend& spend = ledger.programs[program];
  const uint64_t wanted = TargetCeiling(spend);
  if (wanted <= spend.requested_ceiling ||
      IsInFreePart(spend, wanted, is_confirmed)) {
    return std::nullopt;
  }
  spend.requested_ceiling = wanted;
  return RecordOf(program, spend);
}

void ApplyDurableCeiling(TurnLedger& ledger,
                         const SpendRecord& record) noexcept {
  const auto found = ledger.programs.find(record.program);
  if (found != ledger.programs.end()) {
    // A newer record in flight may have lowered the ceiling already.
    found->second.ceiling =
        std::min(record.ceiling, found->second.requested_ceiling);
  }
}

void RecordEnded(TurnLedger& ledger,
                 const std::string& team,
                 const std::string& turn,
                 Duration now) noexcept {
  EndedTurns& ended = ledger.ended;
  if (!ended.turns.emplace(team, turn).second) {
    return;
  }
  ended.by_time.push_back({now, {team, turn}});
  if (ended.by_time.size() > kMaxEnded) {
    ForgetOldestEnd(ended);
  }
}

bool HasEnded(const TurnLedger& ledger,
              const std::string& team,
              const std::string& turn) {
  return ledger.ended.turns.contains({team, turn});
}

std::optional<SpendRecord> SettleTurn(TurnLedger& ledger,
                                      const ProgramName& program,
                                      const std::string& turn,
                                      uint64_t used,
                                      uint64_t most_tokens,
                                      Duration now) noexcept {
  ProgramSpend& spend = FindOrAddSpend(ledger, program, now);
  spend.used_at = now;
  spend.largest = std::max(spend.largest, most_tokens);
  RecordEnded(ledger, program.team, turn, now);
  if (spend.running.erase(turn) > 0) {
    spend.spent += used;
  }
  if (spend.requested_ceiling == 0) {
    return std::nullopt;
  }
  // Lowers the ceiling by the tokens that the turn did not use. Otherwise a
  // takeover would count them as spent.
  spend.requested_ceiling = TargetCeiling(spend);
  spend.ceiling = std::min(spend.ceiling, spend.requested_ceiling);
  return RecordOf(program, spend);
}

std::shared_ptr<const StoredTurn> FindTurn(const TurnLedger& ledger,
                                           const std::string& team,
                                           const std::string& turn) {
  const auto found = ledger.turns.find({team, turn});
  return found == ledger.turns.end() ? nullptr : found->second;
}

void HoldChain(TurnLedger& ledger,
               const std::string& team,
               const std::string& turn,
               const std::string& previous,
               Duration now) {
  if (auto found = FindPrevious(ledger, team, turn, previous)) {
    ledger.continued[{team, turn}] = {.previous = std::move(found),
                                      .admitted_at = now};
  }
}

void ReleaseChain(TurnLedger& ledger,
                  const std::string& team,
                  const std::string& turn) {
  ledger.continued.erase({team, turn});
}

std::shared_ptr<const StoredTurn> FindPrevious(const TurnLedger& ledger,
                                               const std::string& team,
                                               const std::string& turn,
                                               const std::string& previous) {
  if (auto found = FindTurn(ledger, team, previous)) {
    return found;
  }
  const auto held = ledger.continued.find({team, turn});
  return held == ledger.continued.end() ? nullptr : held->second.previous;
}

std::string ChainText(const StoredTurn& turn) {
  std::vector<const StoredTurn*> chain;
  size_t size = 0;
  for (const StoredTurn* link = &turn; link != nullptr;
       link = link->previous.get()) {
    chain.push_back(link);
    size += link->text.size();
  }
  std::string text;
  text.reserve(size);
  for (auto link = chain.rbegin(); link != chain.rend(); ++link) {
    text += (*link)->text;
  }
  return text;
}

void Expire(TurnLedger& ledger, WallMillis wall, Duration now, Duration idle) {
  std::erase_if(ledger.turns, [wall](const auto& entry) {
    return entry.second->expires_at < wall;
  });
  std::erase_if(ledger.continued, [now, idle](const auto& entry) {
    return entry.second.admitted_at + idle < now;
  });
  while (!ledger.ended.by_time.empty() &&
         ledger.ended.by_time.front().first + kEndedTurnTime < now) {
    ForgetOldestEnd(ledger.ended);
  }
  std::erase_if(ledger.programs, [now, idle](const auto& entry) {
    const ProgramSpend& spend = entry.second;
    return spend.running.empty() && spend.used_at &&
           *spend.used_at + idle < now;
  });
}

}  // namespace celerykeel
