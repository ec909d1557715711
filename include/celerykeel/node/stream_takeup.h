#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node.pb.h"         // for pb::TurnGrant
#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

/// @brief True if the caller resumes a stream that an earlier request of it
/// began, on a route that allows it.
bool IsTakeUp(const Call& call);

/// @brief Sets `call.origin` to what began the stream that the call resumes:
/// as the holder knows it, or the only version that has served.
/// @return the refusal if this can't be learned, or if no endpoint that could
/// continue the stream takes calls.
Task<std::optional<CallRefusal>> FindOriginOfTakeUp(Node& node,
                                                    CallPtr call,
                                                    pb::TurnGrant grant);

/// @brief Returns the report that the call's stream began; `call.origin` must
/// be set.
/// @param slot of the program.
pb::StreamBegan StreamBeganOf(const Call& call, uint32_t slot);

/// @brief Reports to the slot's holder, without an answer, that a stream began.
void ReportStreamBegan(Node& node, const pb::StreamBegan& began);

/// @brief Records, as the slot's holder, that a stream began; durably, if its
/// service has several versions in use. Does nothing if this instance does not
/// hold the slot.
void RecordStreamBegan(Node& node, const pb::StreamBegan& began);

/// @brief Writes the origins that were recorded while their service had a
/// single version in use, after another version came into use.
void QueueOriginsNotInferable(Node& node);

}  // namespace celerykeel
