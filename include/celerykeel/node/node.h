#pragma once

#include <cstdint>   // for uint64_t
#include <map>       // for std::map
#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string
#include <utility>   // for std::pair
#include <vector>    // for std::vector

#include "celerykeel/core/capacity_admission.h"  // for CapacityGate
#include "celerykeel/core/deployment.h"          // for Deployment
#include "celerykeel/core/endpoint_path.h"       // for EndpointPath
#include "celerykeel/core/endpoint_speed.h"      // for EndpointSpeeds
#include "celerykeel/core/endpoint_table.h"      // for EndpointTable
#include "celerykeel/core/rate_borrower.h"       // for RateBorrower
#include "celerykeel/core/rate_home.h"           // for RateHome
#include "celerykeel/core/recent_programs.h"     // for RecentPrograms
#include "celerykeel/core/slot_table.h"          // for KnownFleet
#include "celerykeel/core/spent_programs.h"      // for SpentPrograms
#include "celerykeel/core/team_queue.h"          // for TeamQueue
#include "celerykeel/node/asio.h"                // for asio::io_context
#include "celerykeel/node/caller_stream.h"       // for CallerStream
#include "celerykeel/node/crash_store.h"         // for CrashStore
#include "celerykeel/node/crash_watch.h"         // for CrashWatch
#include "celerykeel/node/endpoint_feed.h"       // for EndpointListState
#include "celerykeel/node/endpoint_limits.h"     // for EndpointLimitState
#include "celerykeel/node/feeds.h"               // for DeploymentFeed
#include "celerykeel/node/list_log.h"            // for ListReadsByTopic
#include "celerykeel/node/log_sink.h"            // for LogSink
#include "celerykeel/node/metrics.h"             // for NodeMetrics
#include "celerykeel/node/options.h"             // for NodeOptions
#include "celerykeel/node/out_connection.h"      // for OutPool
#include "celerykeel/node/peer_link.h"           // for PeerNetwork
#include "celerykeel/node/request_memory.h"      // for RequestMemory
#include "celerykeel/node/slot_host.h"           // for SlotHost
#include "celerykeel/node/start_record.h"        // for StartRecord
#include "celerykeel/node/store_client.h"        // for StoreClient
#include "celerykeel/node/version_feed.h"        // for VersionFeed
#include "celerykeel/node/zone_traffic.h"        // for ZoneTraffic

namespace celerykeel {

/// @brief Calls in flight from one instance, by service and team.
using TeamLoads = std::map<std::pair<std::string, std::string>, uint32_t>;

/// @brief The state that a peer's last heartbeat reported besides its
/// membership.
struct PeerState {
  uint64_t deployment_version = 0;
  bool store_reached = false;
  bool opens_tunnels = false;     // reaches the endpoints
  bool gives_deployment = false;  // answers DeploymentWish
  bool counts_covers = false;     // see pb::NodeHeartbeat
  // When the store last answered an append of the peer quickly.
  std::optional<Duration> quick_append_at;
  uint32_t rate_protocol = 0;  // see NodeHeartbeat
  TeamLoads team_loads;
  std::map<std::string, uint32_t> loads;  // calls in flight, by endpoint
  // Set if the peer is a reader: when it read the endpoints that it reported.
  std::optional<Duration> endpoints_read_at;
};

/// @brief Programs of a team that full services refused since the last log
/// line.
struct FullServiceLog {
  Duration logged_at{};
  uint64_t held_back = 0;
};

/// @brief Refusals of a team at its home since the last log line.
struct RefusalLog {
  Duration logged_at{};
  uint64_t no_token = 0;  // calls that lacked a token
  uint64_t programs_held_back = 0;
  uint64_t plain_held_back = 0;
  uint64_t returned = 0;  // calls that came back when they were told to
  Duration longest_told{};
};

/// @brief State of the team rates: loans taken as a borrower, loans given as a
/// home, and programs in progress.
struct TeamRateState {
  RateBorrower borrower;
  RateHome home;
  std::map<std::string, uint64_t> home_epochs;  // of `home`'s buckets, by team
  // Token buckets of teams whose home does not answer, by team.
  std::map<std::string, TokenBucket> without_home;
  // Teams with a loan request in flight that was made ahead of need.
  std::set<std::string> loan_requests_ahead;
  // As the home, by team.
  std::map<std::string, TeamQueue> queues;
  std::map<std::string, Duration> home_since;   // of `home_epochs`
  std::map<std::string, Duration> recalled_at;  // time of the last recall
  // Time of the last log line on refusals, by team.
  std::map<std::string, RefusalLog> refusal_logs;
  std::map<std::string, Duration>
      scarcity_valid_until;  // by team, reported by homes
  // Hashes of programs not reported to the home yet, by team.
  std::map<std::string, std::vector<uint64_t>> unreported_programs;
  RecentPrograms recent_programs;  // served here
};

/// @brief The planned stop of an instance.
struct PlannedStop {
  Duration began_at{};
  Duration calls_end_at{};  // calls that are under way then are aborted
};

/// @brief Lines of a kind that were logged within a second.
struct LoggedLines {
  Duration since{};
  uint64_t count = 0;
};

/// @brief All state of one instance. Only the thread of the event loop uses
/// it.
struct Node {
  explicit Node(NodeOptions from)
      : request_memory(from.memory_bytes), options(std::move(from)) {}

  // Declared before `io` to outlive it: the destruction of the loop ends calls,
  // which then decrement their counts in these members.
  EndpointTable endpoints;
  EndpointSpeeds speeds;
  ZoneTraffic zone_traffic;
  TeamLoads team_loads;              // at services whose endpoints are engines
  size_t buffered_answer_bytes = 0;  // of incomplete answers
  RequestMemory request_memory;
  SentRequestTable sent_requests;
  std::set<std::string> ended_isolations;   // endpoints; not reported yet
  size_t unknown_peers = 0;                 // that have not sent a frame yet
  uint32_t tunnels_for_peers = 0;           // open for other instances
  std::map<std::string, uint32_t> tunnels;  // open over each peer

  asio::io_context io{1};
  NodeOptions options;
  Incarnation incarnation = 0;
  LogSink log;
  NodeMetrics metrics;

  std::shared_ptr<const Deployment> deployment;  // null until the first read
  DeploymentFeed deployment_feed;
  OutPool endpoint_pool;
  OutPool tunnel_pool;  // connections to peers; none is idle
  StoreClient store;
  ListReadsByTopic list_reads;

  KnownFleet fleet;
  PeerNetwork peers;
  std::map<std::string, PeerState> peer_states;
  SlotHost slots;
  SpentPrograms spent_programs;
  TeamRateState rates;
  std::map<std::string, CapacityGate> capacity_gates;       // by service
  std::map<std::string, FullServiceLog> full_service_logs;  // by team
  EndpointLimitState endpoint_limits;
  EndpointPath endpoint_path;
  VersionFeed version_feed;
  CrashWatch crash_watch;
  CrashStore crash_store;
  // When the next copy of a request may run, as its home or without one.
  std::map<RequestIdentity, Duration> suspect_runs;

  EndpointListState endpoint_list;
  std::optional<Duration> endpoints_read_at;  // as a reader for all instances
  LoggedLines speed_lines;       // on endpoints that became slow or fast
  uint64_t entries_skipped = 0;  // endpoint entries that don't decode

  std::set<CallerStreamPtr> callers;                 // open connections
  std::map<std::string, size_t> callers_by_address;  // number of connections
  uint64_t caller_limits_unlogged = 0;               // see RecordCallerLimit
  Duration caller_limits_logged_at{};
  uint64_t calls_under_way = 0;
  std::unique_ptr<Tcp::acceptor> callers_acceptor;  // null: accepts no more
  StartRecord start;
  bool stopping = false;
  std::optional<PlannedStop> planned_stop;  // set while `stopping`
};

/// @brief Returns true if the instance has a configuration and has read the
/// evacuations of zones once.
bool HasConfiguration(const Node& node);

/// @brief Returns true if the instance can serve callers: it has a
/// configuration and knows endpoints to send to.
bool IsReady(const Node& node);

}  // namespace celerykeel
