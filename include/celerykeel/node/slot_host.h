#pragma once

#include <deque>       // for std::deque
#include <functional>  // for std::function
#include <map>         // for std::map
#include <memory>      // for std::shared_ptr
#include <optional>    // for std::optional
#include <set>         // for std::set
#include <string>      // for std::string

#include "celerykeel/core/turn_ledger.h"  // for TurnLedger, SlotRecord
#include "celerykeel/node.pb.h"           // for pb::TurnAdmission
#include "celerykeel/node/asio.h"         // for Task

namespace celerykeel {

struct Node;

/// @brief A record on its way to the store. `on_end` gets false if another
/// instance has taken the slot.
struct QueuedRecord {
  SlotRecord record;
  bool urgent = false;
  std::function<void(bool)> on_end;
};

/// @brief What a holder leaves of a team's rate for the next one.
struct KeptRate {
  double durable = 0;
  double asked = 0;       // in the newest record on its way
  bool recorded = false;  // a record is durable: tokens may be lent
  bool writing = false;
  std::optional<Duration> lent_at;
};

/// @brief A slot that this instance holds, or is taking.
struct HeldSlot {
  uint32_t slot = 0;
  uint64_t epoch = 0;
  bool active = false;  // claimed and caught up
  bool lost = false;
  uint64_t next_sequence = 0;
  // The newest append that held began then: nobody had taken the slot.
  Duration confirmed_at{};
  TurnLedger ledger;
  std::map<std::string, KeptRate> rates;         // by team
  std::map<ProgramName, std::string> endpoints;  // that served them last
  std::deque<QueuedRecord> queue;
  bool writing = false;
  std::shared_ptr<asio::steady_timer> group_timer;  // records wait for others
  // Turns admitted and not yet covered, by program.
  std::multimap<ProgramName, std::function<void(bool)>> uncovered;
};
using HeldSlotPtr = std::shared_ptr<HeldSlot>;

struct SlotHost {
  std::map<uint32_t, HeldSlotPtr> held;
  std::map<uint32_t, uint64_t> epoch_floor;  // epochs met in the store, by slot
};

/// @brief Takes a slot: claims it, which fences the holder before, and reads
/// what was written. Tries until it holds the slot or another one does.
Task<> TakeSlot(Node& node, uint32_t slot);

/// @brief Gives all slots up for others to take, once their queues are empty.
Task<> ReleaseSlots(Node& node);

/// @brief The slot, if this instance holds it and is caught up.
HeldSlotPtr ActiveSlot(const Node& node, uint32_t slot);

/// @brief Decides on a turn. `covered` runs when its tokens may be handed out,
/// with false if that will never be so.
Task<pb::TurnGrant> AdmitAsHolder(Node& node,
                                  pb::TurnAdmission admission,
                                  std::function<void(bool)> covered);

/// @brief Ends a turn; a kept one is durable when this returns.
Task<pb::TurnEndDone> EndAsHolder(Node& node, pb::TurnEnd end);

/// @brief Looks a turn up in the slots held here. Those that it isn't in are
/// listed only if the store confirms that they are still held.
Task<pb::TurnFound> LookUpHere(Node& node, pb::TurnLookup lookup);

/// @brief Has the store confirm slots that were not written to lately.
void ConfirmSlots(Node& node);

/// @brief Drops what has expired.
void ExpireSlots(Node& node);

}  // namespace celerykeel
