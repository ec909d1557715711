#include "celerykeel/steward/feed.h"

#include "celerykeel/wire/fleet_codec.h"  // for ToProto

namespace celerykeel {

namespace {

constexpr size_t kMaxUpdateBytes = size_t{1} * 1024 * 1024;
constexpr Duration kSubscriberTimeout = std::chrono::seconds(10);

uint64_t Millis(Duration duration) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void AddRecords(const RecordBuffer& buffer,
                Offset offset,
                pb::FeedUpdate& update) {
  size_t bytes = 0;
  for (size_t i = PositionAfter(buffer, offset);
       i < buffer.entries.size() && bytes < kMaxUpdateBytes; ++i) {
    const LogEntry& entry = buffer.entries[i];
    pb::FeedRecord& record = *update.add_records();
    record.set_offset(entry.offset);
    record.set_payload(entry.payload);
    bytes += entry.payload.size();
  }
}

Offset EndOf(const pb::FeedUpdate& update, Offset offset) {
  if (!update.records().empty()) {
    return update.records().rbegin()->offset();
  }
  return update.has_snapshot() ? update.snapshot().offset() : offset;
}

void Push(const Control& control, Subscriber& subscriber, Outbox& out) {
  pb::FeedReply reply;
  *reply.mutable_update() = MakeUpdate(control, subscriber.sent);
  subscriber.sent = EndOf(reply.update(), subscriber.sent);
  out.feed.push_back({subscriber.peer, std::move(reply)});
}

}  // namespace

pb::FeedUpdate MakeUpdate(const Control& control, Offset offset) {
  pb::FeedUpdate update;
  update.set_incarnation(control.self);
  update.set_lease_until_ns(control.lease_until.count());
  update.set_fresh_at_ns(control.fresh_at.count());
  update.set_log_reachable(control.log_reachable);
  update.set_draining(control.draining);
  update.set_offset(control.state.offset);
  update.set_successor_wait_ms(
      Millis(control.options.lease + control.options.margin));
  update.set_retention_ms(Millis(control.options.retention));
  if (Covers(control.records, offset, control.state.offset)) {
    AddRecords(control.records, offset, update);
  } else {
    update.mutable_snapshot()->set_offset(control.state.offset);
    *update.mutable_snapshot()->mutable_state() = ToProto(control.state);
  }
  return update;
}

void OnHello(Control& control,
             const Peer& peer,
             const pb::FeedHello& hello,
             Duration now,
             Outbox& out) {
  // A process that starts again has work once more.
  if (!control.draining && !control.subscribers.contains(peer.routing_id)) {
    control.drained.erase(hello.process());
  }
  Subscriber& subscriber = control.subscribers[peer.routing_id];
  subscriber.peer = peer;
  subscriber.process = hello.process();
  subscriber.sent = hello.offset();
  subscriber.hello_at = now;
  Push(control, subscriber, out);
}

void PushToSubscribers(Control& control, Outbox& out) {
  for (auto& [id, subscriber] : control.subscribers) {
    Push(control, subscriber, out);
  }
}

void PushIfDue(Control& control, Duration now, Outbox& out) {
  if (now - control.pushed_at >= control.options.heartbeat / 2) {
    control.pushed_at = now;
    PushToSubscribers(control, out);
  }
}

void DropSilentSubscribers(Control& control, Duration now) {
  std::erase_if(control.subscribers, [&](const auto& entry) {
    return now - entry.second.hello_at > kSubscriberTimeout;
  });
}

}  // namespace celerykeel
