#pragma once

#include <deque>       // for std::deque
#include <functional>  // for std::function
#include <map>         // for std::map
#include <memory>      // for std::shared_ptr
#include <optional>    // for std::optional
#include <set>         // for std::set
#include <string>      // for std::string
#include <utility>     // for std::pair
#include <vector>      // for std::vector

#include "celerykeel/core/stream_origin.h"  // for StreamOrigins
#include "celerykeel/core/turn_ledger.h"    // for TurnLedger, SlotRecord
#include "celerykeel/node.pb.h"             // for pb::TurnAdmission
#include "celerykeel/node/asio.h"           // for Task, Promise
#include "celerykeel/node/slot_replay.h"    // for SlotReplays

namespace celerykeel {

struct Node;

/// @brief A record queued for the slot's log. `on_end` gets false if the record
/// is not written, for example because another instance has taken the slot.
struct QueuedRecord {
  SlotRecord record;
  bool urgent = false;  // written without a delay for batching
  std::function<void(bool)> on_end;
};

/// @brief The tokens of a team's rate that a holder reserves for its successor.
struct RateReserve {
  double durable = 0;     // in the newest durable record
  double latest = 0;      // in the newest record, which may be pending
  bool recorded = false;  // a record is durable: tokens may be lent
  bool writing = false;   // a record is pending
  std::optional<Duration> lent_at;  // time of the last loan request
};

/// @brief The admission of a turn that is not decided yet.
struct AdmissionUnderWay {
  // Runs when the tokens are covered; see AdmitAsHolder.
  std::function<void(bool)> covered;
  // Gets the decision if the request was repeated: whoever repeats a request
  // waits no longer for the first one.
  std::shared_ptr<Promise<pb::TurnGrant>> repeated;
};

/// @brief A slot that this instance holds or is claiming.
struct HeldSlot {
  uint32_t slot = 0;
  uint64_t epoch = 0;
  bool active = false;            // claimed, and its log was replayed
  bool is_opening_cover = false;  // or has opened it
  // Its holder probably stopped as planned. Instances that are replaced in turn
  // pass a slot on several times within 20 s, and with a cover each program
  // would be charged two thirds of its budget.
  bool was_released = false;
  bool lost = false;
  uint64_t next_sequence = 0;
  // Start of the newest successful append. At that time no other instance had
  // taken the slot.
  Duration confirmed_at{};
  bool is_confirming = false;  // an append that confirms the slot is queued
  TurnLedger ledger;
  std::map<std::string, RateReserve> rates;      // by team
  std::map<ProgramName, std::string> endpoints;  // that served each last
  StreamOrigins origins;                         // of recent resumable streams
  std::deque<QueuedRecord> queue;
  bool writing = false;
  // Start of the append that is being repeated until it is acknowledged.
  std::optional<Duration> append_began;
  // Delays records that are not urgent, to batch them.
  std::shared_ptr<asio::steady_timer> batch_timer;
  // By team and turn: those that wait for the record of a retained turn's end.
  // The end is reported again while the store is away.
  std::map<std::pair<std::string, std::string>,
           std::vector<std::function<void(bool)>>>
      ending;
  // By team and turn.
  std::map<std::pair<std::string, std::string>,
           std::shared_ptr<AdmissionUnderWay>>
      admissions;
  // Callbacks of turns that are admitted and not yet covered, by program.
  std::multimap<ProgramName, std::function<void(bool)>> uncovered;
};
using HeldSlotPtr = std::shared_ptr<HeldSlot>;

struct SlotHost {
  std::map<uint32_t, HeldSlotPtr> held;
  // By slot: the epoch that fenced this instance's last claim.
  std::map<uint32_t, uint64_t> epoch_floor;
  SlotReplays replays;
  uint64_t handed_over = 0;      // slots given up; see slot_upkeep.h
  uint64_t abandoned_turns = 0;  // see core/abandoned_turns.h
};

/// @brief Claims a slot, which fences the previous holder, and replays the
/// slot's log. Retries until this instance or another one holds the slot, or
/// this instance stops.
Task<> ClaimSlot(Node& node, uint32_t slot);

/// @brief Releases all slots for other instances once their queues are empty.
Task<> ReleaseSlots(Node& node);

/// @brief Returns the slot if this instance holds it and has replayed its log;
/// null otherwise.
HeldSlotPtr ActiveSlot(const Node& node, uint32_t slot);

/// @brief Admits or refuses a turn, whose answer `relay` relays. `covered` runs
/// with true when its tokens may be delivered, and with false if the slot is
/// lost before that. It does not run if the result refuses the turn or says
/// `covered`. A request that repeats one that is not decided takes its place:
/// the earlier one gets NOT_HOLDER.
Task<pb::TurnGrant> AdmitAsHolder(Node& node,
                                  pb::TurnAdmission admission,
                                  TurnRelay relay,
                                  std::function<void(bool)> covered);

/// @brief Records the end of a turn. A retained turn is durable if the result
/// says `durable`.
Task<pb::TurnEndDone> EndAsHolder(Node& node, pb::TurnEnd end);

/// @brief Lets turns deliver that wait for a record, if their tokens are
/// covered by now.
void NotifyAllCovered(HeldSlot& slot);

}  // namespace celerykeel
