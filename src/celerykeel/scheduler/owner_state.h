#pragma once

#include <atomic>   // for std::atomic
#include <map>      // for std::map
#include <random>   // for std::mt19937_64
#include <set>      // for std::set
#include <string>   // for std::string
#include <thread>   // for std::thread
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/call.pb.h"                      // for pb::CallMessage
#include "celerykeel/core/adoption.h"                // for Adoption
#include "celerykeel/core/cache_audit.h"             // for CacheAudit
#include "celerykeel/core/program_ledger.h"          // for ProgramLedger
#include "celerykeel/core/retry_budget.h"            // for RetryBudget
#include "celerykeel/core/run_queue.h"               // for RunQueue
#include "celerykeel/net/bounded_ring.h"             // for BoundedRing
#include "celerykeel/net/feed_client.h"              // for FeedClient
#include "celerykeel/scheduler/call_stream.h"        // for CallStream
#include "celerykeel/scheduler/choose_endpoint.h"    // for EndpointLoad
#include "celerykeel/scheduler/decision_log.h"       // for DecisionLog
#include "celerykeel/scheduler/endpoint_call.h"      // for AttemptStop
#include "celerykeel/scheduler/owner.h"              // for Owner
#include "celerykeel/scheduler/scheduler_metrics.h"  // for SchedulerMetrics
#include "celerykeel/scheduler/worker_pool.h"        // for WorkerPool

// What the parts of the owner share. Private to the scheduler.
namespace celerykeel {

/// @brief A message of a gate or of another scheduler.
struct PeerMessage {
  Peer peer;
  pb::CallMessage message;
};

struct AttemptEnded {
  CallKey key;
  DispatchId dispatch = 0;
  std::string endpoint;
  AttemptResult result;
};

struct AppendEnded {
  ProgramName root;
  AppendVerdict verdict = AppendVerdict::kUncertain;
};

/// @brief What another scheduler hands over.
struct HandoverCame {
  pb::HandoverReply reply;
};

struct JournalPageCame {
  Incarnation incarnation = 0;
  JournalPage page;
};

/// @brief What an engine says it holds.
struct CacheListed {
  std::string endpoint;
  std::string address;
  std::vector<std::string> names;
};

using SchedulerEvent = std::variant<std::monostate,
                                    PeerMessage,
                                    AttemptEnded,
                                    AppendEnded,
                                    HandoverCame,
                                    JournalPageCame,
                                    CacheListed>;

/// @brief A message for a slot that this process does not act for yet.
struct ParkedMessage {
  PeerMessage message;
  Duration until{};
};

/// @brief A gate that waits for the answer of a call.
struct WaitingCaller {
  Requester requester;
  CallKey key;
  bool stream = false;
  bool accepted = false;
  std::shared_ptr<CallStream> following;
};

struct RunningAttempt {
  std::string endpoint;
  std::shared_ptr<AttemptStop> stop;
  std::optional<SentCall> sent;  // to an engine
};

struct Owner::State {
  State(const SchedulerOptions& given,
        std::shared_ptr<prometheus::Registry> given_registry);

  // The owner's thread.
  void Run();
  void Handle(SchedulerEvent event);
  void HandleMessage(const PeerMessage& message);
  void HandleCall(const PeerMessage& message);
  void HandleCancel(const Peer& peer, uint64_t id);
  void HandleQuery(const Requester& requester, const pb::ProgramQuery& query);
  void HandleDelete(const Requester& requester,
                    const pb::ProgramDelete& request);
  void HandleExplain(const Requester& requester, const pb::ExplainQuery& query);
  void HandleAttempt(AttemptEnded ended);
  void TickIfDue();
  void StartQueued();
  EventContext Read();
  Refusal NotOwner() const;
  void TakeView();

  // Ownership of slots.
  bool RefuseOrPark(const PeerMessage& message, const ProgramName& program);
  void HandleHandover(const pb::HandoverReply& reply);
  void HandleJournalPage(const JournalPageCame& came);
  void HandleHandoverRequest(const Requester& requester,
                             const pb::HandoverRequest& request);
  void PerformAdoption(const AdoptionActions& actions);
  void Do(const RequestHandover& action);
  void Do(const ReadJournalPage& action);
  void Do(const AdoptSlots& action);
  void Do(const DropSlots& action);
  void ReleaseMoved();
  void RetryParked();
  void TickOwnership(Duration now);

  // Actions of the ledger.
  void Perform(const LedgerActions& actions);
  void Do(const RefuseCaller& action);
  void Do(const AnswerCaller& action);
  void Do(const QueueCall& action);
  void Do(const FollowCall& action);
  void Do(const DispatchCall& action);
  void Do(const StopCall& action);
  void Do(const AppendRecords& action);
  void Do(const ReleaseProgram& action);

  std::shared_ptr<CallStream> StreamOf(const DispatchCall& action);
  void AcceptWaiters(const DispatchCall& action,
                     const std::shared_ptr<CallStream>& stream);
  std::string AddressOf(const std::string& endpoint) const;

  // Replies.
  void Refuse(const Requester& requester, const Refusal& refusal);
  void Accept(WaitingCaller& caller,
              const std::string& endpoint,
              bool replayed,
              bool durable);
  void Follow(WaitingCaller& caller, std::shared_ptr<CallStream> stream);
  void Forget(Waiter waiter);

  // From other threads.
  void PushFromPeer(Messenger& through, PeerMessage message);
  void PushOwn(SchedulerEvent event);
  void PushReply(std::string_view bytes);

  // Decisions and figures.
  void Decide(const CallKey& key,
              std::string_view what,
              std::string_view chosen,
              std::string_view reason);
  void NotePlacement(const QueuedCall& call, const EndpointChoice& choice);
  PlacementRequest RequestFor(const ProgramName& name) const;
  std::optional<SentCall> BookSent(const DispatchCall& action);
  void BookEnded(const AttemptEnded& ended);
  void CountRefusal(const Refusal& refusal);
  void CountAttempt(const AttemptResult& result);
  void ShowGauges();

  // What engines hold.
  void TickAudit(Duration now);
  void HandleListing(const CacheListed& listed);

  // Leaving.
  bool IsDraining() const;
  bool MayTake(const ProgramName& program, Duration now) const;
  bool HasNothingLeft() const;
  void TickDrain(Duration now);

  SchedulerOptions options;
  std::shared_ptr<prometheus::Registry> registry;
  SchedulerMetrics metrics;
  BoundedRing<SchedulerEvent> events;
  std::atomic<bool> stopping{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> drained{false};

  // Only the owner's thread uses these.
  FleetView view;
  ProgramLedger ledger;
  Adoption adoption;
  ReplayedFamilies released;  // copies of what was handed over
  std::vector<ParkedMessage> parked;
  uint64_t last_request = 0;  // of ours to other schedulers
  RunQueue queue;
  EndpointLoad load;
  RetryBudget retry_budget;
  std::mt19937_64 random;
  DecisionLog decisions;
  CacheAudit audit;
  Duration audited_at{};
  Duration draining_since{};  // zero: not draining
  Duration reported_at{};     // to the steward, that nothing is left
  Duration left_by{};         // longest wait for its Leave
  Waiter last_waiter = 0;
  std::map<Waiter, WaitingCaller> callers;
  std::map<std::pair<std::string, uint64_t>, Waiter> waiter_of;
  std::map<CallKey, std::shared_ptr<CallStream>> streams;
  std::map<DispatchId, RunningAttempt> attempts;
  std::map<CallKey, DispatchId> newest_attempt;
  std::map<ProgramName, std::set<std::string>> cached_at;  // endpoints
  Duration ticked_at{};

  std::unique_ptr<Messenger> messenger;
  std::unique_ptr<FeedClient> feed;
  std::unique_ptr<WorkerPool> workers;
  std::thread thread;
};

}  // namespace celerykeel
