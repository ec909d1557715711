#pragma once

#include <map>  // for std::map

#include "celerykeel/core/call.h"            // for JournalRecord
#include "celerykeel/core/program_ledger.h"  // for ProgramFamily

namespace celerykeel {

/// @brief Program families by root, as rebuilt from one source.
using ReplayedFamilies = std::map<ProgramName, ProgramFamily>;

/// @brief Applies the next record of one journal. A record that was appended
/// twice is applied once.
void Replay(ReplayedFamilies& images, const JournalRecord& record);

/// @brief Merges in the families of another source, keeping the newest version
/// of each.
void Merge(ReplayedFamilies& images, ReplayedFamilies other);

}  // namespace celerykeel
