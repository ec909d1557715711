#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node.pb.h"         // for pb::TurnGrant
#include "celerykeel/node/call_path.h"  // for Call, CallRefusal

namespace celerykeel {

struct Node;

/// @brief Returns the refusal of a turn that needs the store while it is
/// unavailable, with the time at which the store is expected back.
CallRefusal StoreUnavailable(const Node& node, const Call& call);

/// @brief Refusal of a retained turn whose slot's holder is in a region that
/// must not get its text.
CallRefusal HolderNotAllowed();

/// @brief Returns the refusal for a verdict of the slot's holder; nothing if
/// the turn is granted.
std::optional<CallRefusal> RefusalOfVerdict(pb::TurnGrant::Verdict verdict);

}  // namespace celerykeel
