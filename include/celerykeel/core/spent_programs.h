#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for std::map

#include "celerykeel/core/identity.h"  // for ProgramName
#include "celerykeel/core/time.h"      // for Duration

namespace celerykeel {

/// @brief Programs whose budgets were found to be spent. What is spent only
/// grows, so a later turn that needs as much is refused without asking again.
struct SpentPrograms {
  struct Entry {
    uint64_t spent_above = 0;  // tokens: more than this was spent
    Duration used_at{};
  };
  std::map<ProgramName, Entry> programs;
};

/// @brief A holder refused a turn, since `most_tokens` more would exceed the
/// budget.
void NoteSpent(SpentPrograms& spent,
               const ProgramName& program,
               uint64_t budget,
               uint64_t most_tokens,
               Duration now);

/// @brief True if the turn does not fit its budget for certain.
bool IsKnownSpent(SpentPrograms& spent,
                  const ProgramName& program,
                  uint64_t budget,
                  uint64_t most_tokens,
                  Duration now);

/// @brief Forgets programs that asked for nothing lately.
void ForgetSpent(SpentPrograms& spent, Duration now);

}  // namespace celerykeel
