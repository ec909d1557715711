#include "celerykeel/core/program_ledger.h"

#include <algorithm>  // for std::equal, std::max
#include <utility>    // for std::move

#include "celerykeel/core/ledger_turn.h"  // for Turn, Place

namespace celerykeel {

namespace ledger {

namespace {

constexpr uint64_t kBytesPerToken = 2;  // lower bound for common vocabularies
constexpr uint64_t kTokensPerMessage = 8;

bool ExtendsHistory(const std::vector<std::string>& whole,
                    const std::vector<std::string>& history) {
  return whole.size() > history.size() &&
         std::equal(history.begin(), history.end(), whole.begin());
}

// Returns the engine's last count of the history plus an upper bound for the
// messages added since.
uint64_t EstimatePrompt(const Program& program, const ActiveCall& call) {
  uint64_t tokens = program.history_tokens;
  for (size_t i = program.counted_messages; i < program.messages.size(); ++i) {
    tokens += EstimateTokens(program.messages[i]);
  }
  for (const std::string& message : call.new_messages) {
    tokens += EstimateTokens(message);
  }
  return tokens;
}

// `kShort`: the call does not fit until other reservations end.
enum class BudgetFit { kEnough, kShort, kExhausted };

// Checks whether the call fits into what used and reserved amounts leave of the
// budget. Reduces `max_tokens` to the remaining tokens if no other call holds
// a reservation.
BudgetFit CheckBudget(const ProgramFamily& family,
                      ActiveCall& call,
                      uint64_t default_max_tokens) {
  const Budget& budget = family.budget;
  if (budget.calls != 0 && family.calls_used >= budget.calls) {
    return BudgetFit::kExhausted;
  }
  if (budget.calls != 0 &&
      family.calls_used + family.calls_reserved >= budget.calls) {
    return BudgetFit::kShort;
  }
  CallSubmission& submission = call.submission;
  if (submission.work->kind != CallKind::kChat || budget.tokens == 0) {
    return BudgetFit::kEnough;
  }
  const uint64_t wanted =
      submission.max_tokens == 0 ? default_max_tokens : submission.max_tokens;
  const uint64_t needed = call.prompt_estimate + 1;
  if (family.tokens_used + needed > budget.tokens) {
    return BudgetFit::kExhausted;
  }
  const uint64_t left = budget.tokens - family.tokens_used;
  if (family.tokens_reserved != 0 &&
      family.tokens_reserved + call.prompt_estimate + wanted > left) {
    return BudgetFit::kShort;
  }
  submission.max_tokens =
      std::min(wanted, left - family.tokens_reserved - call.prompt_estimate);
  return BudgetFit::kEnough;
}

}  // namespace

ProgramName RootName(const ProgramName& name) {
  return {name.team, std::string(RootOf(name.id))};
}

Place Find(ProgramLedger& ledger, const ProgramName& name) {
  const auto family = ledger.families.find(RootName(name));
  if (family == ledger.families.end()) {
    return {};
  }
  const auto program = family->second.programs.find(name.id);
  if (program == family->second.programs.end()) {
    return {&family->second, nullptr};
  }
  return {&family->second, &program->second};
}

ActiveCall* FindActive(Place place, const CallKey& key) {
  if (!place || !place.program->active ||
      place.program->active->submission.key.call != key.call) {
    return nullptr;
  }
  return &*place.program->active;
}

void Refuse(Turn& turn, Waiter waiter, const Refusal& refusal) {
  turn.actions.emplace_back(RefuseCaller{waiter, refusal});
}

void RefuseAll(Turn& turn, const ActiveCall& call, const Refusal& refusal) {
  // An earlier attempt may have run even if the last one did not.
  Refusal told = refusal;
  told.ran = told.ran == Ran::kNo ? call.ran : told.ran;
  for (const Waiter waiter : call.waiters) {
    Refuse(turn, waiter, told);
  }
}

Refusal RefusalWithRetryAfter(const Turn& turn, RefusalType type, Ran ran) {
  return {.type = type,
          .ran = ran,
          .retry_after = turn.ledger.options.retry_after,
          .expected_call = 0};
}

bool IsSecondsBudgetExhausted(const ProgramFamily& family,
                              const EventContext& moment) {
  return family.budget.seconds != 0 &&
         moment.wall - family.started_at >=
             WallMillis{1000} * family.budget.seconds;
}

void ReserveAndQueue(Turn& turn, Place place) {
  ProgramFamily& family = *place.family;
  ActiveCall& call = *place.program->active;
  const BudgetFit room =
      IsSecondsBudgetExhausted(family, turn.moment)
          ? BudgetFit::kExhausted
          : CheckBudget(family, call, turn.ledger.options.default_max_tokens);
  if (room == BudgetFit::kExhausted) {
    RefuseAll(turn, call, {.type = RefusalType::kBudgetExhausted});
    turn.actions.emplace_back(ReleaseProgram{place.program->name});
    ClearActive(turn, place);
    return;
  }
  if (room == BudgetFit::kShort) {
    family.awaiting_budget.insert(place.program->name.id);
    return;
  }
  call.reserved = true;
  call.reserved_tokens =
      call.submission.work->kind == CallKind::kChat && family.budget.tokens != 0
          ? call.prompt_estimate + call.submission.max_tokens
          : 0;
  family.tokens_reserved += call.reserved_tokens;
  ++family.calls_reserved;
  turn.actions.emplace_back(
      QueueCall{call.submission.key, call.submission.work, call.avoid});
}

void SettleBudget(Turn& turn,
                  ProgramFamily& family,
                  ActiveCall& call,
                  uint64_t tokens) {
  if (!call.reserved) {
    return;
  }
  call.reserved = false;
  family.tokens_reserved -= call.reserved_tokens;
  --family.calls_reserved;
  family.tokens_used += tokens;
  ResumeCallsAwaitingBudget(turn, family);
}

void ResumeCallsAwaitingBudget(Turn& turn, ProgramFamily& family) {
  const std::set<std::string> ids = std::move(family.awaiting_budget);
  family.awaiting_budget.clear();
  for (const std::string& id : ids) {
    if (const auto program = family.programs.find(id);
        program != family.programs.end() && program->second.active) {
      ReserveAndQueue(turn, {&family, &program->second});
    }
  }
}

void BeginCall(Turn& turn, Place place, CallSubmission submission) {
  Program& program = *place.program;
  ActiveCall call;
  const bool is_chat = submission.work->kind == CallKind::kChat;
  if (is_chat && submission.whole_history) {
    if (!ExtendsHistory(submission.messages, program.messages)) {
      Refuse(turn, submission.waiter,
             {.type = RefusalType::kHistoryContradicts});
      return;
    }
    call.new_messages.assign(
        submission.messages.begin() +
            static_cast<std::ptrdiff_t>(program.messages.size()),
        submission.messages.end());
  } else {
    call.new_messages = submission.messages;
  }
  if (is_chat && call.new_messages.empty()) {
    Refuse(turn, submission.waiter, {.type = RefusalType::kBadRequest});
    return;
  }
  submission.messages.clear();
  call.waiters.push_back(submission.waiter);
  call.started_at = turn.moment.wall;
  call.submission = std::move(submission);
  call.prompt_estimate = is_chat ? EstimatePrompt(program, call) : 0;
  place.family->last_used_at = turn.moment.wall;
  program.active = std::move(call);
  ReserveAndQueue(turn, place);
}

void ClearActive(Turn& turn, Place place) {
  Program& program = *place.program;
  SettleBudget(turn, *place.family, *program.active, 0);
  place.family->awaiting_budget.erase(program.name.id);
  program.active.reset();
  for (auto& [number, waiting] : program.waiting) {
    waiting.until = turn.moment.now + turn.ledger.options.predecessor_timeout;
  }
  auto next = program.waiting.extract(program.next_call);
  while (!next.empty()) {
    CallSubmission submission = std::move(next.mapped().submission);
    if (program.active) {  // repeats the call that was just started
      program.active->waiters.push_back(submission.waiter);
      turn.actions.emplace_back(
          FollowCall{submission.waiter, program.active->submission.key});
    } else {
      BeginCall(turn, place, std::move(submission));
    }
    next = program.waiting.extract(program.next_call);
  }
}

}  // namespace ledger

using ledger::Place;
using ledger::Turn;

namespace {

ProgramFamily NewFamily(const Turn& turn, const ProgramName& root) {
  ProgramFamily family;
  family.root = root;
  family.budget = turn.ledger.options.default_budget;
  family.version = FirstVersion(turn.ledger.epoch);
  family.started_at = turn.moment.wall;
  family.last_used_at = turn.moment.wall;
  family.rewritten_at = turn.moment.wall;
  return family;
}

void SetBudget(ProgramFamily& family, const Budget& wanted) {
  Budget& budget = family.budget;
  budget.tokens = wanted.tokens != 0 ? wanted.tokens : budget.tokens;
  budget.calls = wanted.calls != 0 ? wanted.calls : budget.calls;
  budget.seconds = wanted.seconds != 0 ? wanted.seconds : budget.seconds;
}

Place FindOrCreate(Turn& turn, const CallSubmission& submission) {
  const ProgramName& name = submission.key.program;
  const ProgramName root = ledger::RootName(name);
  auto [family, is_new] =
      turn.ledger.families.try_emplace(root, NewFamily(turn, root));
  auto [program, is_new_program] = family->second.programs.try_emplace(name.id);
  program->second.name = name;
  // The first call of the root sets the budget, even if a sub-agent's call has
  // created the family.
  const bool is_first_of_root = name == root &&
                                program->second.next_call == 1 &&
                                submission.key.call == 1;
  if (is_new || (is_first_of_root && !program->second.active)) {
    SetBudget(family->second, submission.budget);
  }
  return {&family->second, &program->second};
}

void AnswerRepeatedCall(Turn& turn,
                        const ProgramFamily& family,
                        const CallSubmission& submission,
                        const std::shared_ptr<const CallRecord>& record) {
  if (record->digest != submission.digest) {
    ledger::Refuse(turn, submission.waiter,
                   {.type = RefusalType::kCallContradicts});
  } else if (record->state == CallState::kLost) {
    ledger::Refuse(
        turn, submission.waiter,
        {.type = RefusalType::kOutcomeUnknown, .ran = Ran::kUnknown});
  } else {
    turn.actions.emplace_back(
        AnswerCaller{.waiter = submission.waiter,
                     .record = record,
                     .replayed = true,
                     .durable = record->version <= family.appended_version});
  }
}

void JoinActive(Turn& turn,
                ActiveCall& call,
                const CallSubmission& submission) {
  if (call.submission.digest != submission.digest) {
    ledger::Refuse(turn, submission.waiter,
                   {.type = RefusalType::kCallContradicts});
    return;
  }
  call.waiters.push_back(submission.waiter);
  turn.actions.emplace_back(FollowCall{submission.waiter, submission.key});
}

void WaitForPredecessor(Turn& turn,
                        Program& program,
                        CallSubmission submission) {
  const uint32_t call = submission.key.call;
  if (call < program.next_call ||
      call - program.next_call > turn.ledger.options.max_calls_ahead) {
    ledger::Refuse(turn, submission.waiter,
                   {.type = RefusalType::kCallOutOfOrder,
                    .expected_call = program.next_call});
    return;
  }
  if (const auto same = program.waiting.find(call);
      same != program.waiting.end() &&
      same->second.submission.digest != submission.digest) {
    ledger::Refuse(turn, submission.waiter,
                   {.type = RefusalType::kCallContradicts});
    return;
  }
  const Duration until =
      turn.moment.now + turn.ledger.options.predecessor_timeout;
  program.waiting.emplace(call, WaitingCall{std::move(submission), until});
}

}  // namespace

uint64_t EstimateTokens(std::string_view message) {
  return message.size() / ledger::kBytesPerToken + ledger::kTokensPerMessage;
}

LedgerActions SubmitCall(ProgramLedger& ledger,
                         CallSubmission submission,
                         const EventContext& moment) {
  Turn turn{ledger, moment, {}};
  const Place place = FindOrCreate(turn, submission);
  Program& program = *place.program;
  const uint32_t call = submission.key.call;
  if (program.active && program.active->submission.key.call == call) {
    JoinActive(turn, *program.active, submission);
  } else if (const auto done = program.calls.find(call);
             done != program.calls.end()) {
    AnswerRepeatedCall(turn, *place.family, submission, done->second);
  } else if (program.ended) {
    ledger::Refuse(turn, submission.waiter,
                   {.type = RefusalType::kProgramEnded});
  } else if (call != program.next_call || program.active) {
    WaitForPredecessor(turn, program, std::move(submission));
  } else {
    ledger::BeginCall(turn, place, std::move(submission));
  }
  return std::move(turn.actions);
}

const Program* FindProgram(const ProgramLedger& ledger,
                           const ProgramName& name) {
  const auto family = ledger.families.find(ledger::RootName(name));
  if (family == ledger.families.end()) {
    return nullptr;
  }
  const auto program = family->second.programs.find(name.id);
  return program == family->second.programs.end() ? nullptr : &program->second;
}

}  // namespace celerykeel
