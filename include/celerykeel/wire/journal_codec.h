#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/call.h"   // for JournalRecord, ProgramState
#include "celerykeel/journal.pb.h"  // for pb::ProgramState

namespace celerykeel {

/// @brief Encodes a record for an instance's journal.
std::string EncodeJournalRecord(const JournalRecord& record);

/// @brief Decodes a record; returns nullopt if `bytes` are invalid.
std::optional<JournalRecord> DecodeJournalRecord(std::string_view bytes);

pb::ProgramName ToProto(const ProgramName& name);
ProgramName FromProto(const pb::ProgramName& name);
pb::CallRecord ToProto(const CallRecord& record);
CallRecord FromProto(const pb::CallRecord& record);
pb::ProgramState ToProto(const ProgramState& state);
ProgramState FromProto(const pb::ProgramState& state);
Budget FromProto(const pb::Budget& budget);

}  // namespace celerykeel
