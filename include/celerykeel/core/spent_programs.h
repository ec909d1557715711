#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for std::map

#include "celerykeel/core/identity.h"  // for ProgramName
#include "celerykeel/core/time.h"      // for Duration

namespace celerykeel {

/// @brief Programs that a holder refused because of a spent budget. The spent
/// tokens of a program never decrease, so a later turn that needs at least as
/// many tokens is refused without another request to the holder.
struct SpentPrograms {
  struct Entry {
    uint64_t spent_above = 0;  // more tokens than this were spent
    Duration used_at{};
  };
  std::map<ProgramName, Entry> programs;
};

/// @brief Records that a holder refused a turn: the program's finished turns
/// and the turn's max tokens, `most_tokens`, exceed the budget.
void RecordSpent(SpentPrograms& spent,
                 const ProgramName& program,
                 uint64_t budget,
                 uint64_t most_tokens,
                 Duration now);

/// @brief True if the turn is known not to fit into the budget.
bool IsKnownSpent(SpentPrograms& spent,
                  const ProgramName& program,
                  uint64_t budget,
                  uint64_t most_tokens,
                  Duration now);

/// @brief Drops programs without a recent refused turn.
void DropUnusedSpent(SpentPrograms& spent, Duration now);

}  // namespace celerykeel
