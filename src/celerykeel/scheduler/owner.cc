#include "celerykeel/scheduler/owner.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"             // for Now, WallNow
#include "celerykeel/core/rendezvous.h"        // for OwnerOf
#include "celerykeel/net/log.h"                // for Log
#include "celerykeel/scheduler/call_reader.h"  // for ReadCall, ToProto
#include "celerykeel/scheduler/owner_state.h"  // for Owner::State
#include "celerykeel/wire/journal_codec.h"     // for FromProto

namespace celerykeel {

namespace {

constexpr size_t kEvents = 16'384;
constexpr size_t kEventsFromPeers = 8'192;  // the rest is for own results
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kFullPause = std::chrono::milliseconds(1);

Fence FenceOf(const FleetView& view) {
  const auto member = view.state->members.find(view.self);
  return member == view.state->members.end() ? 0 : member->second.fence;
}

}  // namespace

Owner::State::State(const SchedulerOptions& given,
                    std::shared_ptr<prometheus::Registry> given_registry)
    : options(given),
      registry(std::move(given_registry)),
      metrics(*registry),
      events(kEvents),
      random(std::random_device{}()) {
  this->ledger.options = given.ledger;
  this->adoption.options = given.adoption;
  this->view.state = std::make_shared<const FleetState>();
}

void Owner::State::Run() {
  while (!this->stopping.load()) {
    if (auto event = this->events.Pop(kTick)) {
      this->TakeView();
      this->Handle(std::move(*event));
    }
    this->StartQueued();
    this->TickIfDue();
  }
}

EventContext Owner::State::Read() {
  const Duration now = Now();
  return {.now = now,
          .wall = WallNow(),
          .has_lease = HoldsLease(this->view, now),
          .log_reachable = this->view.log_reachable,
          .fence = FenceOf(this->view)};
}

void Owner::State::Handle(SchedulerEvent event) {
  if (auto* message = std::get_if<PeerMessage>(&event)) {
    this->HandleMessage(*message);
  } else if (auto* attempt = std::get_if<AttemptEnded>(&event)) {
    this->HandleAttempt(std::move(*attempt));
  } else if (const auto* append = std::get_if<AppendEnded>(&event)) {
    this->Perform(FinishAppend(this->ledger, append->root, append->verdict,
                               this->Read()));
  } else if (auto* handover = std::get_if<HandoverCame>(&event)) {
    this->HandleHandover(handover->reply);
  } else if (const auto* listed = std::get_if<CacheListed>(&event)) {
    this->HandleListing(*listed);
  } else if (const auto* page = std::get_if<JournalPageCame>(&event)) {
    this->HandleJournalPage(*page);
  }
}

void Owner::State::HandleMessage(const PeerMessage& message) {
  const pb::CallMessage& kind = message.message;
  if (kind.has_request()) {
    this->HandleCall(message);
  } else if (kind.has_cancel()) {
    this->HandleCancel(message.peer, kind.cancel().id());
  } else if (kind.has_program_query()) {
    if (!this->RefuseOrPark(message,
                            FromProto(kind.program_query().program()))) {
      this->HandleQuery({message.peer, kind.program_query().id()},
                        kind.program_query());
    }
  } else if (kind.has_program_delete()) {
    if (!this->RefuseOrPark(message,
                            FromProto(kind.program_delete().program()))) {
      this->HandleDelete({message.peer, kind.program_delete().id()},
                         kind.program_delete());
    }
  } else if (kind.has_explain_query()) {
    this->HandleExplain({message.peer, kind.explain_query().id()},
                        kind.explain_query());
  } else if (kind.has_handover_request()) {
    this->HandleHandoverRequest({message.peer, kind.handover_request().id()},
                                kind.handover_request());
  }
}

void Owner::State::HandleCall(const PeerMessage& message) {
  const pb::CallRequest& request = message.message.request();
  const Requester requester{message.peer, request.id()};
  // A request that was meant for an earlier run of this instance, or for
  // another one, is never run here.
  if (request.owner() != 0 && request.owner() != this->view.self) {
    this->Refuse(requester, this->NotOwner());
    return;
  }
  if (this->RefuseOrPark(message, ProgramOf(request))) {
    return;
  }
  if (!this->MayTake(ProgramOf(request), Now())) {
    this->Refuse(requester, {.type = RefusalType::kDraining,
                             .retry_after = this->options.ledger.retry_after});
    return;
  }
  auto submission = ReadCall(request, *this->view.state);
  if (!submission) {
    this->Refuse(requester, submission.error());
    return;
  }
  const Waiter waiter = ++this->last_waiter;
  submission->waiter = waiter;
  this->callers[waiter] = {.requester = requester,
                           .key = submission->key,
                           .stream = submission->work->stream,
                           .accepted = false,
                           .following = nullptr};
  this->waiter_of[{requester.peer.routing_id, requester.id}] = waiter;
  this->Perform(SubmitCall(this->ledger, std::move(*submission), this->Read()));
  this->StartQueued();
  if (const auto caller = this->callers.find(waiter);
      caller != this->callers.end() && !caller->second.accepted) {
    // An empty part tells the gate that the call waits here.
    pb::CallReply reply;
    reply.mutable_chunk();
    SendReply(*this->messenger, requester, std::move(reply));
  }
}

void Owner::State::HandleCancel(const Peer& peer, uint64_t id) {
  std::erase_if(this->parked, [&](const ParkedMessage& entry) {
    return entry.message.peer == peer &&
           entry.message.message.request().id() == id;
  });
  const auto found = this->waiter_of.find({peer.routing_id, id});
  if (found == this->waiter_of.end()) {
    return;
  }
  const Waiter waiter = found->second;
  const ProgramName program = this->callers[waiter].key.program;
  this->Forget(waiter);
  this->Perform(CancelWaiter(this->ledger, program, waiter, this->Read()));
}

void Owner::State::HandleAttempt(AttemptEnded ended) {
  if (const auto outstanding = this->load.outstanding.find(ended.endpoint);
      outstanding != this->load.outstanding.end() &&
      --outstanding->second == 0) {
    this->load.outstanding.erase(outstanding);
  }
  this->BookEnded(ended);
  this->attempts.erase(ended.dispatch);
  if (const auto newest = this->newest_attempt.find(ended.key);
      newest != this->newest_attempt.end() &&
      newest->second == ended.dispatch) {
    this->newest_attempt.erase(newest);
  }
  this->CountAttempt(ended.result);
  if (ended.result.kind == AttemptResult::Kind::kNotRun ||
      ended.result.kind == AttemptResult::Kind::kUnknown) {
    ended.result.may_retry =
        TakeRetry(this->retry_budget, ended.key.program.team, ended.endpoint);
    this->Decide(ended.key, "retry", ended.endpoint,
                 ended.result.may_retry ? "the attempt failed"
                                        : "the attempt failed, and the budget "
                                          "of retries is spent");
  }
  this->Perform(FinishAttempt(this->ledger, ended.key, ended.dispatch,
                              std::move(ended.result), this->Read()));
}

void Owner::State::TickIfDue() {
  const Duration now = Now();
  if (now - this->ticked_at < kTick) {
    return;
  }
  this->ticked_at = now;
  this->TakeView();
  this->TickOwnership(now);
  this->Perform(celerykeel::Tick(this->ledger, this->Read()));
  std::erase_if(this->streams, [](const auto& entry) {
    return entry.second.use_count() == 1;
  });
  this->TickAudit(now);
  this->TickDrain(now);
  this->ShowGauges();
}

// Own results must not be lost: they wait for room, which callers' messages
// cannot take.
void Owner::State::PushOwn(SchedulerEvent event) {
  while (!this->stopping.load() && this->events.Size() + 1 >= kEvents) {
    std::this_thread::sleep_for(kFullPause);
  }
  this->events.Push(std::move(event));
}

void Owner::State::PushFromPeer(Messenger& through, PeerMessage message) {
  const uint64_t id = message.message.request().id();
  const Requester requester{message.peer, id};
  const bool is_call = message.message.has_request();
  if (this->events.Size() < kEventsFromPeers &&
      this->events.Push(std::move(message))) {
    return;
  }
  if (is_call) {
    pb::CallReply reply;
    *reply.mutable_refused() =
        ToProto({.type = RefusalType::kOverloaded,
                 .ran = Ran::kNo,
                 .retry_after = this->options.ledger.retry_after});
    SendReply(through, requester, std::move(reply));
  }
}

// Answers of other schedulers, over connections that we made.
void Owner::State::PushReply(std::string_view bytes) {
  pb::CallReply reply;
  if (reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
      reply.has_handover()) {
    this->PushOwn(HandoverCame{std::move(*reply.mutable_handover())});
  }
}

tl::expected<std::unique_ptr<Owner>, MessengerError> Owner::Create(
    const SchedulerOptions& options,
    std::shared_ptr<prometheus::Registry> registry) {
  auto state = std::make_unique<State>(options, std::move(registry));
  State* const shared = state.get();
  auto feed = FeedClient::Create(
      {.process = "scheduler", .steward_address = options.feed}, {});
  if (!feed) {
    return tl::unexpected(feed.error());
  }
  state->feed = std::move(*feed);
  MessengerOptions messenger_options;
  messenger_options.listen = options.listen;
  auto messenger = Messenger::Create(
      messenger_options,
      {.on_message =
           [shared](Messenger& self, const Peer& peer, std::string_view bytes) {
             if (!peer.address.empty()) {
               shared->PushReply(bytes);
               return;
             }
             PeerMessage message{peer, {}};
             if (message.message.ParseFromArray(
                     bytes.data(), static_cast<int>(bytes.size()))) {
               shared->PushFromPeer(self, std::move(message));
             }
           },
       .on_tick = {},
       .on_disconnect = {}});
  if (!messenger) {
    return tl::unexpected(messenger.error());
  }
  state->messenger = std::move(*messenger);
  state->workers = std::make_unique<WorkerPool>(
      options.workers, options.waiting_calls,
      WorkerHandlers{
          .on_attempt =
              [shared](const EndpointCall& call, AttemptResult result) {
                shared->PushOwn(AttemptEnded{call.key, call.dispatch,
                                             call.endpoint, std::move(result)});
              },
          .on_release =
              [shared](const CacheRelease&, bool confirmed) {
                if (!confirmed) {
                  shared->metrics.releases_failed.Increment();
                }
              },
          .on_listing =
              [shared](const CacheListing& listing,
                       std::vector<std::string> names) {
                shared->PushOwn(CacheListed{listing.endpoint, listing.address,
                                            std::move(names)});
              }});
  shared->thread = std::thread([shared] { shared->Run(); });
  return std::unique_ptr<Owner>(new Owner(std::move(state)));
}

Owner::Owner(std::unique_ptr<State> initial) : state(std::move(initial)) {}

Owner::~Owner() {
  this->state->stopping.store(true);
  this->state->thread.join();
  for (const auto& [dispatch, attempt] : this->state->attempts) {
    attempt.stop->Stop();
  }
  this->state->workers.reset();
  this->state->feed.reset();
  this->state->messenger.reset();
}

bool Owner::IsReady() const {
  const FleetView view = this->state->feed->View();
  return !this->state->draining.load() && !view.draining &&
         HoldsLease(view, Now());
}

void Owner::Drain() {
  this->state->draining.store(true);
}

bool Owner::IsDrained() const {
  return this->state->drained.load();
}

}  // namespace celerykeel
