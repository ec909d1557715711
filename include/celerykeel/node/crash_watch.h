#pragma once

#include <deque>    // for std::deque
#include <map>      // for std::map
#include <memory>   // for std::shared_ptr
#include <set>      // for std::multiset
#include <string>   // for std::string
#include <utility>  // for std::pair
#include <vector>   // for std::vector

#include "celerykeel/core/crash_records.h"   // for CrashRecords
#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node.pb.h"              // for pb::EndpointNews
#include "celerykeel/node/asio.h"            // for Task, Promise

namespace celerykeel {

struct Node;

class SentRun;

/// @brief A request that this instance gave up after sending it, for example as
/// its caller disconnected. The endpoint may run it on.
struct AbandonedRun {
  RequestIdentity request;
  Duration began_at{};
  Duration abandoned_at{};
};

/// @brief The requests that this instance has sent to one start of an endpoint.
struct SentRequests {
  std::set<const SentRun*> under_way;
  std::deque<AbandonedRun> abandoned;
  Duration answered_at{};  // when the endpoint last began or ended an answer
};
using SentRequestTable = std::map<EndpointStart, SentRequests>;

/// @brief A check whether an endpoint has crashed.
struct CrashCheck {
  Duration broke_at{};  // when the first connection broke
  std::vector<std::shared_ptr<Promise<bool>>> waiting;
};

/// @brief An endpoint whose entry was removed unannounced, while requests of
/// this instance had no answer.
struct RemovedEndpoint {
  std::string address;
  Duration removed_at{};
};

/// @brief What this instance knows about crashes of endpoints.
struct CrashWatch {
  CrashRecords records;
  std::map<RequestIdentity, Duration> completed_at;  // here, of late
  std::map<EndpointStart, Duration> crashed_at;      // recent, seen from here
  std::map<EndpointStart, CrashCheck> checks;        // under way
  std::map<EndpointStart, RemovedEndpoint> removed;
};

/// @brief Counts a request as under way at its endpoint, from its sending to
/// Finish; otherwise it is abandoned at the end of this object's life.
class SentRun {
 public:
  SentRun(Node& sending_node,
          EndpointEntry sent_to,
          RequestIdentity sent_request);
  ~SentRun();
  SentRun(const SentRun&) = delete;
  SentRun& operator=(const SentRun&) = delete;

  /// @brief The endpoint has begun to answer.
  void Begin();
  /// @brief The endpoint does not run the request any more.
  void Finish();

  const EndpointEntry& Endpoint() const { return this->endpoint; }
  const RequestIdentity& Request() const { return this->request; }
  /// @brief When the answer began; before that, when the request was sent.
  Duration BeganAt() const { return this->began_at; }

 private:
  Node& node;
  EndpointEntry endpoint;
  RequestIdentity request;
  Duration began_at;
  bool is_finished = false;
};

/// @brief Called when an endpoint closed a connection before the end of its
/// answer. Finds out whether it has crashed, and if so reports to the peers
/// which requests were unfinished there. Returns within a few round trips.
/// @return true if it is found to have crashed.
Task<bool> CheckForCrash(Node& node, EndpointEntry endpoint);

/// @brief Called before a new start of an endpoint is recorded. Earlier starts
/// under its id or at its address have ended. For those that had not announced
/// that, reports to the peers which requests of this instance had no answer.
void HandleStart(Node& node, const EndpointEntry& started);

/// @brief Called before the removal of an endpoint's entry is recorded. An
/// endpoint that had not announced that it leaves and can't be reached either
/// has fallen silent, and is reported as by HandleStart.
void HandleRemoval(Node& node, const std::string& id);

/// @brief Called when an endpoint has answered a request completely. Clears the
/// request of earlier crashes.
void HandleCompletion(Node& node, SentRun& run);

/// @brief Reports to the peers that a deadly request came again, so that it is
/// not forgotten.
void HandleDeadlyArrival(Node& node, const RequestIdentity& request);

/// @brief Adds all known crashes, for a peer that has just been connected.
void AddKnownCrashes(const Node& node, pb::EndpointNews& news);

void ApplyCrashNews(Node& node, const pb::EndpointNews& news);

/// @brief Drops expired records.
void ReviewCrashes(Node& node);

}  // namespace celerykeel
