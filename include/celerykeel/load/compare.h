#pragma once

#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/load/bench_policy.h"  // for BenchPolicy
#include "celerykeel/load/bench_run.h"     // for BenchResult
#include "celerykeel/load/workload.h"      // for WorkloadShape

namespace celerykeel {

struct CompareOptions {
  WorkloadShape shape;
  std::vector<BenchPolicy> policies;
  std::vector<double> loads;  // of the workload's capacity
  WorkloadOptions workload;
  BenchReports reports;
};

struct SlowdownSummary {
  double mean = 1;
  double p50 = 1;
  double p95 = 1;
  double p99 = 1;
};

/// @brief One policy at one load.
struct CompareRow {
  std::string policy;
  double load = 0;
  SlowdownSummary slowdown;
  double long_p99 = 1;    // of the tenth of programs with most calls
  double wasted = 0;      // of the prompts' tokens
  double worst_team = 1;  // mean slowdown, the wholesaler not counted
  double wholesaler = 0;  // its mean slowdown; 0: there is none
};

struct CompareReport {
  std::string workload;
  uint64_t seed = 1;
  uint32_t programs = 0;
  double capacity = 0;  // programs per second
  std::vector<CompareRow> rows;
};

/// @brief Slowdown, waste and the worst-served team of one run.
CompareRow SummarizeRun(const BenchResult& result,
                        std::optional<uint32_t> wholesaler);

/// @brief Runs each policy at each load on the same arrivals.
CompareReport RunCompare(const CompareOptions& options);

std::string RenderTable(const CompareReport& report);
std::string RenderJson(const CompareReport& report);

}  // namespace celerykeel
