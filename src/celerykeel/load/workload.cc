#include "celerykeel/load/workload.h"

#include <algorithm>  // for std::clamp, std::ranges::sort
#include <cmath>      // for std::log
#include <random>     // for std::mt19937_64

namespace celerykeel {

namespace {

constexpr uint64_t kMostTokens = 4000;  // of one message
constexpr double kMostPauseSeconds = 300;

using Random = std::mt19937_64;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double DrawLogNormal(Random& random, double median, double spread) {
  return std::lognormal_distribution<double>(std::log(median), spread)(random);
}

uint64_t DrawTokens(Random& random, double median) {
  return std::clamp<uint64_t>(
      static_cast<uint64_t>(DrawLogNormal(random, median, 0.7)), 1,
      kMostTokens);
}

bool DrawBool(Random& random, double share) {
  return std::bernoulli_distribution(share)(random);
}

uint32_t DrawTurns(Random& random, double mean, uint32_t most) {
  std::geometric_distribution<uint32_t> turns(1 / mean);
  return std::min(1 + turns(random), most);
}

WorkTurn DrawTurn(Random& random, const WorkloadShape& shape, bool is_first) {
  WorkTurn turn;
  turn.new_tokens =
      DrawTokens(random, is_first ? shape.first_tokens : shape.result_tokens);
  turn.answer_tokens = DrawTokens(random, shape.answer_tokens);
  const bool is_slow = DrawBool(random, shape.slow_pause_share);
  turn.tool = is_slow ? "approval" : "booking";
  const double seconds = DrawLogNormal(
      random, is_slow ? shape.slow_pause_seconds : shape.pause_seconds,
      shape.pause_spread);
  turn.pause = FromSeconds(std::min(seconds, kMostPauseSeconds));
  return turn;
}

uint32_t DrawAgent(Random& random,
                   Workload& work,
                   uint32_t program,
                   double mean_turns) {
  WorkAgent agent;
  agent.program = program;
  const uint32_t turns = DrawTurns(random, mean_turns, work.shape.most_turns);
  for (uint32_t i = 0; i < turns; ++i) {
    agent.turns.push_back(DrawTurn(random, work.shape, i == 0));
  }
  agent.turns.back().pause = {};
  work.agents.push_back(std::move(agent));
  return static_cast<uint32_t>(work.agents.size() - 1);
}

void DrawSubAgents(Random& random, Workload& work, uint32_t root) {
  const size_t turns = work.agents[root].turns.size();
  for (size_t i = 0; i + 1 < turns; ++i) {
    if (!DrawBool(random, work.shape.fan_out_share)) {
      continue;
    }
    const uint32_t count = std::uniform_int_distribution<uint32_t>(
        2, work.shape.most_sub_agents)(random);
    std::vector<uint32_t> sub_agents;
    for (uint32_t k = 0; k < count; ++k) {
      sub_agents.push_back(
          DrawAgent(random, work, work.agents[root].program, 3));
    }
    work.agents[root].turns[i].pause = {};
    work.agents[root].turns[i].tool = "sub-agents";
    work.agents[root].turns[i].sub_agents = std::move(sub_agents);
  }
}

// Latency and service of an agent on an idle fleet that holds every prefix.
struct Alone {
  Duration latency{};
  Duration service{};
};

Alone AloneTimes(const Workload& work, uint32_t index, uint64_t shared) {
  const EngineLimits& engine = work.shape.engine;
  uint64_t history = shared;
  Alone alone;
  for (const WorkTurn& turn : work.agents[index].turns) {
    const uint64_t held = history / kBlockTokens * kBlockTokens;
    const Duration read =
        FromSeconds(static_cast<double>(history + turn.new_tokens - held) /
                    engine.prefill_tokens_per_second);
    const auto decoded = static_cast<int64_t>(turn.answer_tokens - 1);
    alone.latency += read + decoded * engine.decode_per_token + turn.pause;
    alone.service += read + decoded * engine.decode_per_token / engine.slots;
    history += turn.new_tokens + turn.answer_tokens;
    Duration longest{};
    for (const uint32_t sub_agent : turn.sub_agents) {
      const Alone inner = AloneTimes(work, sub_agent, shared);
      longest = std::max(longest, inner.latency);
      alone.service += inner.service;
    }
    alone.latency += longest;
  }
  return alone;
}

void AddProgram(Random& random, Workload& work, uint32_t team, double at) {
  WorkProgram program;
  program.team = team;
  program.arrives_at = at;
  program.root =
      DrawAgent(random, work, static_cast<uint32_t>(work.programs.size()),
                work.shape.mean_turns);
  DrawSubAgents(random, work, program.root);
  const Alone alone =
      AloneTimes(work, program.root, work.shape.teams[team].shared_tokens);
  program.alone = alone.latency;
  program.service = alone.service;
  work.programs.push_back(program);
}

double Weight(const WorkloadShape& shape, uint32_t team) {
  double sum = 0;
  for (const WorkTeam& other : shape.teams) {
    sum += other.weight;
  }
  return shape.teams[team].weight / sum;
}

double Capacity(const Workload& work) {
  Duration sum{};
  for (const WorkProgram& program : work.programs) {
    sum += program.service;
  }
  return work.shape.engines * static_cast<double>(work.programs.size()) /
         std::chrono::duration<double>(sum).count();
}

std::vector<WorkTeam> UnevenTeams() {
  std::vector<WorkTeam> teams;
  for (const double weight : {30, 25, 20, 9, 7, 4, 3, 2}) {
    teams.push_back({weight, 1600});
  }
  return teams;
}

}  // namespace

std::optional<WorkloadShape> FindWorkload(std::string_view name) {
  WorkloadShape shape;
  shape.name = name;
  shape.teams = UnevenTeams();
  shape.engine.cache_tokens = 262'144;
  if (name == "hardangersaft") {
    return shape;
  }
  if (name == "oglje") {
    shape.engines = 9;
    shape.mean_turns = 6;
    shape.first_tokens = 200;
    shape.slow_pause_share = 0.2;
    shape.fan_out_share = 0.04;
    return shape;
  }
  return std::nullopt;
}

Workload MakeWorkload(const WorkloadShape& shape,
                      const WorkloadOptions& options) {
  Workload work;
  work.shape = shape;
  Random random(options.seed);
  std::vector<double> weights;
  for (const WorkTeam& team : shape.teams) {
    weights.push_back(team.weight);
  }
  std::discrete_distribution<uint32_t> teams(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(1);
  double at = 0;
  for (uint32_t i = 0; i < options.programs; ++i) {
    at += gap(random);
    AddProgram(random, work, teams(random), at);
  }
  work.capacity = Capacity(work);
  if (options.wholesaler) {
    std::exponential_distribution<double> further(
        (options.wholesaler_factor - 1) * Weight(shape, *options.wholesaler));
    double next = further(random);
    while (next < at) {
      AddProgram(random, work, *options.wholesaler, next);
      next += further(random);
    }
  }
  return work;
}

}  // namespace celerykeel
