#pragma once

#include <cstdint>      // for uint32_t, uint64_t
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"               // for Duration
#include "celerykeel/standin/engine_batcher.h"  // for EngineLimits

namespace celerykeel {

/// @brief One call of an agent and what follows it: a tool, or sub-agents.
struct WorkTurn {
  uint64_t new_tokens = 0;           // of the prompt, beyond the history
  uint64_t answer_tokens = 0;        // at least 1
  std::string_view tool;             // that the answer calls
  Duration pause{};                  // of the tool
  std::vector<uint32_t> sub_agents;  // started together, waited for
};

struct WorkAgent {
  uint32_t program = 0;
  std::vector<WorkTurn> turns;
};

struct WorkProgram {
  uint32_t team = 0;
  uint32_t root = 0;      // agent
  double arrives_at = 0;  // in means between two arrivals
  Duration alone{};       // its latency on an idle fleet, prefixes held
  Duration service{};     // time of one engine, prefixes held
};

struct WorkTeam {
  double weight = 1;  // of its rate
  uint64_t shared_tokens = 0;
};

/// @brief What the generator draws from.
struct WorkloadShape {
  std::string name;
  uint32_t engines = 12;
  EngineLimits engine;
  std::vector<WorkTeam> teams;
  double mean_turns = 8;
  uint32_t most_turns = 60;
  double first_tokens = 300;  // medians
  double result_tokens = 180;
  double answer_tokens = 70;
  double pause_seconds = 1.5;
  double pause_spread = 1.3;  // sigma of the logarithm
  double slow_pause_share = 0.1;
  double slow_pause_seconds = 20;
  double fan_out_share = 0.08;  // of the turns
  uint32_t most_sub_agents = 4;
};

/// @brief "hardangersaft" or "oglje", at today's sizes.
std::optional<WorkloadShape> FindWorkload(std::string_view name);

/// @brief Programs with their graphs, which no policy sees, in the order in
/// which they arrive.
struct Workload {
  WorkloadShape shape;
  std::vector<WorkProgram> programs;
  std::vector<WorkAgent> agents;
  double capacity = 0;  // programs per second, if every prefix were held
};

struct WorkloadOptions {
  uint32_t programs = 1000;
  uint64_t seed = 1;
  std::optional<uint32_t> wholesaler{};  // a team that sends more
  double wholesaler_factor = 5;
};

/// @brief Equal seeds give equal workloads; a wholesaler's further programs
/// come on top and leave the others as they were.
///
///     Workload work = MakeWorkload(*FindWorkload("oglje"), {.seed = 7});
Workload MakeWorkload(const WorkloadShape& shape,
                      const WorkloadOptions& options);

}  // namespace celerykeel
