#pragma once

#include <cstdint>   // for uint64_t
#include <map>       // for std::map
#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string

#include "celerykeel/core/deployment.h"      // for Deployment
#include "celerykeel/core/endpoint_table.h"  // for EndpointTable
#include "celerykeel/core/newcomer_gate.h"   // for NewcomerGate
#include "celerykeel/core/rate_borrower.h"   // for RateBorrower
#include "celerykeel/core/rate_home.h"       // for RateHome
#include "celerykeel/core/slot_table.h"      // for KnownFleet
#include "celerykeel/core/spent_programs.h"  // for SpentPrograms
#include "celerykeel/node/asio.h"            // for asio::io_context
#include "celerykeel/node/caller_stream.h"   // for CallerStream
#include "celerykeel/node/log_sink.h"        // for LogSink
#include "celerykeel/node/metrics.h"         // for NodeMetrics
#include "celerykeel/node/options.h"         // for NodeOptions
#include "celerykeel/node/out_connection.h"  // for OutPool
#include "celerykeel/node/peer_link.h"       // for PeerNetwork
#include "celerykeel/node/slot_host.h"       // for SlotHost
#include "celerykeel/node/store_client.h"    // for StoreClient

namespace celerykeel {

/// @brief What a peer's last heartbeat said besides its membership.
struct PeerState {
  uint64_t deployment_version = 0;
  bool store_reached = false;
  std::map<std::string, uint32_t> loads;  // calls in flight, by endpoint
  // A reader's: when what it has told of the endpoints was true.
  std::optional<Duration> endpoints_read_at;
};

/// @brief Rates of teams: what is borrowed, and what is lent as a home.
struct RateDesk {
  RateBorrower borrower;
  RateHome home;
  std::map<std::string, uint64_t> home_epochs;  // of `home`'s buckets, by team
  // Of teams whose home does not answer: what this instance lets through.
  std::map<std::string, TokenBucket> without_home;
  std::set<std::string> asking;  // teams with a wish ahead under way
  std::map<std::string, NewcomerGate> newcomers;  // as the home, by team
  std::map<std::string, Duration> scarce_until;   // by team, as homes said
  std::map<std::string, uint32_t> begun;  // programs the home has not heard of
  std::map<ProgramName, Duration> under_way;  // programs served of late
};

/// @brief All state of one instance. One thread, the loop's, uses it.
struct Node {
  explicit Node(NodeOptions from) : options(std::move(from)) {}

  // Before the loop: calls that end with it count themselves out here.
  EndpointTable endpoints;
  size_t buffered_answer_bytes = 0;  // of answers that are not complete yet

  asio::io_context io{1};
  NodeOptions options;
  Incarnation incarnation = 0;
  LogSink log;
  NodeMetrics metrics;

  std::shared_ptr<const Deployment> deployment;  // null until one is known
  OutPool endpoint_pool;
  StoreClient store;

  KnownFleet fleet;
  PeerNetwork peers;
  std::map<std::string, PeerState> peer_states;
  SlotHost slots;
  SpentPrograms spent_programs;
  RateDesk rates;

  std::optional<Duration> endpoints_read_at;  // as a reader for all
  bool catching_up = false;      // with the configuration of a peer
  uint64_t entries_skipped = 0;  // endpoint entries that don't decode

  std::set<CallerStreamPtr> callers;  // open connections
  uint64_t calls_under_way = 0;
  std::unique_ptr<Tcp::acceptor> callers_acceptor;  // null: takes no more
  bool stopping = false;
};

/// @brief Ready for callers: it knows what is in force and where to send.
bool IsReady(const Node& node);

}  // namespace celerykeel
