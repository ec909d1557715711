#include "celerykeel/steward/control.h"

#include <fmt/format.h>  // for fmt::format

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include "celerykeel/core/fold.h"         // for Fold
#include "celerykeel/net/log.h"           // for Log
#include "celerykeel/steward/feed.h"      // for OnHello, PushToSubscribers
#include "celerykeel/wire/fleet_codec.h"  // for DecodeFleetRecord

namespace celerykeel {

namespace {

constexpr Duration kJoinRetry = std::chrono::milliseconds(500);

void FoldEntry(Control& control, LogEntry entry) {
  if (entry.offset <= control.state.offset) {
    return;
  }
  Fold(control.state, entry.offset, DecodeFleetRecord(entry.payload));
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

void AppendOwn(Outbox& out, OwnRecord kind, const FleetRecord& record) {
  out.log.push_back({kind, EncodeFleetRecord(record)});
}

Join MakeJoin(const Control& control, Incarnation incarnation) {
  const StewardOptions& options = control.options;
  Join join;
  join.incarnation = incarnation;
  join.instance = options.instance;
  join.availability_zone = options.availability_zone;
  join.gate_address = options.gate_address;
  join.scheduler_address = options.scheduler_address;
  join.steward_address = options.peers;
  join.feed_address = options.feed;
  join.rate_address = options.rate_address;
  join.operator_address = options.operators;
  join.witnesses = {options.instance};
  return join;
}

void JoinIfDue(Control& control, Duration now, Outbox& out) {
  if (control.self != 0 || control.join_in_flight || !control.caught_up ||
      control.draining || now < control.join_after) {
    return;
  }
  while (control.joining == 0) {
    control.joining = control.random();
  }
  control.join_in_flight = true;
  AppendOwn(out, OwnRecord::kJoin, MakeJoin(control, control.joining));
}

// The fold says whether the Join took effect, also when its answer was lost.
void TakeOwnJoin(Control& control) {
  if (control.joining != 0 && control.state.members.contains(control.joining)) {
    control.self = control.joining;
    control.joining = 0;
    Log("steward", "joined",
        {{"incarnation", fmt::format("{:016x}", control.self)},
         {"fence", control.state.members.at(control.self).fence}});
  }
}

}  // namespace

Control MakeControl(StewardOptions options, uint64_t seed) {
  Control control;
  control.options = std::move(options);
  control.random.seed(seed);
  return control;
}

void OnFleetPage(Control& control, FleetPage page, Duration now, Outbox& out) {
  const bool at_end = page.page.entries.empty() ||
                      page.page.entries.back().offset + 1 >= page.page.next;
  control.log_reachable = true;
  for (LogEntry& entry : page.page.entries) {
    control.unfolded.push_back(std::move(entry));
  }
  if (!FoldUnfolded(control)) {
    return;
  }
  if (at_end && control.state.offset + 1 >= page.page.next) {
    control.caught_up = true;
    control.fresh_at = std::max(control.fresh_at, page.asked_at);
  }
  TakeOwnJoin(control);
  if (control.self != 0) {
    control.lease_until = control.fresh_at + control.options.lease;
  }
  JoinIfDue(control, now, out);
  PushToSubscribers(control, out);
}

void OnLogFailure(Control& control, Outbox& out) {
  if (control.log_reachable) {
    control.log_reachable = false;
    PushToSubscribers(control, out);
  }
}

void OnOwnRecord(Control& control,
                 OwnRecord kind,
                 const AppendResult& result,
                 Duration now) {
  // Unless the Join shows up in the stream, it is appended again with the same
  // incarnation: the fold takes it once.
  if (kind == OwnRecord::kJoin) {
    control.join_in_flight = false;
    control.join_after = now + std::max(result.retry_after, kJoinRetry);
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
  }
}

void OnTick(Control& control, Duration now, Outbox& out) {
  DropSilentSubscribers(control, now);
  JoinIfDue(control, now, out);
}

}  // namespace celerykeel
