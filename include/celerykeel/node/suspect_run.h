#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node.pb.h"        // for pb::SuspectRunGrant
#include "celerykeel/node/attempts.h"  // for AttemptEnd

namespace celerykeel {

/// @brief Returns the refusal of a request that must not run as it has crashed
/// endpoints; nothing if it may run.
std::optional<CallRefusal> RefusalIfDeadly(const Node& node, const Call& call);

/// @brief Called before each attempt. Reserves an endpoint on which the call
/// runs alone if it may have crashed others: this shows whether it has, and
/// harms no other call. After one crash it rather runs beside others than be
/// refused.
/// @return why the attempt can't be made; nothing if it can.
Task<std::optional<AttemptEnd>> PrepareSuspect(Node& node, CallPtr call);

/// @brief Answers, as a request's home, whether a copy of the request may run.
/// Copies of a request that has been at a crash do not run at once.
pb::SuspectRunGrant DecideSuspectRun(Node& node,
                                     const pb::SuspectRunWish& wish);

/// @brief Drops the state of copies that no other has to wait for.
void ForgetSuspectRuns(Node& node);

}  // namespace celerykeel
