#pragma once

#include <map>      // for std::map
#include <string>   // for std::string
#include <utility>  // for std::move
#include <vector>   // for std::vector

#include <doctest/doctest.h>  // for REQUIRE

#include "celerykeel/core/program_ledger.h"  // for ProgramLedger

namespace celerykeel {

/// @brief Drives a ledger in tests and stores its actions.
struct LedgerFixture {
  ProgramLedger ledger;
  EventContext moment{.now = std::chrono::seconds(1000),
                      .wall = 1'000'000,
                      .has_lease = true,
                      .log_reachable = true,
                      .fence = 7};
  std::string program = "trip";
  Budget budget;
  uint64_t max_tokens = 0;

  std::map<Waiter, AnswerCaller> answers;
  std::map<Waiter, Refusal> refusals;
  std::map<uint32_t, QueueCall> queued;
  std::vector<DispatchCall> dispatched;
  std::vector<AppendRecords> in_flight;
  std::vector<JournalRecord> journal;
  std::vector<ProgramName> released;

  void Submit(Waiter waiter, uint32_t call, const std::string& message) {
    this->SubmitChat(waiter, call, {message}, false);
  }

  void SubmitCompleteHistory(Waiter waiter,
                             uint32_t call,
                             std::vector<std::string> messages) {
    this->SubmitChat(waiter, call, std::move(messages), true);
  }

  void SubmitService(Waiter waiter, uint32_t call, bool idempotent) {
    auto work = std::make_shared<CallWork>();
    work->kind = CallKind::kService;
    work->idempotent = idempotent;
    CallSubmission submission = this->NewSubmission(waiter, call);
    submission.digest = 1;
    submission.work = std::move(work);
    this->Take(SubmitCall(this->ledger, std::move(submission), this->moment));
  }

  /// Starts the queued call at an endpoint.
  void Place(uint32_t call) {
    REQUIRE(this->queued.contains(call));
    const CallKey key = this->queued.at(call).key;
    this->queued.erase(call);
    this->Take(StartCall(this->ledger, key, "engine-1", this->moment));
  }

  DispatchCall Start(uint32_t call) {
    this->Place(call);
    REQUIRE_FALSE(this->dispatched.empty());
    return this->dispatched.back();
  }

  DispatchCall StartOf(const std::string& id, uint32_t call) {
    REQUIRE(this->queued.contains(call));
    REQUIRE(this->queued.at(call).key.program.id == id);
    return this->Start(call);
  }

  void Finish(const DispatchCall& call, AttemptResult result) {
    this->Take(FinishAttempt(this->ledger, call.key, call.dispatch,
                             std::move(result), this->moment));
  }

  void Answer(const DispatchCall& call,
              const std::string& text,
              TokenUsage usage = {}) {
    AttemptResult result = MakeAttemptResult(AttemptResult::Kind::kAnswered);
    result.status = 200;
    result.body = text;
    result.message = text;
    result.usage = usage;
    this->Finish(call, std::move(result));
  }

  void Fail(const DispatchCall& call, AttemptResult::Kind kind) {
    this->Finish(call, MakeAttemptResult(kind));
  }

  /// Reports the result of the oldest append in flight.
  void Append(AppendVerdict verdict) {
    REQUIRE_FALSE(this->in_flight.empty());
    const AppendRecords append = std::move(this->in_flight.front());
    this->in_flight.erase(this->in_flight.begin());
    if (verdict == AppendVerdict::kAppended) {
      this->journal.insert(this->journal.end(), append.records.begin(),
                           append.records.end());
    }
    this->Take(FinishAppend(this->ledger, append.root, verdict, this->moment));
  }

  void End() {
    this->Take(EndProgram(this->ledger, {"coop", this->program}, this->moment));
  }

  void Advance(Duration time) {
    this->moment.now += time;
    this->moment.wall +=
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    this->Take(Tick(this->ledger, this->moment));
  }

  const AnswerCaller* Answered(Waiter waiter) const {
    const auto found = this->answers.find(waiter);
    return found == this->answers.end() ? nullptr : &found->second;
  }

  const Refusal* Refused(Waiter waiter) const {
    const auto found = this->refusals.find(waiter);
    return found == this->refusals.end() ? nullptr : &found->second;
  }

  bool IsQueued(uint32_t call) const { return this->queued.contains(call); }

  CallSubmission NewSubmission(Waiter waiter, uint32_t call) const {
    CallSubmission submission;
    submission.waiter = waiter;
    submission.key = {{"coop", this->program}, call};
    submission.budget = this->budget;
    submission.max_tokens = this->max_tokens;
    return submission;
  }

  void SubmitChat(Waiter waiter,
                  uint32_t call,
                  std::vector<std::string> messages,
                  bool whole) {
    CallSubmission submission = this->NewSubmission(waiter, call);
    submission.whole_history = whole;
    submission.digest = std::hash<std::string>()(messages.back());
    submission.messages = std::move(messages);
    submission.work = std::make_shared<const CallWork>();
    this->Take(SubmitCall(this->ledger, std::move(submission), this->moment));
  }

  void Take(LedgerActions actions) {
    for (LedgerAction& action : actions) {
      if (auto* refuse = std::get_if<RefuseCaller>(&action)) {
        this->refusals[refuse->waiter] = refuse->refusal;
      } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
        this->answers[answer->waiter] = *answer;
      } else if (auto* queue = std::get_if<QueueCall>(&action)) {
        this->queued[queue->key.call] = *queue;
      } else if (auto* dispatch = std::get_if<DispatchCall>(&action)) {
        this->dispatched.push_back(*dispatch);
      } else if (auto* append = std::get_if<AppendRecords>(&action)) {
        this->in_flight.push_back(*append);
      } else if (auto* release = std::get_if<ReleaseProgram>(&action)) {
        this->released.push_back(release->program);
      } else if (auto* stop = std::get_if<StopCall>(&action)) {
        this->queued.erase(stop->key.call);
      }
    }
  }
};

}  // namespace celerykeel
