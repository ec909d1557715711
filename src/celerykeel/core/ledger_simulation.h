#pragma once

#include <algorithm>  // for std::find, std::max
#include <deque>      // for std::deque
#include <map>        // for std::map
#include <set>        // for std::set
#include <string>     // for std::string
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include "celerykeel/core/journal_replay.h"  // for Replay, ReplayedFamilies
#include "celerykeel/core/program_ledger.h"  // for ProgramLedger

namespace celerykeel {

/// @brief Mechanisms of the ledger that a test can disable.
struct Mutation {
  bool skip_intents = false;  // calls are sent before their intent is logged
  bool answer_before_append = false;  // answers are sent before they are logged
  bool accept_late_results =
      false;  // a late result is applied to the active call
  bool ignore_reservations = false;  // the budget counts only used tokens
  bool ignore_lease = false;
  bool ignore_order = false;  // calls run in order of arrival
  bool ignore_epoch = false;  // versions do not distinguish owners
};

/// @brief Simulates successive owners with their journals, endpoints and
/// callers, driven by random numbers. Checks the properties at each step.
class LedgerSimulation {
 public:
  explicit LedgerSimulation(Mutation given) : mutation(given) {
    this->StartOwner();
  }

  /// @brief Runs one event, selected by `choice`.
  void Step(uint32_t choice) {
    const uint32_t pick = choice / 32;
    Owner& owner = this->owners.back();
    switch (choice % 20) {
      case 0:
      case 1:
      case 2:
        this->Submit(pick, 0);
        break;
      case 3:
        this->Submit(pick, -1);
        break;
      case 4:
        this->Submit(pick, 1);
        break;
      case 5:
      case 6:
        this->Place(owner, pick);
        break;
      case 7:
      case 8:
        this->Finish(owner, pick, AttemptResult::Kind::kAnswered);
        break;
      case 9:
        this->Finish(owner, pick, AttemptResult::Kind::kUnknown);
        break;
      case 10:
        this->Finish(owner, pick, AttemptResult::Kind::kNotRun);
        break;
      case 11:
        this->DeliverLate(owner, pick);
        break;
      case 12:
      case 13:
        this->FinishAppend(owner, AppendVerdict::kAppended, true);
        break;
      case 14:
        this->FinishAppend(owner, AppendVerdict::kUncertain, pick % 2 == 0);
        break;
      case 15:
        this->FinishAppend(owner, AppendVerdict::kNotAppended, false);
        break;
      case 16:
        this->log_reachable = pick % 3 != 0;
        break;
      case 17:
        this->Advance(std::chrono::milliseconds(pick % 2000));
        break;
      case 18:
        this->StartSuccessor(pick);
        break;
      default:
        this->ResumeFormerOwner(pick);
    }
  }

  /// @brief Completes the pending appends, then checks the journals.
  void Settle() {
    this->log_reachable = true;
    for (int i = 0; i < 20; ++i) {
      this->Advance(std::chrono::milliseconds(100));
      this->FinishAppend(this->owners.back(), AppendVerdict::kAppended, true);
    }
    this->CheckJournals();
  }

  /// @brief Returns the names of the violated properties.
  const std::set<std::string>& Broken() const { return this->broken; }

 private:
  struct Sent {
    DispatchCall dispatch;
    bool has_run = false;
  };
  struct Owner {
    ProgramLedger ledger;
    std::vector<JournalRecord> journal;  // as stored in the log
    std::deque<AppendRecords> appends;
    std::map<CallKey, QueueCall> queued;
    std::vector<Sent> sent;
    std::vector<std::pair<DispatchCall, AttemptResult>> past;
    std::map<ProgramName, uint32_t> newest;  // last dispatched call
    std::map<CallKey, uint32_t> runs;
  };
  struct Client {  // of one program
    uint32_t next = 1;
    std::map<uint32_t, std::string> told;  // durable answers received
  };

  static constexpr uint64_t kBudgetTokens = 500;
  static constexpr uint32_t kBudgetCalls = 8;
  static constexpr size_t kPrograms = 3;

  // Two ids that differ in one character, and a sub-agent of the first one.
  static ProgramName NameOf(uint32_t pick) {
    static const char* const kIds[kPrograms] = {"trip", "trip/a", "trap"};
    return {"coop", kIds[pick % kPrograms]};
  }

  static bool IsService(uint32_t call) { return call % 3 == 0; }

  static std::string Text(const ProgramName& program, uint32_t call) {
    return program.id + "#" + std::to_string(call);
  }

  static CallKey KeyOf(const DispatchCall& dispatch) {
    const std::string& text = dispatch.work->path;
    const size_t hash = text.find('#');
    return {{"coop", text.substr(0, hash)},
            static_cast<uint32_t>(std::stoul(text.substr(hash + 1)))};
  }

  EventContext MomentOf(const Owner& owner) const {
    return {
        .now = this->now,
        .wall = 1'000'000 +
                std::chrono::duration_cast<std::chrono::milliseconds>(this->now)
                    .count(),
        .has_lease =
            this->mutation.ignore_lease || &owner == &this->owners.back(),
        .log_reachable = this->log_reachable,
        .fence = this->owners.size()};
  }

  void StartOwner() {
    Owner& owner = this->owners.emplace_back();
    owner.ledger.options.default_max_tokens = 200;
    owner.ledger.options.default_budget = {
        .tokens = kBudgetTokens, .calls = kBudgetCalls, .seconds = 0};
    owner.ledger.epoch = this->mutation.ignore_epoch ? 0 : this->owners.size();
  }

  void Submit(uint32_t pick, int ahead) {
    const ProgramName program = NameOf(pick);
    const Client& client = this->clients[program];
    const int64_t call = int64_t{client.next} + ahead;
    if (call < 1) {
      return;
    }
    Owner& owner = this->owners.back();
    CallSubmission submission;
    submission.waiter = ++this->last_waiter;
    submission.key = {program, static_cast<uint32_t>(call)};
    const std::string text = Text(program, submission.key.call);
    submission.digest = submission.key.call;
    auto work = std::make_shared<CallWork>();
    work->path = text;
    if (IsService(submission.key.call)) {
      work->kind = CallKind::kService;
      work->idempotent = this->mutation.skip_intents;
    } else {
      submission.messages = {text};
    }
    submission.work = std::move(work);
    this->asked[submission.waiter] = submission.key;
    if (const Program* known = FindProgram(owner.ledger, program);
        this->mutation.ignore_order && known != nullptr && !known->active) {
      submission.key.call = known->next_call;
    }
    this->Take(owner, SubmitCall(owner.ledger, std::move(submission),
                                 this->MomentOf(owner)));
  }

  void Place(Owner& owner, uint32_t pick) {
    if (owner.queued.empty()) {
      return;
    }
    const auto chosen =
        std::next(owner.queued.begin(),
                  static_cast<std::ptrdiff_t>(pick % owner.queued.size()));
    const CallKey key = chosen->first;
    owner.queued.erase(chosen);
    this->Take(owner,
               StartCall(owner.ledger, key, "engine-1", this->MomentOf(owner)));
  }

  // The endpoint runs a dispatched call, or cannot be reached.
  void Finish(Owner& owner, uint32_t pick, AttemptResult::Kind kind) {
    if (owner.sent.empty()) {
      return;
    }
    const auto chosen = owner.sent.begin() +
                        static_cast<std::ptrdiff_t>(pick % owner.sent.size());
    const DispatchCall dispatch = std::move(chosen->dispatch);
    owner.sent.erase(chosen);
    AttemptResult result = MakeAttemptResult(kind);
    if (kind != AttemptResult::Kind::kNotRun) {
      this->Run(owner, dispatch);
    }
    if (kind == AttemptResult::Kind::kAnswered) {
      result.status = 200;
      result.body = "A:" + dispatch.work->path;
      result.message = result.body;
      uint64_t bytes = 0;
      for (const std::string& message : dispatch.messages) {
        bytes += message.size();
      }
      if (dispatch.work->kind == CallKind::kChat) {
        result.usage = {.prompt = bytes / 4 + 1,
                        .completion = dispatch.max_tokens,
                        .cached = 0};
      }
    }
    owner.past.emplace_back(dispatch, result);
    this->Deliver(owner, dispatch.key, dispatch.dispatch, result);
  }

  void Run(Owner& owner, const DispatchCall& dispatch) {
    const CallKey key = KeyOf(dispatch);
    ++owner.runs[key];
    if (dispatch.work->kind == CallKind::kService &&
        ++this->service_runs[key] > 1) {
      this->broken.insert("at most once");
    }
  }

  void Deliver(Owner& owner,
               const CallKey& key,
               DispatchId dispatch,
               AttemptResult result) {
    this->Take(owner, FinishAttempt(owner.ledger, key, dispatch,
                                    std::move(result), this->MomentOf(owner)));
  }

  // Delivers the result of an earlier attempt again, possibly while another
  // call of the program runs.
  void DeliverLate(Owner& owner, uint32_t pick) {
    if (owner.past.empty()) {
      return;
    }
    const auto& [dispatch, result] = owner.past[pick % owner.past.size()];
    CallKey key = dispatch.key;
    DispatchId id = dispatch.dispatch;
    if (const Program* program = FindProgram(owner.ledger, key.program);
        this->mutation.accept_late_results && program != nullptr &&
        program->active) {
      key = program->active->submission.key;
      id = program->active->dispatch;
    }
    this->Deliver(owner, key, id, result);
  }

  void FinishAppend(Owner& owner, AppendVerdict verdict, bool is_written) {
    if (owner.appends.empty()) {
      return;
    }
    const AppendRecords append = std::move(owner.appends.front());
    owner.appends.pop_front();
    if (is_written && !this->mutation.answer_before_append) {
      owner.journal.insert(owner.journal.end(), append.records.begin(),
                           append.records.end());
    }
    this->Take(owner, celerykeel::FinishAppend(owner.ledger, append.root,
                                               verdict, this->MomentOf(owner)));
  }

  void Advance(Duration time) {
    this->now += time;
    Owner& owner = this->owners.back();
    this->Take(owner, Tick(owner.ledger, this->MomentOf(owner)));
  }

  ReplayedFamilies ReadJournals() const {
    ReplayedFamilies images;
    for (const Owner& owner : this->owners) {
      ReplayedFamilies own;
      for (const JournalRecord& record : owner.journal) {
        Replay(own, record);
      }
      Merge(images, std::move(own));
    }
    return images;
  }

  // The owner is paused or dies, and its successor adopts the state in the log.
  void StartSuccessor(uint32_t pick) {
    if (pick % 4 != 0 || this->owners.size() > 6) {
      return;
    }
    ReplayedFamilies images = this->ReadJournals();
    this->StartOwner();
    Owner& owner = this->owners.back();
    for (auto& [root, family] : images) {
      this->Take(owner, AdoptFamily(owner.ledger, std::move(family),
                                    this->MomentOf(owner)));
    }
  }

  // A former owner continues without the lease: its calls in progress end, and
  // its appends reach the log late.
  void ResumeFormerOwner(uint32_t pick) {
    if (this->owners.size() < 2) {
      return;
    }
    Owner& former = this->owners[pick % (this->owners.size() - 1)];
    switch (pick / 16 % 4) {
      case 0:
        this->Place(former, pick);
        break;
      case 1:
        this->Finish(former, pick, AttemptResult::Kind::kAnswered);
        break;
      case 2:
        this->FinishAppend(former, AppendVerdict::kAppended, true);
        break;
      default:
        this->Finish(former, pick, AttemptResult::Kind::kUnknown);
    }
  }

  void Take(Owner& owner, LedgerActions actions) {
    for (LedgerAction& action : actions) {
      if (const auto* queue = std::get_if<QueueCall>(&action)) {
        owner.queued[queue->key] = *queue;
      } else if (const auto* stop = std::get_if<StopCall>(&action)) {
        owner.queued.erase(stop->key);
      } else if (auto* append = std::get_if<AppendRecords>(&action)) {
        owner.appends.push_back(std::move(*append));
      } else if (const auto* dispatch = std::get_if<DispatchCall>(&action)) {
        this->CheckDispatch(owner, *dispatch);
        owner.sent.push_back({*dispatch, false});
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        this->CheckAnswer(*answer);
      } else if (const auto* refuse = std::get_if<RefuseCaller>(&action)) {
        this->CheckRefusal(owner, *refuse);
      }
    }
    for (auto& [root, family] : owner.ledger.families) {
      if (this->mutation.ignore_reservations) {
        ForgetReservations(family);
      }
      if (family.tokens_used > kBudgetTokens ||
          family.calls_used > kBudgetCalls) {
        this->broken.insert("budget");
      }
    }
  }

  static void ForgetReservations(ProgramFamily& family) {
    family.tokens_reserved = 0;
    for (auto& [id, program] : family.programs) {
      if (program.active) {
        program.active->reserved_tokens = 0;
      }
    }
  }

  void CheckDispatch(Owner& owner, const DispatchCall& dispatch) {
    const CallKey key = KeyOf(dispatch);
    if (&owner != &this->owners.back()) {
      this->broken.insert("one owner");
    }
    uint32_t& newest = owner.newest[key.program];
    if (newest != 0 && key.call != newest && key.call != newest + 1) {
      this->broken.insert("order");
    }
    newest = key.call;
    if (dispatch.work->kind == CallKind::kChat) {
      this->CheckHistory(key, dispatch.messages);
    }
  }

  // Checks that the history holds only messages of this program, and every
  // durable chat answer that its caller received before.
  void CheckHistory(const CallKey& key,
                    const std::vector<std::string>& messages) {
    std::vector<std::string> expected;
    bool is_whole = true;
    for (const auto& [call, answer] : this->clients[key.program].told) {
      const std::string text = Text(key.program, call);
      const auto at = std::find(messages.begin(), messages.end(), text);
      if (call < key.call && !IsService(call)) {
        is_whole = is_whole && at != messages.end() &&
                   at + 1 != messages.end() && *(at + 1) == answer;
      }
    }
    for (const std::string& message : messages) {
      const std::string plain =
          message.starts_with("A:") ? message.substr(2) : message;
      is_whole = is_whole && plain.starts_with(key.program.id + "#");
    }
    if (!is_whole) {
      this->broken.insert("history");
    }
  }

  void CheckAnswer(const AnswerCaller& answer) {
    const CallKey& key = this->asked.at(answer.waiter);
    if (answer.record->answer != "A:" + Text(key.program, key.call)) {
      this->broken.insert("answers");
    }
    Client& client = this->clients[key.program];
    client.next = std::max(client.next, key.call + 1);
    if (answer.durable) {
      client.told[key.call] = answer.record->answer;
    }
  }

  void CheckRefusal(const Owner& owner, const RefuseCaller& refuse) {
    const CallKey& key = this->asked.at(refuse.waiter);
    Client& client = this->clients[key.program];
    switch (refuse.refusal.type) {
      case RefusalType::kCallOutOfOrder:
        if (!client.told.empty() &&
            refuse.refusal.expected_call <= client.told.rbegin()->first &&
            &owner == &this->owners.back()) {
          this->broken.insert("history");
        }
        client.next = refuse.refusal.expected_call;
        break;
      case RefusalType::kOutcomeUnknown:
        client.next = std::max(client.next, key.call + 1);
        break;
      case RefusalType::kEndpointFailed:
      case RefusalType::kLogUnavailable:
      case RefusalType::kLeaseLapsed:
      case RefusalType::kNotOwner:
        if (const auto runs = owner.runs.find(key);
            refuse.refusal.ran == Ran::kNo && IsService(key.call) &&
            runs != owner.runs.end()) {
          this->broken.insert("not run");
        }
        break;
      default:
        break;
    }
  }

  // Checks that each answer delivered as durable is in the log.
  void CheckJournals() {
    const ReplayedFamilies images = this->ReadJournals();
    for (const auto& [name, client] : this->clients) {
      for (const auto& [call, answer] : client.told) {
        const ProgramName root{name.team, std::string(RootOf(name.id))};
        const auto family = images.find(root);
        const bool is_kept =
            family != images.end() &&
            family->second.programs.contains(name.id) &&
            family->second.programs.at(name.id).next_call > call;
        if (!is_kept) {
          this->broken.insert("history");
        }
      }
    }
  }

  Mutation mutation;
  Duration now{};
  bool log_reachable = true;
  std::deque<Owner> owners;  // the last owner holds the lease
  std::map<ProgramName, Client> clients;
  std::map<Waiter, CallKey> asked;
  std::map<CallKey, uint32_t> service_runs;
  Waiter last_waiter = 0;
  std::set<std::string> broken;
};

}  // namespace celerykeel
