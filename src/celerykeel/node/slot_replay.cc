#include "celerykeel/node/slot_replay.h"

#include <algorithm>  // for std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"       // for Now, WallNow
#include "celerykeel/node/node.h"        // for Node
#include "celerykeel/node/slot_log.h"    // for kSlotTopic
#include "celerykeel/wire/slot_codec.h"  // for DecodeSlotRecord

namespace celerykeel {

namespace {

constexpr Duration kFirstRetryPause = std::chrono::milliseconds(30);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(400);
constexpr Duration kWaitInterval = std::chrono::seconds(1);
// Of an answer to a read, besides the record.
constexpr size_t kReadFramingBytes = 64;

void ReplayRecord(HeldSlot& slot, const SlotRecord& record) {
  if (const auto* rate = std::get_if<RateRecord>(&record)) {
    RateReserve& kept = slot.rates[rate->team];
    kept.durable = rate->kept;
    kept.latest = rate->kept;
    kept.recorded = true;
    return;
  }
  if (const auto* stream = std::get_if<StreamRecord>(&record)) {
    ReplayOrigin(slot.origins, *stream, WallNow(), Now());
    return;
  }
  Replay(slot.ledger, record);
}

void StartReads(SlotReplays& replays) {
  while (const auto read = StartNextRead(replays.reads)) {
    const auto started = replays.waiting.extract(*read);
    started.mapped()->SetValue(true);
  }
}

// Waits until the link has room for the next read of a log.
// @return the number of the read, which has started.
Task<uint64_t> AwaitRead(Node& node, LogProgress progress) {
  SlotReplays& replays = node.slots.replays;
  replays.reads.link_mbps = node.options.link_mbps;
  replays.reads.min_bytes = node.options.store_record_bytes + kReadFramingBytes;
  const uint64_t read = QueueRead(replays.reads, EstimateBytesLeft(progress));
  const auto started = std::make_shared<Promise<bool>>(node.io);
  replays.waiting[read] = started;
  StartReads(replays);
  while (!started->HasValue()) {
    co_await started->Wait(kWaitInterval);
  }
  co_return read;
}

Task<tl::expected<ReadDone, StoreError>> ReadNext(Node& node,
                                                  uint32_t slot,
                                                  uint64_t from,
                                                  LogProgress progress) {
  SlotReplays& replays = node.slots.replays;
  const uint64_t number = co_await AwaitRead(node, progress);
  const ReadCall read{.topic = std::string(kSlotTopic),
                      .partition = slot,
                      .from = from,
                      .wait_ms = 0,
                      .max_bytes = replays.reads.under_way.at(number)};
  auto done = co_await Read(node, read);
  const bool is_answered =
      done || std::holds_alternative<Expired>(done.error());
  EndRead(replays.reads, number, is_answered);
  replays.failed_reads += is_answered ? 0 : 1;
  StartReads(replays);
  co_return done;
}

// Replays the records of one read, which begin at `next`.
void ReplayRecords(Node& node,
                   HeldSlot& slot,
                   const std::vector<std::string>& records,
                   uint64_t& next,
                   LogProgress& progress) {
  WallMillis written_at = 0;  // of the newest turn record
  for (const std::string& bytes : records) {
    if (const auto record = DecodeSlotRecord(bytes)) {
      ReplayRecord(slot, *record);
      if (const auto* turn = std::get_if<TurnRecord>(&*record)) {
        written_at = turn->ended_at;
      }
    } else {
      WriteLog(node.log, LogLevel::kUnusual, "slot record unreadable",
               {{"slot", slot.slot}, {"offset", next}});
    }
    ++next;
    ++progress.records_read;
    progress.bytes_read += bytes.size();
    node.slots.replays.bytes_read += bytes.size();
  }
  ExpireReplayed(slot.ledger, written_at);
}

}  // namespace

Task<bool> ReplayLog(Node& node,
                     std::shared_ptr<HeldSlot> slot,
                     uint64_t last) {
  uint64_t next = 0;
  LogProgress progress;
  Duration pause = kFirstRetryPause;
  while (next <= last && !slot->lost) {
    progress.records_left = last + 1 - next;
    const auto done = co_await ReadNext(node, slot->slot, next, progress);
    if (done) {
      ReplayRecords(node, *slot, done->records, next, progress);
      if (!done->records.empty()) {
        pause = kFirstRetryPause;
        continue;
      }
    } else if (const auto* expired = std::get_if<Expired>(&done.error())) {
      next = std::max(next, expired->first);
      continue;
    }
    co_await PauseForStore(node, pause);
    pause = std::min(2 * pause, kMaxRetryPause);
  }
  co_return !slot->lost;
}

}  // namespace celerykeel
