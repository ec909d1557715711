#pragma once

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <string>         // for std::string
#include <string_view>    // for std::string_view
#include <unordered_set>  // for std::unordered_set

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Programs with a recently served call, by hash. Two generations bound
/// the memory without an entry per program that must be aged.
struct RecentPrograms {
  std::unordered_set<uint64_t> current;
  std::unordered_set<uint64_t> previous;
  Duration rotated_at{};
};

/// @brief A program is remembered for at least this long after its last call,
/// unless kMaxRecentPrograms others have been recorded since.
inline constexpr Duration kRecentProgramTime = std::chrono::seconds(10);
/// @brief Max programs of one generation; about 40 bytes each.
inline constexpr size_t kMaxRecentPrograms = 4096;

/// @brief Returns the hash of a program's id; never 0, which means no program.
uint64_t HashOfProgram(std::string_view team, std::string_view program);

/// @brief Records that a call of the program was served.
/// @return true the first time, and about every kRecentProgramTime again.
bool RecordProgram(RecentPrograms& programs, uint64_t program, Duration now);

/// @brief True if a call of the program was served recently.
bool IsRecent(const RecentPrograms& programs, uint64_t program);

/// @brief Forgets programs without a recent call.
void ForgetOldPrograms(RecentPrograms& programs, Duration now);

}  // namespace celerykeel
