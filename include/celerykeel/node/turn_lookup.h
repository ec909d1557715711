#pragma once

#include <string>  // for std::string

#include "celerykeel/node.pb.h"         // for pb::TurnLookup
#include "celerykeel/node/asio.h"       // for Task
#include "celerykeel/node/slot_host.h"  // for HeldSlotPtr

namespace celerykeel {

/// @brief The chain of turns from which a turn goes on.
struct History {
  bool known = false;  // false: the turn may exist in a slot not searched
  bool found = false;
  bool foreign = false;  // found by a lookup in all slots
  std::string text;
};

/// @brief Finds the chain up to and including `turn`, in the given slot or in
/// those of all holders. An empty `turn` has an empty chain.
Task<History> FindHistory(Node& node,
                          HeldSlotPtr slot,
                          std::string team,
                          std::string turn);

/// @brief Looks a turn up in the slots held here. Lists the slots without the
/// turn only if the store confirms that this instance still holds them.
Task<pb::TurnFound> LookUpHeldSlots(Node& node, pb::TurnLookup lookup);

}  // namespace celerykeel
