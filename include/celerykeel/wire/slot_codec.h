#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/turn_ledger.h"  // for SlotRecord

namespace celerykeel {

/// @brief Bytes of a record of a slot's log.
std::string EncodeSlotRecord(const SlotRecord& record);

/// @brief Nothing if the bytes are no record, or of a kind not known.
std::optional<SlotRecord> DecodeSlotRecord(std::string_view bytes);

}  // namespace celerykeel
