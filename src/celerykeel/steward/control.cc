#include "celerykeel/steward/control.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include "celerykeel/core/fold.h"           // for Fold
#include "celerykeel/net/log.h"             // for Log
#include "celerykeel/steward/feed.h"        // for OnHello, PushToSubscribers
#include "celerykeel/steward/membership.h"  // for JoinIfDue
#include "celerykeel/steward/peers.h"       // for OnPeerMessage
#include "celerykeel/wire/fleet_codec.h"    // for DecodeFleetRecord

namespace celerykeel {

namespace {

void FoldEntry(Control& control, LogEntry entry) {
  if (entry.offset <= control.state.offset) {
    return;
  }
  const FleetRecord record = DecodeFleetRecord(entry.payload);
  if (std::holds_alternative<Snapshot>(record)) {
    control.snapshot_seen = true;
  }
  if (std::holds_alternative<Unreadable>(record)) {
    Log("steward", "record does not decode, skipped",
        {{"offset", entry.offset}});
  }
  Fold(control.state, entry.offset, record);
  Add(control.records, std::move(entry));
}

// The newest snapshot among the records read whose successors all were read
// too, or null.
std::optional<Snapshot> FindUsableSnapshot(const std::deque<LogEntry>& entries,
                                           Offset earliest) {
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    const FleetRecord record = DecodeFleetRecord(entry->payload);
    const auto* snapshot = std::get_if<Snapshot>(&record);
    if (snapshot != nullptr && snapshot->state != nullptr &&
        snapshot->offset + 1 >= earliest) {
      return *snapshot;
    }
  }
  return std::nullopt;
}

// Folds what was read, once nothing is missing between the state and it.
bool FoldUnfolded(Control& control) {
  if (control.unfolded.empty()) {
    return true;
  }
  const Offset first = control.unfolded.front().offset;
  if (first > control.state.offset + 1) {
    auto snapshot = FindUsableSnapshot(control.unfolded, first);
    if (!snapshot || snapshot->offset < control.state.offset) {
      return false;
    }
    control.state = *snapshot->state;
    Clear(control.records);
  }
  for (LogEntry& entry : control.unfolded) {
    FoldEntry(control, std::move(entry));
  }
  control.unfolded.clear();
  return true;
}

// A pause of the whole process: what was sent to it meanwhile still waits, so
// silence during the pause says nothing of others.
void NoticePause(Control& control, Duration now) {
  if (now - control.ticked_at > control.options.lease / 2) {
    Listen(control.witness, now);
  }
  control.ticked_at = now;
}

}  // namespace

void AppendOwn(Outbox& out, OwnRecord kind, const FleetRecord& record) {
  out.log.push_back({kind, EncodeFleetRecord(record)});
}

Control MakeControl(StewardOptions options, uint64_t seed) {
  Control control;
  control.options = std::move(options);
  control.random.seed(seed);
  return control;
}

void OnFleetPage(Control& control, FleetPage page, Duration now, Outbox& out) {
  const bool at_end = page.page.entries.empty() ||
                      page.page.entries.back().offset + 1 >= page.page.next;
  if (!control.log_reachable) {
    control.log_reachable = true;
    Log("steward", "the log is read", {{"offset", control.state.offset}});
  }
  for (LogEntry& entry : page.page.entries) {
    control.unfolded.push_back(std::move(entry));
  }
  if (!FoldUnfolded(control)) {
    if (!control.restore_failed) {
      control.restore_failed = true;
      Log("steward",
          "the log's oldest records have expired and none of the rest restores "
          "the state; waits for a snapshot, or for a seed peer");
    }
    return;
  }
  if (at_end && control.state.offset + 1 >= page.page.next) {
    control.caught_up = true;
    control.fresh_at = std::max(control.fresh_at, page.asked_at);
    control.log_read_at = page.asked_at;
  }
  AfterFold(control, now, out);
}

bool FoldUpdate(Control& control, const pb::FeedUpdate& update) {
  if (update.has_snapshot() &&
      update.snapshot().offset() > control.state.offset) {
    control.state = FromProto(update.snapshot().state());
    Clear(control.records);
  }
  for (const pb::FeedRecord& record : update.records()) {
    if (record.offset() <= control.state.offset + 1) {
      FoldEntry(control, {record.offset(), record.payload()});
    }
  }
  return control.state.offset >= update.offset();
}

void AfterFold(Control& control, Duration now, Outbox& out) {
  TakeOwnRecords(control, now);
  JoinIfDue(control, now, out);
  SendHeartbeatsIfDue(control, now, out);
  PushToSubscribers(control, out);
}

void OnLogFailure(Control& control, Outbox& out) {
  if (control.log_reachable) {
    control.log_reachable = false;
    Log("steward", "the log can't be read");
    PushToSubscribers(control, out);
  }
}

void OnOwnRecord(Control& control,
                 OwnRecord kind,
                 const AppendResult& result,
                 Duration now) {
  TakeOwnResult(control, kind, result, now);
}

void OnPeerBytes(Control& control,
                 const Peer& peer,
                 std::string_view bytes,
                 Duration now,
                 Outbox& out) {
  pb::PeerMessage message;
  if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    OnPeerMessage(control, peer, message, now, out);
  } else {
    ++control.totals.dropped_messages;
  }
}

void OnDrain(Control& control, Duration now, Outbox& out) {
  if (!control.draining) {
    control.draining = true;
    control.drain_until = now + control.options.drain_timeout;
    Log("steward", "draining");
    PushToSubscribers(control, out);
  }
}

void OnFeedRequest(Control& control,
                   const Peer& peer,
                   const pb::FeedRequest& request,
                   Duration now,
                   Outbox& out) {
  if (request.has_hello()) {
    OnHello(control, peer, request.hello(), now, out);
  } else if (request.has_status()) {
    pb::FeedReply reply;
    pb::FeedStatus& status = *reply.mutable_status();
    status.set_id(request.status().id());
    status.set_instance(control.options.instance);
    *status.mutable_state() = ToProto(control.state);
    status.set_log_reachable(control.log_reachable);
    const Duration left = std::max(control.lease_until - now, Duration{});
    status.set_lease_left_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    out.feed.push_back({peer, std::move(reply)});
  } else if (request.has_drained()) {
    control.drained.insert(request.drained().process());
    pb::FeedReply reply;
    reply.mutable_drained()->set_process(request.drained().process());
    out.feed.push_back({peer, std::move(reply)});
  }
}

void OnTick(Control& control, Duration now, Outbox& out) {
  NoticePause(control, now);
  DropSilentSubscribers(control, now);
  JoinIfDue(control, now, out);
  SendHeartbeatsIfDue(control, now, out);
  ChangeWitnessesIfDue(control, now, out);
  EvictSilentMembers(control, now, out);
  AskSeedsIfDue(control, now, out);
  WriteSnapshotIfDue(control, now, out);
  LeaveIfDue(control, now, out);
  PushIfDue(control, now, out);
}

}  // namespace celerykeel
