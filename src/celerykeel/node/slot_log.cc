#include "celerykeel/node/slot_log.h"

#include <algorithm>  // for std::min
#include <random>     // for std::mt19937_64
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/fleet.h"         // for AnnounceSoon
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/rate_lending.h"  // for LowerInheritedReserves
#include "celerykeel/node/slot_replay.h"   // for ReplayLog
#include "celerykeel/wire/slot_codec.h"    // for EncodeSlotRecord

namespace celerykeel {

namespace {

constexpr std::string_view kProducer = "holder";
constexpr Duration kBatchDelay = std::chrono::milliseconds(60);
constexpr Duration kFirstRetryPause = std::chrono::milliseconds(30);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(400);
// The low bits of an epoch identify the incarnation of the holder, and the high
// bits count the takeovers. Together they must fit into 53 bits, because the
// store's numbers are JSON, with exact integers up to 2^53.
constexpr uint64_t kIncarnationBits = 30;

uint64_t NextEpoch(uint64_t known, Incarnation incarnation) {
  constexpr uint64_t kIncarnationMask = (1ULL << kIncarnationBits) - 1;
  return (((known >> kIncarnationBits) + 1) << kIncarnationBits) |
         (incarnation & kIncarnationMask);
}

ProducerStamp Stamp(const HeldSlot& slot) {
  return {.producer = std::string(kProducer),
          .epoch = slot.epoch,
          .sequence = slot.next_sequence};
}

// Moves the records of one append out of the queue. Records that are too large
// for the store fail.
std::vector<QueuedRecord> TakeBatch(const Node& node,
                                    HeldSlot& slot,
                                    std::vector<std::string>& records) {
  std::vector<QueuedRecord> batch;
  size_t bytes = 0;
  while (!slot.queue.empty()) {
    std::string record = EncodeSlotRecord(slot.queue.front().record);
    if (record.size() > node.options.store_record_bytes) {
      slot.queue.front().on_end(false);  // no store call can carry it
      slot.queue.pop_front();
      continue;
    }
    bytes += record.size();
    if (!batch.empty() && bytes > node.options.store_call_bytes / 2) {
      break;
    }
    records.push_back(std::move(record));
    batch.push_back(std::move(slot.queue.front()));
    slot.queue.pop_front();
  }
  return batch;
}

bool IsHeldByAnother(const StoreError& error) {
  return std::holds_alternative<Fenced>(error) ||
         std::holds_alternative<OutOfSequence>(error);
}

// Runs one append at a time, and repeats it with the same sequence number until
// it succeeds or the slot is lost. A lost answer then neither loses nor
// duplicates records.
Task<> WriteQueue(Node& node, HeldSlotPtr slot) {
  while (!slot->queue.empty() && !slot->lost) {
    const bool urgent =
        std::any_of(slot->queue.begin(), slot->queue.end(),
                    [](const QueuedRecord& queued) { return queued.urgent; });
    if (!urgent) {
      slot->batch_timer = std::make_shared<asio::steady_timer>(
          node.io, ToSteadyDuration(kBatchDelay));
      ErrorCode cut_short;  // an urgent record cancels the wait
      co_await slot->batch_timer->async_wait(Into(cut_short));
    }
    AppendCall call{.topic = std::string(kSlotTopic),
                    .partition = slot->slot,
                    .stamp = Stamp(*slot),
                    .records = {}};
    const auto batch = TakeBatch(node, *slot, call.records);
    Duration pause = kFirstRetryPause;
    const Duration began = Now();
    slot->append_began = began;
    while (!call.records.empty()) {
      const Duration asked_at = Now();
      const auto done = co_await Append(node, call);
      if (done) {
        slot->confirmed_at = asked_at;
        break;
      }
      if (IsHeldByAnother(done.error()) || slot->lost) {
        MarkSlotLost(node, slot, Describe(done.error()));
        for (const QueuedRecord& queued : batch) {
          queued.on_end(false);
        }
        slot->writing = false;
        co_return;
      }
      co_await PauseForStore(node, pause);
      pause = std::min(2 * pause, kMaxRetryPause);
    }
    slot->append_began.reset();
    if (!call.records.empty()) {
      Observe(node.metrics.append_seconds, Now() - began);
      ++slot->next_sequence;
    }
    for (const QueuedRecord& queued : batch) {
      queued.on_end(true);
    }
  }
  slot->writing = false;
}

}  // namespace

void Enqueue(Node& node,
             const HeldSlotPtr& slot,
             SlotRecord record,
             bool urgent,
             std::function<void(bool)> on_end) {
  if (slot->lost) {
    on_end(false);
    return;
  }
  slot->queue.push_back({std::move(record), urgent, std::move(on_end)});
  if (urgent && slot->batch_timer != nullptr) {
    slot->batch_timer->cancel();
  }
  if (!slot->writing) {
    slot->writing = true;
    Spawn(node.io, WriteQueue(node, slot));
  }
}

void MarkSlotLost(Node& node,
                  const HeldSlotPtr& slot,
                  std::string_view reason) {
  if (slot->lost) {
    return;
  }
  slot->lost = true;
  slot->active = false;
  WriteLog(node.log, LogLevel::kUnusual, "slot lost",
           {{"slot", slot->slot}, {"epoch", slot->epoch}, {"reason", reason}});
  if (const auto found = node.slots.held.find(slot->slot);
      found != node.slots.held.end() && found->second == slot) {
    node.slots.held.erase(found);
  }
  SlotHolder& holder = node.fleet.slots[slot->slot];
  if (holder.instance == node.fleet.self && holder.epoch == slot->epoch) {
    holder.instance.clear();
  }
  if (!node.stopping) {
    holder.contested_until = Now() + kContestedTime;
  }
  const auto queue = std::move(slot->queue);
  slot->queue.clear();
  for (const QueuedRecord& queued : queue) {
    queued.on_end(false);
  }
  const auto uncovered = std::move(slot->uncovered);
  slot->uncovered.clear();
  for (const auto& [program, covered] : uncovered) {
    covered(false);
  }
  AnnounceSoon(node);
}

Task<> ClaimSlot(Node& node, uint32_t number) {
  if (node.slots.held.contains(number) || node.stopping) {
    co_return;
  }
  const auto slot = std::make_shared<HeldSlot>();
  node.slots.held[number] = slot;
  slot->slot = number;
  slot->was_released = HasLeavingMember(node.fleet);
  slot->epoch = NextEpoch(
      std::max(node.fleet.slots[number].epoch, node.slots.epoch_floor[number]),
      node.incarnation);
  const Duration began = Now();
  Duration pause = kFirstRetryPause;
  bool is_first = true;
  bool is_first_holder = false;
  Duration claimed_at = began;
  if (!node.start.first_claim_at) {
    node.start.first_claim_at = began;
  }
  while (true) {
    const AppendCall claim{.topic = std::string(kSlotTopic),
                           .partition = number,
                           .stamp = Stamp(*slot),
                           .records = {EncodeSlotRecord(
                               ClaimRecord{node.fleet.self, slot->epoch})}};
    const Duration asked_at = Now();
    const auto done = co_await Append(node, claim);
    if (done) {
      slot->next_sequence = 1;
      slot->confirmed_at = asked_at;
      claimed_at = Now();
      is_first_holder = done->offset == 0;
      if (!co_await ReplayLog(node, slot, done->offset)) {
        co_return;
      }
      break;
    }
    if (const auto* fenced = std::get_if<Fenced>(&done.error())) {
      node.slots.epoch_floor[number] = fenced->epoch;
      if (!node.stopping && MayRepeatClaim(node.fleet, number, fenced->epoch,
                                           std::exchange(is_first, false))) {
        slot->epoch = NextEpoch(fenced->epoch, node.incarnation);
        continue;
      }
      // The faster instance announces its claim. If it does not, the next claim
      // of this instance uses an epoch above `epoch_floor`.
      MarkSlotLost(node, slot, "another instance was faster");
      co_return;
    }
    co_await PauseForStore(node, pause);
    pause = std::min(2 * pause, kMaxRetryPause);
    if (slot->lost || node.stopping) {
      MarkSlotLost(node, slot, "given up");
      co_return;
    }
  }
  AssumeCeilingSpent(slot->ledger, is_first_holder, Now());
  slot->active = true;
  LowerInheritedReserves(node, slot);
  node.start.longest_replay =
      std::max(node.start.longest_replay, Now() - claimed_at);
  RecordHolder(node.fleet, number, {node.fleet.self, slot->epoch});
  WriteLog(node.log, LogLevel::kUnusual, "slot taken",
           {{"slot", number},
            {"epoch", slot->epoch},
            {"turns", static_cast<uint64_t>(slot->ledger.turns.size())},
            {"programs", static_cast<uint64_t>(slot->ledger.programs.size())},
            {"took_ms", Now() - began}});
  AnnounceSoon(node);
}

Task<> ReleaseSlots(Node& node) {
  std::vector<HeldSlotPtr> slots;
  slots.reserve(node.slots.held.size());
  for (const auto& [number, slot] : node.slots.held) {
    slots.push_back(slot);
  }
  for (const HeldSlotPtr& slot : slots) {
    while (slot->active && !slot->lost && slot->writing) {
      constexpr Duration kStep = std::chrono::milliseconds(5);
      co_await Sleep(node.io, kStep);
    }
    MarkSlotLost(node, slot, "released");
  }
}

}  // namespace celerykeel
