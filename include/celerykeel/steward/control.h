#pragma once

#include <deque>     // for std::deque
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <random>    // for std::mt19937_64
#include <set>       // for std::set
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/fleet_state.h"       // for FleetState
#include "celerykeel/feed.pb.h"                // for pb::FeedReply
#include "celerykeel/net/feed_client.h"        // for AppendResult
#include "celerykeel/net/messenger.h"          // for Peer
#include "celerykeel/peer.pb.h"                // for pb::PeerMessage
#include "celerykeel/steward/log_reader.h"     // for FleetPage
#include "celerykeel/steward/options.h"        // for StewardOptions
#include "celerykeel/steward/record_buffer.h"  // for RecordBuffer

namespace celerykeel {

/// @brief A process that reads the feed.
struct Subscriber {
  Peer peer;
  std::string process;
  Offset sent = 0;      // last record sent to it
  Duration hello_at{};  // when it last asked
};

/// @brief What the steward appends to the fleet stream for itself.
enum class OwnRecord { kJoin, kLeave, kEvict, kSnapshot };

/// @brief What the control duty asks of the threads round it.
struct Outbox {
  struct ToFeed {
    Peer peer;
    pb::FeedReply reply;
  };
  struct ToPeer {
    Peer peer;
    pb::PeerMessage message;
  };
  struct ToLog {
    OwnRecord kind = OwnRecord::kJoin;
    std::string payload;
  };

  std::vector<ToFeed> feed;
  std::vector<ToPeer> peers;
  std::vector<ToLog> log;
};

/// @brief The steward's own state. Its functions take an event and the time,
/// and put what follows into an outbox; they do no I/O.
struct Control {
  StewardOptions options;
  std::mt19937_64 random;

  FleetState state;
  RecordBuffer records;
  std::deque<LogEntry> unfolded;  // read before the state could be restored
  bool caught_up = false;         // the log was read to its end once
  bool log_reachable = false;
  Duration fresh_at{};  // when `state` was last known complete

  Incarnation self = 0;     // joined
  Incarnation joining = 0;  // not yet seen in the stream
  bool join_in_flight = false;
  Duration join_after{};  // not before
  Duration lease_until{};

  std::map<std::string, Subscriber> subscribers;  // by routing id
  std::set<std::string> drained;                  // processes that reported it
  bool draining = false;
};

Control MakeControl(StewardOptions options, uint64_t seed);

void OnFleetPage(Control& control, FleetPage page, Duration now, Outbox& out);
void OnLogFailure(Control& control, Outbox& out);
void OnOwnRecord(Control& control,
                 OwnRecord kind,
                 const AppendResult& result,
                 Duration now);
void OnFeedRequest(Control& control,
                   const Peer& peer,
                   const pb::FeedRequest& request,
                   Duration now,
                   Outbox& out);
void OnTick(Control& control, Duration now, Outbox& out);

}  // namespace celerykeel
