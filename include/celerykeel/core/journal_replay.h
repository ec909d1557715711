#pragma once

#include <map>  // for std::map

#include "celerykeel/core/call.h"            // for JournalRecord
#include "celerykeel/core/program_ledger.h"  // for ProgramFamily

namespace celerykeel {

/// @brief Families by their root, as one source knows them.
using FamilyImages = std::map<ProgramName, ProgramFamily>;

/// @brief Adds the next record of one journal. A record that was appended
/// twice counts once.
void Replay(FamilyImages& images, const JournalRecord& record);

/// @brief Adds the families of another source; of each the newest stays.
void Merge(FamilyImages& images, FamilyImages other);

}  // namespace celerykeel
