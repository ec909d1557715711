#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/turn_ledger.h"  // for SlotRecord

namespace celerykeel {

/// @brief Encodes a record of a slot's log.
std::string EncodeSlotRecord(const SlotRecord& record);

/// @brief Decodes a record; returns nullopt if the bytes are invalid or the
/// record's kind is unknown.
std::optional<SlotRecord> DecodeSlotRecord(std::string_view bytes);

}  // namespace celerykeel
