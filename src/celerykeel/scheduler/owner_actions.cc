#include <utility>  // for std::move

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/base/clock.h"             // for Now
#include "celerykeel/scheduler/call_reader.h"  // for ToProto
#include "celerykeel/scheduler/owner_state.h"  // for Owner::State
#include "celerykeel/wire/chat_json.h"         // for RenderChatEvents
#include "celerykeel/wire/journal_codec.h"     // for EncodeJournalRecord

namespace celerykeel {

namespace {

constexpr uint32_t kStatusOk = 200;

AppendVerdict VerdictOf(AppendOutcome outcome) {
  switch (outcome) {
    case AppendOutcome::kAppended:
      return AppendVerdict::kAppended;
    case AppendOutcome::kNotAppended:
      return AppendVerdict::kNotAppended;
    case AppendOutcome::kUncertain:
      return AppendVerdict::kUncertain;
  }
  return AppendVerdict::kUncertain;
}

pb::CallReply FinishedOf(const CallRecord& record,
                         bool streamed,
                         bool durable) {
  pb::CallReply reply;
  pb::CallFinished& finished = *reply.mutable_finished();
  finished.set_status(record.status);
  finished.set_content_type(record.content_type);
  if (!streamed) {
    finished.set_body(record.answer);
  }
  finished.set_prompt_tokens(record.usage.prompt);
  finished.set_completion_tokens(record.usage.completion);
  finished.set_cached_tokens(record.usage.cached);
  finished.set_durable(durable);
  return reply;
}

Refusal NoEndpoint(NoChoice reason, bool is_chat, Duration retry_after) {
  if (reason == NoChoice::kUnknown) {
    return {.type = is_chat ? RefusalType::kUnknownModel
                            : RefusalType::kUnknownRoute};
  }
  return {.type = RefusalType::kNoEndpoint,
          .ran = Ran::kNo,
          .retry_after = retry_after,
          .expected_call = 0};
}

}  // namespace

void Owner::State::Perform(const LedgerActions& actions) {
  for (const LedgerAction& action : actions) {
    std::visit([this](const auto& kind) { this->Do(kind); }, action);
  }
}

void Owner::State::Refuse(const Requester& requester, const Refusal& refusal) {
  this->CountRefusal(refusal);
  pb::CallReply reply;
  *reply.mutable_refused() = ToProto(refusal);
  SendReply(*this->messenger, requester, std::move(reply));
}

void Owner::State::Accept(WaitingCaller& caller,
                          const std::string& endpoint,
                          bool replayed,
                          bool durable) {
  if (std::exchange(caller.accepted, true)) {
    return;
  }
  pb::CallReply reply;
  reply.mutable_accepted()->set_endpoint(endpoint);
  reply.mutable_accepted()->set_replayed(replayed);
  reply.mutable_accepted()->set_durable(durable);
  SendReply(*this->messenger, caller.requester, std::move(reply));
}

void Owner::State::Follow(WaitingCaller& caller,
                          std::shared_ptr<CallStream> stream) {
  if (!caller.stream || caller.following != nullptr) {
    return;
  }
  caller.following = std::move(stream);
  caller.following->Follow(caller.requester);
}

void Owner::State::Forget(Waiter waiter) {
  const auto found = this->callers.find(waiter);
  if (found == this->callers.end()) {
    return;
  }
  const Requester& requester = found->second.requester;
  if (found->second.following != nullptr) {
    found->second.following->Unfollow(requester);
  }
  this->waiter_of.erase({requester.peer.routing_id, requester.id});
  this->callers.erase(found);
}

void Owner::State::Do(const RefuseCaller& action) {
  if (const auto found = this->callers.find(action.waiter);
      found != this->callers.end()) {
    this->Decide(found->second.key, "refuse", "",
                 ToProto(action.refusal).detail());
    this->Refuse(found->second.requester, action.refusal);
    this->Forget(action.waiter);
  }
}

// [DONE] is held back until the outcome is written, so that a caller that sees
// it can rely on the answer.
void Owner::State::Do(const AnswerCaller& action) {
  const auto found = this->callers.find(action.waiter);
  if (found == this->callers.end()) {
    return;
  }
  WaitingCaller& caller = found->second;
  const CallRecord& record = *action.record;
  const bool streamed = caller.stream && record.status == kStatusOk;
  this->metrics.answers.Increment();
  if (!action.durable) {
    this->metrics.answers_not_durable.Increment();
  }
  this->Accept(caller, record.endpoint, action.replayed, action.durable);
  if (streamed) {
    const bool has_seen =
        caller.following != nullptr && caller.following->HasStarted();
    pb::CallReply chunk;
    chunk.mutable_chunk()->set_data(
        (has_seen ? std::string() : RenderChatEvents(record.answer)) +
        std::string(kChatDoneEvent));
    SendReply(*this->messenger, caller.requester, std::move(chunk));
  }
  SendReply(*this->messenger, caller.requester,
            FinishedOf(record, streamed, action.durable));
  this->Forget(action.waiter);
}

void Owner::State::Do(const QueueCall& action) {
  // Of a call that is run anew nothing was relayed: what an earlier request
  // under its number has sent is not part of this answer.
  if (const auto stream = this->streams.find(action.key);
      stream != this->streams.end() && stream->second->HasStarted()) {
    this->streams.erase(stream);
  }
  const Duration now = Now();
  Duration not_before = now;
  if (!action.avoid.empty()) {
    this->metrics.retries.Increment();
    not_before += Backoff(this->retry_budget.options,
                          static_cast<uint32_t>(action.avoid.size()),
                          std::uniform_real_distribution<>()(this->random));
  }
  Push(this->queue, {.key = action.key,
                     .work = action.work,
                     .avoid = action.avoid,
                     .queued_at = now,
                     .not_before = not_before});
}

void Owner::State::Do(const FollowCall& action) {
  const auto caller = this->callers.find(action.waiter);
  const auto stream = this->streams.find(action.key);
  if (caller != this->callers.end() && stream != this->streams.end()) {
    this->Accept(caller->second, "", false, this->view.log_reachable);
    this->Follow(caller->second, stream->second);
  }
}

std::shared_ptr<CallStream> Owner::State::StreamOf(const DispatchCall& action) {
  if (!action.work->stream) {
    return nullptr;
  }
  auto& kept = this->streams[action.key];
  if (kept == nullptr) {
    kept = std::make_shared<CallStream>(*this->messenger);
  }
  return kept;
}

void Owner::State::AcceptWaiters(const DispatchCall& action,
                                 const std::shared_ptr<CallStream>& stream) {
  const Program* const program = FindProgram(this->ledger, action.key.program);
  if (program == nullptr || !program->active) {
    return;
  }
  for (const Waiter waiter : program->active->waiters) {
    const auto caller = this->callers.find(waiter);
    if (caller == this->callers.end()) {
      continue;
    }
    this->Accept(caller->second, action.endpoint, false,
                 this->view.log_reachable);
    if (stream != nullptr) {
      this->Follow(caller->second, stream);
    }
  }
}

void Owner::State::Do(const DispatchCall& action) {
  auto stop = std::make_shared<AttemptStop>();
  const std::optional<SentCall> sent = this->BookSent(action);
  this->attempts[action.dispatch] = {action.endpoint, stop, sent};
  this->newest_attempt[action.key] = action.dispatch;
  if (action.work->kind == CallKind::kChat) {
    this->cached_at[action.key.program].insert(action.endpoint);
  }
  ++this->load.outstanding[action.endpoint];
  EndpointCall call;
  call.key = action.key;
  call.dispatch = action.dispatch;
  call.work = action.work;
  call.endpoint = action.endpoint;
  call.address = this->AddressOf(action.endpoint);
  call.request_id = fmt::format("{:016x}-{}", this->view.self, action.dispatch);
  call.program = CacheName(action.key.program);
  call.fence = this->Read().fence;
  call.messages = action.messages;
  call.max_tokens = action.max_tokens;
  call.stream = this->StreamOf(action);
  call.priority = sent ? sent->rank : 0;
  call.stop = std::move(stop);
  call.connect_timeout = this->options.connect_timeout;
  call.read_timeout = this->options.read_timeout;
  this->AcceptWaiters(action, call.stream);
  // An endpoint may have been removed while the intent was being written.
  if (call.address.empty() || !this->workers->Start(std::move(call))) {
    this->HandleAttempt({action.key, action.dispatch, action.endpoint,
                         MakeAttemptResult(AttemptResult::Kind::kNotRun)});
  }
}

std::string Owner::State::AddressOf(const std::string& endpoint) const {
  const auto& endpoints = this->view.state->in_force.endpoints;
  const auto found = endpoints.find(endpoint);
  return found == endpoints.end()
             ? std::string()
             : fmt::format("{}:{}", found->second.host, found->second.port);
}

void Owner::State::Do(const StopCall& action) {
  Remove(this->queue, action.key);
  if (const auto newest = this->newest_attempt.find(action.key);
      newest != this->newest_attempt.end()) {
    this->attempts[newest->second].stop->Stop();
  }
}

void Owner::State::Do(const AppendRecords& action) {
  this->metrics.journal_records.Increment(
      static_cast<double>(action.records.size()));
  std::vector<std::string> payloads;
  payloads.reserve(action.records.size());
  for (const JournalRecord& record : action.records) {
    payloads.push_back(EncodeJournalRecord(record));
  }
  const bool queued = this->feed->AppendJournal(
      std::move(payloads),
      [this, root = action.root](const AppendResult& result) {
        if (result.outcome != AppendOutcome::kAppended) {
          this->metrics.appends_failed.Increment();
        }
        this->PushOwn(AppendEnded{root, VerdictOf(result.outcome)});
      });
  if (!queued) {
    this->PushOwn(AppendEnded{action.root, AppendVerdict::kNotAppended});
  }
}

void Owner::State::Do(const ReleaseProgram& action) {
  const auto found = this->cached_at.find(action.program);
  if (found == this->cached_at.end()) {
    return;
  }
  for (const std::string& id : found->second) {
    if (const auto book = this->load.books.find(id);
        book != this->load.books.end()) {
      celerykeel::Forget(book->second.held, CacheName(action.program));
    }
    if (std::string address = this->AddressOf(id); !address.empty()) {
      this->workers->Start(
          CacheRelease{std::move(address), CacheName(action.program)});
    }
  }
  this->cached_at.erase(found);
}

void Owner::State::StartQueued() {
  const Duration now = Now();
  std::vector<QueuedCall> kept;
  while (!this->queue.calls.empty()) {
    QueuedCall call = std::move(this->queue.calls.front());
    this->queue.calls.pop_front();
    if (this->attempts.size() >= this->options.workers ||
        call.not_before > now) {
      kept.push_back(std::move(call));
      continue;
    }
    auto choice = ChooseEndpoint(*this->view.state, this->load, call,
                                 this->RequestFor(call.key.program), now);
    if (choice) {
      this->NotePlacement(call, *choice);
      this->Perform(StartCall(this->ledger, call.key,
                              std::move(choice->endpoint), this->Read()));
    } else if (choice.error() != NoChoice::kUnknown &&
               now - call.queued_at < this->options.queue_wait) {
      kept.push_back(std::move(call));
    } else {
      this->Perform(RefuseQueued(
          this->ledger, call.key,
          NoEndpoint(choice.error(), call.work->kind == CallKind::kChat,
                     this->options.ledger.retry_after),
          this->Read()));
    }
  }
  for (QueuedCall& call : kept) {
    Push(this->queue, std::move(call));
  }
}

void Owner::State::HandleQuery(const Requester& requester,
                               const pb::ProgramQuery& query) {
  pb::CallReply reply;
  pb::ProgramReport& report = *reply.mutable_report();
  const ProgramName name = FromProto(query.program());
  if (const auto state = ExportProgram(this->ledger, name)) {
    report.set_found(true);
    *report.mutable_state() = ToProto(*state);
    for (const CallRecord& call : state->calls) {
      if (query.call() != 0 && call.key.call == query.call()) {
        *report.mutable_call() = ToProto(call);
      }
    }
  }
  SendReply(*this->messenger, requester, std::move(reply));
}

void Owner::State::HandleDelete(const Requester& requester,
                                const pb::ProgramDelete& request) {
  const ProgramName name = FromProto(request.program());
  this->Perform(EndProgram(this->ledger, name, this->Read()));
  pb::CallReply reply;
  if (const auto state = ExportProgram(this->ledger, name)) {
    reply.mutable_report()->set_found(true);
    *reply.mutable_report()->mutable_state() = ToProto(*state);
  } else {
    reply.mutable_report();
  }
  SendReply(*this->messenger, requester, std::move(reply));
}

}  // namespace celerykeel
