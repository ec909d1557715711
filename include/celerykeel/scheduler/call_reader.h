#pragma once

#include <string>  // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/call.pb.h"           // for pb::CallRequest
#include "celerykeel/core/call.h"         // for CallSubmission, Refusal
#include "celerykeel/core/fleet_state.h"  // for FleetState

namespace celerykeel {

/// @brief The program that a request is for, under its canonical name.
ProgramName ProgramOf(const pb::CallRequest& request);

/// @brief Reads a request of a gate against what is in force.
tl::expected<CallSubmission, Refusal> ReadCall(const pb::CallRequest& request,
                                               const FleetState& view);

/// @brief The refusal as it is sent, with a sentence for a person.
pb::CallRefused ToProto(const Refusal& refusal);

}  // namespace celerykeel
