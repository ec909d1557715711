#pragma once

#include <cstdint>  // for uint64_t
#include <vector>   // for std::vector

#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/load/bench_policy.h"  // for BenchPolicy
#include "celerykeel/load/workload.h"      // for Workload

namespace celerykeel {

/// @brief What came of one program.
struct BenchProgram {
  uint32_t team = 0;
  uint32_t calls = 0;
  Duration latency{};
  double slowdown = 1;  // over the same program alone
};

/// @brief How the schedulers of the bench see the engines.
struct BenchReports {
  Duration lag{};
  double loss = 0;     // of the cache events
  uint32_t cores = 1;  // schedulers; each owns a part of the programs
  Duration every = std::chrono::milliseconds(500);  // load reports
};

struct BenchResult {
  std::vector<BenchProgram> programs;  // as in the workload
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t wasted_tokens = 0;  // read again though an engine had read them
  Duration ended_at{};
};

/// @brief Runs a workload under a policy on a virtual clock: one scheduling
/// core before fake engines. No instances, network or platform are simulated.
/// @param load arrivals, as a part of the workload's capacity.
BenchResult RunBench(const Workload& work,
                     const BenchPolicy& policy,
                     const BenchReports& reports,
                     double load,
                     uint64_t seed);

}  // namespace celerykeel
