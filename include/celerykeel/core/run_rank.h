#pragma once

#include <cstdint>  // for uint32_t
#include <map>      // for std::map
#include <string>   // for std::string

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The order between programs. Lower ranks run first, and a program that
/// has received little service has a low rank. The rank is sent to the engine
/// as the priority.
using RunRank = uint32_t;

struct RankOptions {
  Duration first_level = std::chrono::milliseconds(500);  // service time
  double growth = 3;    // ratio of a level's bound to the previous one
  uint32_t levels = 5;  // the last level has no upper bound
  double max_share_ratio =
      2;  // ShareRatio() above which a team ranks after the others
  Duration share_half_life = std::chrono::seconds(60);
};

inline constexpr RunRank kMaxRanks = 16;

/// @brief Returns the level of a program.
/// @param attained service received, that of its sub-agents included.
///
///     LevelOf({}, std::chrono::milliseconds(100));  // 0
RunRank LevelOf(const RankOptions& options, Duration attained);

/// @brief Service that the teams received recently. Older service counts less.
struct TeamShares {
  struct Usage {
    double service = 0;  // seconds, decayed
    double weight = 1;
    Duration updated_at{};
  };
  std::map<std::string, Usage, std::less<>> teams;
};

/// @brief Adds `service` to the recent service of a team.
void RecordService(TeamShares& shares,
                   const RankOptions& options,
                   const std::string& team,
                   Duration service,
                   Duration now);

/// @brief Returns a team's fraction of the service divided by its fraction of
/// the weights, among the recorded teams. 1 means exactly its share; 0 means no
/// service.
double ShareRatio(const TeamShares& shares,
                  const RankOptions& options,
                  const std::string& team,
                  Duration now);

/// @brief Returns the level of the program. If `ratio` is above
/// RankOptions::max_share_ratio, the rank comes after all levels of teams below
/// it.
RunRank RankOf(const RankOptions& options, Duration attained, double ratio);

}  // namespace celerykeel
