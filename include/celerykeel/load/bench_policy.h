#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/placement.h"  // for PlacementOptions
#include "celerykeel/core/run_rank.h"   // for RankOptions

namespace celerykeel {

enum class BenchOrder { kArrival, kAttainedService };

enum class BenchPlacement {
  kRoundRobin,
  kLeastOutstanding,
  kPrefixHash,  // of the first message of a program or sub-agent
  kExpectedCost,
};

/// @brief A policy of the bench.
struct BenchPolicy {
  std::string name;
  BenchOrder order = BenchOrder::kArrival;
  BenchPlacement placement = BenchPlacement::kRoundRobin;
  RankOptions rank;
  PlacementOptions cost;
  bool takes_reports = true;  // of what engines hold and how loaded they are
  bool drops_over_pauses = true;  // or leaves it to the engines' LRU
  bool is_fair = false;           // ranks teams over their share last
};

/// @brief A policy by its name: fcfs-round-robin, fcfs-least-outstanding,
/// fcfs-prefix-hash, las-cost (the project's), fcfs-cost, las-prefix-hash,
/// or las-cost without a part: las-cost-no-holdings, -no-eviction, -no-bound,
/// -unfair, -no-reports, -no-drop; las-cost-two-choices looks at two drawn
/// endpoints and the holder.
std::optional<BenchPolicy> FindPolicy(std::string_view name);

}  // namespace celerykeel
