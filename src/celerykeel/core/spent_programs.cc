#include "celerykeel/core/spent_programs.h"

#include <algorithm>  // for std::max
#include <cstddef>    // for size_t

namespace celerykeel {

namespace {

// Longer than the retention of turns, within which a stopped program may
// continue: a minute on the known deployments.
constexpr Duration kSpentRetention = std::chrono::minutes(2);
// Bounds memory, at about 200 bytes per program. Does not affect correctness:
// holders refuse the turns of further programs.
constexpr size_t kMaxSpentPrograms = 4096;

}  // namespace

void RecordSpent(SpentPrograms& spent,
                 const ProgramName& program,
                 uint64_t budget,
                 uint64_t most_tokens,
                 Duration now) {
  if (most_tokens > budget || (spent.programs.size() >= kMaxSpentPrograms &&
                               !spent.programs.contains(program))) {
    return;
  }
  SpentPrograms::Entry& entry = spent.programs[program];
  entry.spent_above = std::max(entry.spent_above, budget - most_tokens);
  entry.used_at = now;
}

bool IsKnownSpent(SpentPrograms& spent,
                  const ProgramName& program,
                  uint64_t budget,
                  uint64_t most_tokens,
                  Duration now) {
  if (most_tokens > budget) {
    return true;
  }
  const auto found = spent.programs.find(program);
  if (found == spent.programs.end() ||
      budget - most_tokens > found->second.spent_above) {
    return false;
  }
  found->second.used_at = now;
  return true;
}

void DropUnusedSpent(SpentPrograms& spent, Duration now) {
  std::erase_if(spent.programs, [now](const auto& entry) {
    return entry.second.used_at + kSpentRetention < now;
  });
}

}  // namespace celerykeel
