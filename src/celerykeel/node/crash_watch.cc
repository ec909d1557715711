#include "celerykeel/node/crash_watch.h"

#include <algorithm>  // for std::any_of
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/node/endpoint_link.h"  // for ConnectToEndpoint
#include "celerykeel/node/node.h"           // for Node
#include "celerykeel/node/tunnel.h"         // for OpenTunnel
#include "celerykeel/wire/crash_codec.h"    // for ToProto, FromProto

namespace celerykeel {

namespace {

// An endpoint that has crashed refuses connections within a round trip.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(100);
constexpr Duration kMaxCheckTime = 3 * kProbeTimeout;
// A request that was given up for longer is not under way any more.
constexpr Duration kAbandonedTime = std::chrono::seconds(1);
// Crashes seen from here are remembered this long, for connections whose end
// is noticed late.
constexpr Duration kCrashMemory = std::chrono::seconds(5);
// The news of an older crash says nothing about the endpoint's present state.
constexpr Duration kMaxCrashAge = std::chrono::seconds(2);

// How long requests that got no answer of an endpoint are remembered. Its entry
// is removed three heartbeats after it fell silent.
constexpr Duration kSilenceMemory = std::chrono::seconds(20);
constexpr size_t kMaxAbandoned = 256;  // of one start of an endpoint
// A request that completed this recently has not silenced an endpoint.
constexpr Duration kCompletionMemory = std::chrono::seconds(10);
constexpr size_t kMaxCompletions = 4096;

EndpointStart StartOf(const EndpointEntry& endpoint) {
  return {.endpoint = endpoint.id, .started_at = endpoint.started_at};
}

// Returns another endpoint that is not known to fail.
std::optional<EndpointEntry> OtherEndpoint(const Node& node,
                                           const EndpointEntry& endpoint) {
  const Duration now = Now();
  for (const auto& [id, other] : node.endpoints.endpoints) {
    if (id != endpoint.id && other.avoid_until <= now) {
      return other.entry;
    }
  }
  return std::nullopt;
}

bool IsReached(const EndpointConnect& connected) {
  if (connected.connection != nullptr) {
    Close(*connected.connection);
    return true;
  }
  return false;
}

// A refused connection shows a crash unless this instance's own network refuses
// all of them. That is ruled out by another endpoint that accepts one, or by a
// peer that can't reach this endpoint either.
//
// The store still lists an endpoint that is slow to accept a connection, so
// only one that is not listed any more may be found to be silent.
Task<bool> HasCrashed(Node& node, EndpointEntry endpoint, bool is_listed) {
  const EndpointConnect connected = co_await ConnectToEndpoint(
      node, endpoint, Duration::zero(), kProbeTimeout);
  if (IsReached(connected) || !connected.endpoint_failed) {
    co_return false;
  }
  if (!connected.peer.empty()) {
    co_return true;
  }
  if (is_listed && !connected.refused) {
    co_return false;
  }
  if (const auto other = OtherEndpoint(node, endpoint)) {
    const EndpointConnect reached = co_await ConnectToEndpoint(
        node, *other, Duration::zero(), kProbeTimeout);
    if (IsReached(reached) && reached.peer.empty()) {
      co_return true;
    }
  }
  const EndpointConnect over_peer =
      co_await OpenTunnel(node, endpoint, Duration::zero(), kProbeTimeout);
  co_return !IsReached(over_peer) && over_peer.endpoint_failed;
}

using UnfinishedRequests = std::map<RequestIdentity, bool>;

// Returns the requests that were unfinished there at `crashed_at`, and whether
// they began recently then.
UnfinishedRequests UnfinishedAt(const Node& node,
                                const EndpointStart& endpoint,
                                Duration crashed_at) {
  UnfinishedRequests unfinished;
  const auto sent = node.sent_requests.find(endpoint);
  if (sent == node.sent_requests.end()) {
    return unfinished;
  }
  for (const SentRun* run : sent->second.under_way) {
    unfinished[run->Request()] |= run->BeganAt() + kBeginTime >= crashed_at;
  }
  for (const AbandonedRun& run : sent->second.abandoned) {
    if (crashed_at < run.abandoned_at + kAbandonedTime) {
      unfinished[run.request] |= run.began_at + kBeginTime >= crashed_at;
    }
  }
  return unfinished;
}

// Returns the requests that the endpoint left without an answer when it fell
// silent. When that was is not known, so no request counts as begun recently
// then.
UnfinishedRequests UnansweredBy(const Node& node,
                                const EndpointStart& endpoint) {
  UnfinishedRequests unanswered;
  const auto sent = node.sent_requests.find(endpoint);
  if (sent == node.sent_requests.end()) {
    return unanswered;
  }
  for (const SentRun* run : sent->second.under_way) {
    unanswered[run->Request()] = false;
  }
  for (const AbandonedRun& run : sent->second.abandoned) {
    unanswered[run.request] = false;
  }
  const Duration now = Now();
  std::erase_if(unanswered, [&node, now](const auto& entry) {
    const auto completed = node.crash_watch.completed_at.find(entry.first);
    return completed != node.crash_watch.completed_at.end() &&
           now < completed->second + kCompletionMemory;
  });
  return unanswered;
}

void LogSuspicion(Node& node, const RequestIdentity& request) {
  const auto found = node.crash_watch.records.requests.find(request);
  if (found == node.crash_watch.records.requests.end()) {
    return;
  }
  WriteLog(node.log, LogLevel::kOrdinary, "request suspected",
           {{"request", HashText(request)},
            {"team", request.team},
            {"crashes", found->second.crashes.size()}});
}

bool HasSuspects(const Node& node, const RequestIdentity& group) {
  return node.crash_watch.records.groups.contains(group);
}

// Records a report, and adds to the news what this instance knows of the
// request's group.
// @return true if the report is news.
bool RecordRun(Node& node, const CrashedRun& run, pb::EndpointNews& news) {
  CrashRecords& records = node.crash_watch.records;
  const bool was_mixed = IsMixed(records, run.request);
  const bool is_news = RecordCrashedRun(records, run, Now());
  if (is_news) {
    LogSuspicion(node, run.request);
  }
  if (!was_mixed && IsMixed(records, run.request)) {
    *news.add_completed_runs() = CompletedRunOf(GroupOf(run.request), false);
  }
  return is_news;
}

void ReportCrash(Node& node,
                 const EndpointStart& endpoint,
                 const UnfinishedRequests& unfinished,
                 Duration crashed_at) {
  const Duration now = Now();
  pb::NodeFrame frame;
  pb::EndpointNews& news = *frame.mutable_endpoint_news();
  for (const auto& [request, began_recently] : unfinished) {
    const CrashedRun run{.request = request,
                         .endpoint = endpoint,
                         .crashed_at = crashed_at,
                         .began_recently = began_recently,
                         .others_missing = false,
                         .seen_at = now};
    if (RecordRun(node, run, news)) {
      *news.add_crashed_runs() = ToProto(run, now);
    }
  }
  if (node.crash_watch.crashed_at.emplace(endpoint, crashed_at).second) {
    RecordCrash(node.endpoints, endpoint, crashed_at);
    WriteLog(node.log, LogLevel::kUnusual, "endpoint crashed",
             {{"endpoint", endpoint.endpoint},
              {"unfinished", news.crashed_runs_size()}});
  }
  if (news.crashed_runs_size() > 0) {
    SendToAll(node.peers, frame);
  }
}

Task<> Check(Node& node, EndpointEntry endpoint) {
  const EndpointStart start = StartOf(endpoint);
  const bool has_crashed = co_await HasCrashed(node, std::move(endpoint), true);
  const CrashCheck check = std::move(node.crash_watch.checks[start]);
  node.crash_watch.checks.erase(start);
  if (has_crashed) {
    ReportCrash(node, start, UnfinishedAt(node, start, check.broke_at),
                check.broke_at);
  }
  for (const auto& done : check.waiting) {
    done->SetValue(has_crashed);
  }
}

void ReportSilence(Node& node, const EndpointStart& endpoint) {
  if (node.crash_watch.crashed_at.contains(endpoint)) {
    return;
  }
  if (const UnfinishedRequests unanswered = UnansweredBy(node, endpoint);
      !unanswered.empty()) {
    ReportCrash(node, endpoint, unanswered, Now());
  }
}

Task<> CheckRemoved(Node& node, EndpointEntry endpoint) {
  const EndpointStart start = StartOf(endpoint);
  if (co_await HasCrashed(node, std::move(endpoint), false)) {
    ReportSilence(node, start);
  }
}

// The end of an endpoint that leaves is no crash.
bool HasAnnouncedEnd(const Node& node, const EndpointEntry& endpoint) {
  const auto known = node.endpoints.endpoints.find(endpoint.id);
  const bool is_leaving =
      known != node.endpoints.endpoints.end() && known->second.entry.leaving;
  return is_leaving || HasDeparted(node.endpoints, endpoint);
}

void ForgetAbandoned(SentRequestTable& sent, Duration now) {
  for (auto& [endpoint, requests] : sent) {
    std::erase_if(requests.abandoned, [now, &requests = requests](
                                          const AbandonedRun& run) {
      const bool is_answering = requests.answered_at >= run.abandoned_at;
      return run.abandoned_at +
                 (is_answering ? kAbandonedTime : kSilenceMemory) <=
             now;
    });
  }
  std::erase_if(sent, [](const auto& entry) {
    return entry.second.under_way.empty() && entry.second.abandoned.empty();
  });
}

}  // namespace

SentRun::SentRun(Node& sending_node,
                 EndpointEntry sent_to,
                 RequestIdentity sent_request)
    : node(sending_node),
      endpoint(std::move(sent_to)),
      request(std::move(sent_request)),
      began_at(Now()) {
  this->node.sent_requests[StartOf(this->endpoint)].under_way.insert(this);
}

SentRun::~SentRun() {
  if (this->is_finished) {
    return;
  }
  this->Finish();
  auto& abandoned = this->node.sent_requests[StartOf(this->endpoint)].abandoned;
  if (abandoned.size() >= kMaxAbandoned) {
    abandoned.pop_front();
  }
  abandoned.push_back({.request = this->request,
                       .began_at = this->began_at,
                       .abandoned_at = Now()});
}

void SentRun::Begin() {
  this->began_at = Now();
  this->node.sent_requests[StartOf(this->endpoint)].answered_at = Now();
}

void SentRun::Finish() {
  if (this->is_finished) {
    return;
  }
  this->is_finished = true;
  const auto sent = this->node.sent_requests.find(StartOf(this->endpoint));
  sent->second.under_way.erase(this);
  if (sent->second.under_way.empty() && sent->second.abandoned.empty()) {
    this->node.sent_requests.erase(sent);
  }
}

Task<bool> CheckForCrash(Node& node, EndpointEntry endpoint) {
  if (HasAnnouncedEnd(node, endpoint)) {
    co_return false;
  }
  const EndpointStart start = StartOf(endpoint);
  if (const auto crashed = node.crash_watch.crashed_at.find(start);
      crashed != node.crash_watch.crashed_at.end()) {
    ReportCrash(node, start, UnfinishedAt(node, start, crashed->second),
                crashed->second);
    co_return true;
  }
  const auto done = std::make_shared<Promise<bool>>(node.io);
  const auto [check, is_new] = node.crash_watch.checks.try_emplace(
      start, CrashCheck{.broke_at = Now(), .waiting = {}});
  check->second.waiting.push_back(done);
  if (is_new) {
    Spawn(node.io, Check(node, std::move(endpoint)));
  }
  // Without a result in time, the call goes on as after a broken connection.
  const auto has_crashed = co_await done->Wait(kMaxCheckTime);
  co_return has_crashed.value_or(false);
}

void HandleStart(Node& node, const EndpointEntry& started) {
  const auto has_ended = [&started](const EndpointStart& start,
                                    const std::string& address) {
    return start.started_at < started.started_at &&
           (start.endpoint == started.id || address == started.address);
  };
  std::vector<EndpointStart> ended;
  for (const auto& [id, known] : node.endpoints.endpoints) {
    if (const EndpointStart start = StartOf(known.entry);
        has_ended(start, known.entry.address) &&
        !HasAnnouncedEnd(node, known.entry)) {
      ended.push_back(start);
    }
  }
  for (const auto& [start, removed] : node.crash_watch.removed) {
    if (has_ended(start, removed.address)) {
      ended.push_back(start);
    }
  }
  for (const EndpointStart& start : ended) {
    node.crash_watch.removed.erase(start);
    ReportSilence(node, start);
  }
}

void HandleRemoval(Node& node, const std::string& id) {
  const auto found = node.endpoints.endpoints.find(id);
  if (found == node.endpoints.endpoints.end() ||
      HasAnnouncedEnd(node, found->second.entry)) {
    return;
  }
  const EndpointEntry& endpoint = found->second.entry;
  if (const EndpointStart start = StartOf(endpoint);
      node.sent_requests.contains(start)) {
    node.crash_watch.removed[start] = {.address = endpoint.address,
                                       .removed_at = Now()};
    Spawn(node.io, CheckRemoved(node, endpoint));
  }
}

void HandleCompletion(Node& node, SentRun& run) {
  run.Finish();
  auto& completed_at = node.crash_watch.completed_at;
  if (completed_at.size() < kMaxCompletions) {
    completed_at[run.Request()] = Now();
  }
  if (!RecordCompletion(node.crash_watch.records, run.Request(), Now())) {
    return;
  }
  pb::NodeFrame frame;
  *frame.mutable_endpoint_news()->add_completed_runs() =
      CompletedRunOf(run.Request(), !HasSuspects(node, GroupOf(run.Request())));
  SendToAll(node.peers, frame);
}

void HandleDeadlyArrival(Node& node, const RequestIdentity& request) {
  const Duration now = Now();
  CrashRecords& records = node.crash_watch.records;
  pb::NodeFrame frame;
  for (const RequestIdentity& copy :
       RecordDeadlyArrival(records, request, now)) {
    for (const CrashedRun& run : CrashedRunsOf(records, copy)) {
      *frame.mutable_endpoint_news()->add_crashed_runs() = ToProto(run, now);
    }
  }
  if (frame.has_endpoint_news()) {
    SendToAll(node.peers, frame);
  }
}

void AddKnownCrashes(const Node& node, pb::EndpointNews& news) {
  const CrashRecords& records = node.crash_watch.records;
  const Duration now = Now();
  for (const auto& [request, record] : records.requests) {
    for (const CrashedRun& run : CrashedRunsOf(records, request)) {
      *news.add_crashed_runs() = ToProto(run, now);
    }
  }
  for (const auto& [identity, group] : records.groups) {
    if (group.is_mixed) {
      *news.add_completed_runs() = CompletedRunOf(identity, false);
    }
  }
  for (const auto& [request, completed_at] : records.completed_at) {
    pb::CompletedRun& run = *news.add_completed_runs();
    run = CompletedRunOf(request, !HasSuspects(node, GroupOf(request)));
    run.set_age_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                              completed_at)
            .count()));
  }
}

void ApplyCrashNews(Node& node, const pb::EndpointNews& news) {
  const Duration now = Now();
  pb::NodeFrame known;
  for (const pb::CrashedRun& one : news.crashed_runs()) {
    const CrashedRun run = FromProto(one, now);
    RecordRun(node, run, *known.mutable_endpoint_news());
    if (run.crashed_at + kMaxCrashAge > now) {
      RecordCrash(node.endpoints, run.endpoint, run.crashed_at);
    }
  }
  for (const pb::CompletedRun& one : news.completed_runs()) {
    const auto [request, completed_at] = FromProto(one, now);
    RecordCompletion(node.crash_watch.records, request, completed_at);
  }
  if (known.endpoint_news().completed_runs_size() > 0) {
    SendToAll(node.peers, known);
  }
}

void ReviewCrashes(Node& node) {
  const Duration now = Now();
  DropExpiredCrashes(node.crash_watch.records, now);
  std::erase_if(node.crash_watch.crashed_at, [now](const auto& entry) {
    return entry.second + kCrashMemory <= now;
  });
  std::erase_if(node.crash_watch.completed_at, [now](const auto& entry) {
    return entry.second + kCompletionMemory <= now;
  });
  std::erase_if(node.crash_watch.removed, [now](const auto& entry) {
    return entry.second.removed_at + kSilenceMemory <= now;
  });
  ForgetAbandoned(node.sent_requests, now);
}

}  // namespace celerykeel
