#include "celerykeel/load/compare.h"

#include <fmt/core.h>  // for fmt::format

#include <algorithm>  // for std::ranges::sort
#include <cmath>      // for std::ceil
#include <map>        // for std::map
#include <numeric>    // for std::accumulate

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {

namespace {

constexpr double kLongShare = 0.1;  // of the programs

double Mean(const std::vector<double>& values) {
  return values.empty() ? 0
                        : std::accumulate(values.begin(), values.end(), 0.0) /
                              static_cast<double>(values.size());
}

// `values` ascending and not empty.
double At(const std::vector<double>& values, double quantile) {
  const double rank = std::ceil(quantile * static_cast<double>(values.size()));
  return values[static_cast<size_t>(std::max(rank, 1.0)) - 1];
}

double LongP99(const BenchResult& result) {
  std::vector<BenchProgram> programs = result.programs;
  std::ranges::stable_sort(programs, std::greater<>{}, &BenchProgram::calls);
  const double count =
      std::ceil(kLongShare * static_cast<double>(programs.size()));
  std::vector<double> slowdowns;
  for (size_t i = 0; i < static_cast<size_t>(count); ++i) {
    slowdowns.push_back(programs[i].slowdown);
  }
  std::ranges::sort(slowdowns);
  return At(slowdowns, 0.99);
}

}  // namespace

CompareRow SummarizeRun(const BenchResult& result,
                        std::optional<uint32_t> wholesaler) {
  CompareRow row;
  if (result.programs.empty()) {
    return row;
  }
  std::vector<double> slowdowns;
  std::map<uint32_t, std::vector<double>> by_team;
  for (const BenchProgram& program : result.programs) {
    slowdowns.push_back(program.slowdown);
    by_team[program.team].push_back(program.slowdown);
  }
  std::ranges::sort(slowdowns);
  row.slowdown = {Mean(slowdowns), At(slowdowns, 0.5), At(slowdowns, 0.95),
                  At(slowdowns, 0.99)};
  row.long_p99 = LongP99(result);
  row.wasted = static_cast<double>(result.wasted_tokens) /
               static_cast<double>(std::max<uint64_t>(result.prompt_tokens, 1));
  for (const auto& [team, values] : by_team) {
    if (team == wholesaler) {
      row.wholesaler = Mean(values);
    } else {
      row.worst_team = std::max(row.worst_team, Mean(values));
    }
  }
  return row;
}

CompareReport RunCompare(const CompareOptions& options) {
  const Workload work = MakeWorkload(options.shape, options.workload);
  CompareReport report;
  report.workload = options.shape.name;
  report.seed = options.workload.seed;
  report.programs = static_cast<uint32_t>(work.programs.size());
  report.capacity = work.capacity;
  for (const double load : options.loads) {
    for (const BenchPolicy& policy : options.policies) {
      CompareRow row = SummarizeRun(
          RunBench(work, policy, options.reports, load, options.workload.seed),
          options.workload.wholesaler);
      row.policy = policy.name;
      row.load = load;
      report.rows.push_back(std::move(row));
    }
  }
  return report;
}

std::string RenderTable(const CompareReport& report) {
  std::string text = fmt::format(
      "{}, {} programs, seed {}, capacity {:.2f} programs/s\n"
      "{:<5} {:<24} {:>6} {:>6} {:>6} {:>6} {:>8} {:>6} {:>6} {:>9}\n",
      report.workload, report.programs, report.seed, report.capacity, "load",
      "policy", "mean", "p50", "p95", "p99", "long p99", "wasted", "worst",
      "wholesale");
  for (const CompareRow& row : report.rows) {
    text += fmt::format(
        "{:<5} {:<24} {:>6.2f} {:>6.2f} {:>6.2f} {:>6.2f} {:>8.2f} {:>5.1f}% "
        "{:>6.2f} {:>9.2f}\n",
        row.load, row.policy, row.slowdown.mean, row.slowdown.p50,
        row.slowdown.p95, row.slowdown.p99, row.long_p99, row.wasted * 100,
        row.worst_team, row.wholesaler);
  }
  return text;
}

std::string RenderJson(const CompareReport& report) {
  nlohmann::json rows = nlohmann::json::array();
  for (const CompareRow& row : report.rows) {
    rows.push_back({{"policy", row.policy},
                    {"load", row.load},
                    {"slowdown",
                     {{"mean", row.slowdown.mean},
                      {"p50", row.slowdown.p50},
                      {"p95", row.slowdown.p95},
                      {"p99", row.slowdown.p99}}},
                    {"long_p99", row.long_p99},
                    {"wasted", row.wasted},
                    {"worst_team", row.worst_team},
                    {"wholesaler", row.wholesaler}});
  }
  return nlohmann::json{{"workload", report.workload},
                        {"seed", report.seed},
                        {"programs", report.programs},
                        {"capacity", report.capacity},
                        {"rows", rows}}
      .dump(2);
}

}  // namespace celerykeel
