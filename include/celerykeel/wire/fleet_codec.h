#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/fleet_state.h"  // for FleetRecord, FleetState
#include "celerykeel/fleet.pb.h"          // for pb::FleetState

namespace celerykeel {

/// @brief Encodes a record for the fleet stream.
std::string EncodeFleetRecord(const FleetRecord& record);

/// @brief Decodes a record; returns Unreadable if `bytes` are invalid.
FleetRecord DecodeFleetRecord(std::string_view bytes);

pb::FleetState ToProto(const FleetState& state);
FleetState FromProto(const pb::FleetState& state);

pb::Ticket ToProto(const Ticket& ticket);
Ticket FromProto(const pb::Ticket& ticket);

}  // namespace celerykeel
