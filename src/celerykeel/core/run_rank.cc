#include "celerykeel/core/run_rank.h"

#include <cmath>  // for std::exp2

namespace celerykeel {

namespace {

double DecayedService(const TeamShares::Usage& usage,
                      const RankOptions& options,
                      Duration now) {
  const double halvings =
      static_cast<double>((now - usage.updated_at).count()) /
      static_cast<double>(options.share_half_life.count());
  return usage.service * std::exp2(-halvings);
}

}  // namespace

RunRank LevelOf(const RankOptions& options, Duration attained) {
  RunRank level = 0;
  double bound = static_cast<double>(options.first_level.count());
  while (level + 1 < options.levels &&
         static_cast<double>(attained.count()) >= bound) {
    ++level;
    bound *= options.growth;
  }
  return level;
}

void RecordService(TeamShares& shares,
                   const RankOptions& options,
                   const std::string& team,
                   Duration service,
                   Duration now) {
  TeamShares::Usage& usage = shares.teams[team];
  usage.service = DecayedService(usage, options, now) +
                  std::chrono::duration<double>(service).count();
  usage.updated_at = now;
}

double ShareRatio(const TeamShares& shares,
                  const RankOptions& options,
                  const std::string& team,
                  Duration now) {
  const auto own = shares.teams.find(team);
  if (own == shares.teams.end()) {
    return 0;
  }
  double service = 0;
  double weight = 0;
  for (const auto& [id, usage] : shares.teams) {
    service += DecayedService(usage, options, now);
    weight += usage.weight;
  }
  if (service <= 0) {
    return 0;
  }
  return DecayedService(own->second, options, now) / service /
         (own->second.weight / weight);
}

RunRank RankOf(const RankOptions& options, Duration attained, double ratio) {
  const RunRank level = LevelOf(options, attained);
  return ratio > options.max_share_ratio ? options.levels + level : level;
}

}  // namespace celerykeel
