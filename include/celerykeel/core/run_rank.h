#pragma once

#include <cstdint>  // for uint32_t
#include <map>      // for std::map
#include <string>   // for std::string

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Order between programs: the level of one that has received little
/// service is small and runs first. It is sent as the engine's priority.
using RunRank = uint32_t;

struct RankOptions {
  Duration first_level = std::chrono::milliseconds(500);  // of service
  double growth = 3;      // each level is so much longer than the one before
  uint32_t levels = 5;    // the last has no end
  double over_share = 2;  // of its share, above which a team stands behind
  Duration share_half_life = std::chrono::seconds(60);
};

inline constexpr RunRank kMostRanks = 16;

/// @brief The level of a program (its sub-agents' service included).
///
///     LevelOf({}, std::chrono::milliseconds(100));  // 0
RunRank LevelOf(const RankOptions& options, Duration attained);

/// @brief Service that the teams received of late; older service counts less.
struct TeamShares {
  struct Usage {
    double service = 0;  // seconds, decayed
    double weight = 1;
    Duration updated_at{};
  };
  std::map<std::string, Usage, std::less<>> teams;
};

void NoteService(TeamShares& shares,
                 const RankOptions& options,
                 const std::string& team,
                 Duration service,
                 Duration now);

/// @brief A team's part of the service over its part of the weights, among
/// the teams that received any; 1 is its share.
double ShareRatio(const TeamShares& shares,
                  const RankOptions& options,
                  const std::string& team,
                  Duration now);

/// @brief The level, moved behind all levels of the others for a team that
/// has received more than its share.
RunRank RankOf(const RankOptions& options, Duration attained, double ratio);

}  // namespace celerykeel
