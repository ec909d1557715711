#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node.pb.h"         // for pb::TurnGrant
#include "celerykeel/node/call_path.h"  // for Call, CallRefusal

namespace celerykeel {

/// @brief Returns the refusal of a turn that needs the store while it is
/// unavailable.
CallRefusal StoreUnavailable(const Call& call);

/// @brief Returns the refusal for a verdict of the slot's holder; nothing if
/// the turn is granted.
std::optional<CallRefusal> RefusalOfVerdict(pb::TurnGrant::Verdict verdict);

}  // namespace celerykeel
