#include "celerykeel/core/recent_programs.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include <xxhash.h>  // for XXH3_64bits_withSeed

namespace celerykeel {

namespace {

void Rotate(RecentPrograms& programs, Duration now) {
  programs.previous = std::move(programs.current);
  programs.current.clear();
  programs.rotated_at = now;
}

}  // namespace

uint64_t HashOfProgram(std::string_view team, std::string_view program) {
  const uint64_t seed = XXH3_64bits(team.data(), team.size());
  return std::max<uint64_t>(
      XXH3_64bits_withSeed(program.data(), program.size(), seed), 1);
}

bool RecordProgram(RecentPrograms& programs, uint64_t program, Duration now) {
  ForgetOldPrograms(programs, now);
  if (programs.current.size() >= kMaxRecentPrograms) {
    Rotate(programs, now);
  }
  return programs.current.insert(program).second;
}

bool IsRecent(const RecentPrograms& programs, uint64_t program) {
  return programs.current.contains(program) ||
         programs.previous.contains(program);
}

void ForgetOldPrograms(RecentPrograms& programs, Duration now) {
  if (now < programs.rotated_at + kRecentProgramTime) {
    return;
  }
  const bool all_old = now >= programs.rotated_at + 2 * kRecentProgramTime;
  Rotate(programs, now);
  if (all_old) {
    programs.previous.clear();
  }
}

}  // namespace celerykeel
