#pragma once

#include <deque>     // for std::deque
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <random>    // for std::mt19937_64
#include <set>       // for std::set
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/fleet_state.h"       // for FleetState
#include "celerykeel/core/lease.h"             // for HolderLease
#include "celerykeel/core/witness.h"           // for Witness
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
enum class OwnRecord { kJoin, kWitnessChange, kLeave, kEvict, kSnapshot };

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

/// @brief A change of the instance's own witnesses that is under way.
struct OwnWitnessChange {
  WitnessChange record;
  Duration started_at{};
  Duration append_after{};
  bool in_flight = false;
  bool sent = false;  // an append may have taken effect
};

/// @brief The words gathered for the eviction of one member.
struct EvictionRound {
  std::vector<Incarnation> words;
  Duration asked_at{};
  Duration append_after{};
};

/// @brief Counts since the start, for metrics.
struct ControlTotals {
  uint64_t joins = 0;
  uint64_t evicted = 0;  // own incarnations that others evicted
  uint64_t evictions = 0;
  uint64_t witness_changes = 0;
  uint64_t words = 0;
  uint64_t snapshots = 0;
  uint64_t dropped_messages = 0;  // torn or foreign
  uint64_t records_from_peers = 0;
};

/// @brief The steward's own state. Its functions take an event and the time,
/// and put what follows into an outbox; they do no I/O.
struct Control {
  StewardOptions options;
  std::mt19937_64 random;

  FleetState state;
  RecordBuffer records;
  std::deque<LogEntry> unfolded;  // read before the state could be restored
  Duration fresh_at{};            // when `state` was last known complete

  Duration log_read_at{};  // when the log was last read to its end

  Incarnation self = 0;     // joined
  Incarnation joining = 0;  // not yet seen in the stream
  Duration join_after{};    // not before
  Duration joined_at{};

  HolderLease lease;
  HolderLease outage;  // vouches of witnesses that can't reach the log either
  Duration lease_until{};
  Duration heartbeat_at{};
  std::set<std::string> refused;  // witnesses that do not vouch
  std::optional<OwnWitnessChange> change;
  Duration change_after{};  // no change of witnesses before
  Witness witness;
  std::map<Incarnation, EvictionRound> rounds;

  uint64_t records_sequence = 0;  // of the newest request for records
  Duration records_asked_at{};    // when it was sent
  Duration ticked_at{};
  Duration pushed_at{};
  Duration snapshot_at{};  // when one was last seen or written

  std::map<std::string, Subscriber> subscribers;  // by routing id
  std::set<std::string> drained;                  // processes that reported it
  Duration drain_until{};
  Duration leave_after{};  // next attempt

  ControlTotals totals;

  bool caught_up = false;  // the log was read to its end once
  bool log_reachable = false;
  bool restore_failed = false;
  bool join_in_flight = false;
  bool snapshot_seen = false;  // since the last tick
  bool draining = false;
  bool leaving = false;  // its Leave may be in the log
  bool left = false;
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
void OnPeerBytes(Control& control,
                 const Peer& peer,
                 std::string_view bytes,
                 Duration now,
                 Outbox& out);
void OnDrain(Control& control, Duration now, Outbox& out);
void OnTick(Control& control, Duration now, Outbox& out);

/// @brief Folds the records of an update that a peer passed on.
/// @return true if the state is now at least where the update ends.
bool FoldUpdate(Control& control, const pb::FeedUpdate& update);

/// @brief What follows from a changed state, however it changed.
void AfterFold(Control& control, Duration now, Outbox& out);

/// @brief Puts a record of the steward's own into the outbox.
void AppendOwn(Outbox& out, OwnRecord kind, const FleetRecord& record);

}  // namespace celerykeel
