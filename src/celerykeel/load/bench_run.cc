#include "celerykeel/load/bench_run.h"

#include <algorithm>  // for std::ranges::min_element
#include <charconv>   // for std::from_chars
#include <numeric>    // for std::accumulate

#include "celerykeel/load/bench_state.h"  // for BenchState

namespace celerykeel {

namespace {

constexpr double kMeanGain = 0.02;  // of the moving mean of call times

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

uint64_t Mix(uint64_t value) {
  value += 0x9E3779B97F4A7C15U;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
  return value ^ (value >> 31U);
}

uint32_t TeamOf(const BenchState& state, uint32_t agent) {
  return state.work.programs[state.work.agents[agent].program].team;
}

size_t CoreOf(const BenchState& state, uint32_t agent) {
  return state.work.agents[agent].program % state.reports.cores;
}

uint64_t SharedTokens(const BenchState& state, uint32_t agent) {
  return state.work.shape.teams[TeamOf(state, agent)].shared_tokens;
}

std::vector<BlockHash> BlocksOf(const BenchState& state,
                                uint32_t agent,
                                uint64_t tokens) {
  const uint64_t shared = SharedTokens(state, agent) / kBlockTokens;
  const uint64_t team = Mix(TeamOf(state, agent));
  const uint64_t own = Mix(uint64_t{agent} + (uint64_t{1} << 32U));
  std::vector<BlockHash> blocks(tokens / kBlockTokens);
  for (uint64_t i = 0; i < blocks.size(); ++i) {
    blocks[i] = Mix((i < shared ? team : own) + i);
  }
  return blocks;
}

void AddEvent(BenchState& state,
              Duration at,
              BenchEventKind kind,
              uint32_t subject) {
  state.events.push({at, state.event_count++, kind, subject});
}

uint32_t Outstanding(const EngineBatcher& engine) {
  return static_cast<uint32_t>(engine.waiting.size() + engine.running.size());
}

size_t ChooseEngine(BenchState& state,
                    uint32_t agent,
                    const PlacementRequest& request,
                    Duration now) {
  const size_t count = state.engines.size();
  switch (state.policy.placement) {
    case BenchPlacement::kRoundRobin:
      return state.turns++ % count;
    case BenchPlacement::kLeastOutstanding:
      return static_cast<size_t>(
          std::ranges::min_element(state.engines, {}, Outstanding) -
          state.engines.begin());
    case BenchPlacement::kPrefixHash:
      return Mix(uint64_t{agent}) % count;
    case BenchPlacement::kExpectedCost:
      return Place(state.books[CoreOf(state, agent)], request,
                   state.policy.cost, state.random(), now)
          ->endpoint;
  }
  return 0;
}

RunRank RankFor(const BenchState& state, uint32_t agent, Duration now) {
  if (state.policy.order == BenchOrder::kArrival) {
    return 0;
  }
  const RankOptions& rank = state.policy.rank;
  const double ratio =
      state.policy.is_fair
          ? ShareRatio(state.shares[CoreOf(state, agent)], rank,
                       std::to_string(TeamOf(state, agent)), now)
          : 0;
  return RankOf(rank, state.attained[state.work.agents[agent].program], ratio);
}

PromptShape ShapeOf(const BenchState& state, uint32_t agent, uint64_t tokens) {
  return {state.agents[agent].id, TeamOf(state, agent) + uint64_t{1},
          SharedTokens(state, agent), tokens};
}

void StartStep(BenchState& state, size_t engine, Duration now) {
  if (state.engines[engine].step_ends_at) {
    return;
  }
  if (const auto end = BeginStep(state.engines[engine], now)) {
    AddEvent(state, *end, BenchEventKind::kStep, static_cast<uint32_t>(engine));
  }
}

void SendCall(BenchState& state, uint32_t index, Duration now) {
  BenchAgent& agent = state.agents[index];
  const std::vector<WorkTurn>& turns = state.work.agents[index].turns;
  const WorkTurn& turn = turns[agent.turn];
  if (agent.turn > 0) {
    RecordPause(state.pauses, turns[agent.turn - 1].tool,
                now - agent.paused_at);
  }
  const uint64_t prompt = agent.history + turn.new_tokens;
  const PlacementRequest request{ShapeOf(state, index, prompt),
                                 RankFor(state, index, now),
                                 ToDuration(state.call_seconds)};
  agent.engine = ChooseEngine(state, index, request, now);
  agent.sent_at = now;
  agent.sent = RecordSentCall(state.books[CoreOf(state, index)][agent.engine],
                              request, now);
  agent.used.insert(agent.engine);
  EngineWork work;
  work.id = agent.id;
  work.program = agent.id;
  work.priority = request.rank;
  work.prompt_tokens = prompt;
  work.answer_tokens = turn.answer_tokens;
  work.blocks = BlocksOf(state, index, prompt + turn.answer_tokens);
  Submit(state.engines[agent.engine], std::move(work));
  StartStep(state, agent.engine, now);
}

void Launch(BenchState& state, uint32_t index, int64_t parent, Duration now) {
  state.agents[index].parent = parent;
  state.agents[index].history = SharedTokens(state, index);
  AddEvent(state, now, BenchEventKind::kCall, index);
}

void ReleaseHeld(BenchState& state, uint32_t index) {
  BenchAgent& agent = state.agents[index];
  const std::vector<BlockHash> blocks = BlocksOf(state, index, agent.history);
  for (const size_t engine : agent.used) {
    ReleaseChain(state.engines[engine].cache, agent.id, blocks,
                 state.engines[engine].changes);
    Forget(state.books[CoreOf(state, index)][engine].held, agent.id);
  }
  agent.used.clear();
}

void StartPause(BenchState& state,
                uint32_t index,
                std::string_view tool,
                Duration now) {
  BenchAgent& agent = state.agents[index];
  agent.paused_at = now;
  const PrefixMap& held = state.books[CoreOf(state, index)][agent.engine].held;
  if (state.policy.placement == BenchPlacement::kExpectedCost &&
      state.policy.drops_over_pauses &&
      !KeepOverPause(held, ExpectedPause(state.pauses, tool), now)) {
    ReleaseHeld(state, index);
  }
}

void EndAgent(BenchState& state, uint32_t index, Duration now) {
  BenchAgent& agent = state.agents[index];
  ReleaseHeld(state, index);
  if (agent.parent >= 0) {
    const auto parent = static_cast<uint32_t>(agent.parent);
    if (--state.agents[parent].open_sub_agents == 0) {
      AddEvent(state, now, BenchEventKind::kCall, parent);
    }
    return;
  }
  --state.open_programs;
  const uint32_t number = state.work.agents[index].program;
  const Duration alone = state.work.programs[number].alone;
  BenchProgram& program = state.result.programs[number];
  program.latency = now - state.started_at[number];
  program.slowdown = static_cast<double>(program.latency.count()) /
                     static_cast<double>(alone.count());
}

void ContinueAgent(BenchState& state, uint32_t index, Duration now) {
  BenchAgent& agent = state.agents[index];
  const WorkAgent& work = state.work.agents[index];
  const WorkTurn& turn = work.turns[agent.turn];
  if (++agent.turn == work.turns.size()) {
    EndAgent(state, index, now);
    return;
  }
  StartPause(state, index, turn.tool, now);
  if (turn.sub_agents.empty()) {
    AddEvent(state, now + turn.pause, BenchEventKind::kCall, index);
    return;
  }
  agent.open_sub_agents = static_cast<uint32_t>(turn.sub_agents.size());
  for (const uint32_t sub_agent : turn.sub_agents) {
    Launch(state, sub_agent, index, now);
  }
}

// Service of a call: decoding in one slot, and reading of what was not held.
Duration ServiceOf(const BenchState& state,
                   const WorkTurn& turn,
                   uint64_t read_tokens) {
  const EngineLimits& limits = state.work.shape.engine;
  return static_cast<int64_t>(turn.answer_tokens) * limits.decode_per_token /
             limits.slots +
         ToDuration(static_cast<double>(read_tokens) /
                    limits.prefill_tokens_per_second);
}

void CountTokens(BenchResult& result,
                 uint64_t prompt,
                 uint64_t history,
                 uint64_t cached) {
  const uint64_t known = history / kBlockTokens * kBlockTokens;
  result.prompt_tokens += prompt;
  result.cached_tokens += cached;
  result.wasted_tokens += known > cached ? known - cached : 0;
}

void EndCall(BenchState& state, uint32_t index, uint64_t cached, Duration now) {
  BenchAgent& agent = state.agents[index];
  const uint32_t number = state.work.agents[index].program;
  const WorkTurn& turn = state.work.agents[index].turns[agent.turn];
  const uint64_t prompt = agent.history + turn.new_tokens;
  CountTokens(state.result, prompt, agent.history, cached);
  agent.history = prompt + turn.answer_tokens;
  ++state.result.programs[number].calls;
  const Duration service = ServiceOf(state, turn, prompt - cached);
  state.attained[number] += service;
  RecordService(state.shares[CoreOf(state, index)], state.policy.rank,
                std::to_string(TeamOf(state, index)), service, now);
  const double seconds =
      std::chrono::duration<double>(now - agent.sent_at).count();
  state.call_seconds += kMeanGain * (seconds - state.call_seconds);
  RecordEndedCall(state.books[CoreOf(state, index)][agent.engine], agent.sent,
                  ShapeOf(state, index, agent.history), now);
  ContinueAgent(state, index, now);
}

uint32_t AgentOf(const std::string& id) {
  uint32_t index = 0;
  std::from_chars(id.data(), id.data() + id.size(), index);
  return index;
}

void SendCacheReports(BenchState& state,
                      size_t engine,
                      const CacheChanges& changes,
                      Duration now) {
  if (!state.policy.takes_reports) {
    return;
  }
  std::bernoulli_distribution is_lost(state.reports.loss);
  for (const auto& [key, change] : changes.by_program) {
    if (change.kind == CacheChangeKind::kEvicted && !is_lost(state.losses)) {
      state.cache_reports.push_back({engine, AgentOf(change.program),
                                     change.held_blocks * kBlockTokens, now});
      AddEvent(state, now + state.reports.lag, BenchEventKind::kCacheReport, 0);
    }
  }
}

void TakeCacheReport(BenchState& state) {
  const CacheReport report = state.cache_reports.front();
  state.cache_reports.pop_front();
  ApplyCacheReport(state.books[CoreOf(state, report.agent)][report.engine].held,
                   state.agents[report.agent].id, report.tokens, report.as_of);
}

void TakeSample(BenchState& state, Duration now) {
  LoadSample sample;
  sample.as_of = now;
  for (const EngineBatcher& engine : state.engines) {
    sample.calls.push_back(Outstanding(engine));
  }
  for (const auto& books : state.books) {
    std::vector<uint32_t>& own = sample.own.emplace_back();
    for (const EndpointEstimate& book : books) {
      own.push_back(std::accumulate(book.outstanding.begin(),
                                    book.outstanding.end(), 0U));
    }
  }
  state.load_samples.push_back(std::move(sample));
  AddEvent(state, now + state.reports.lag, BenchEventKind::kLoadReport, 0);
  if (state.open_programs > 0) {
    AddEvent(state, now + state.reports.every, BenchEventKind::kSample, 0);
  }
}

void TakeLoadReport(BenchState& state) {
  const LoadSample sample = std::move(state.load_samples.front());
  state.load_samples.pop_front();
  for (size_t core = 0; core < state.books.size(); ++core) {
    for (size_t i = 0; i < sample.calls.size(); ++i) {
      RecordLoadReport(state.books[core][i], sample.calls[i],
                       sample.own[core][i], sample.as_of);
    }
  }
}

void EndStep(BenchState& state, size_t engine, Duration now) {
  const StepOutcome outcome = FinishStep(state.engines[engine], now);
  SendCacheReports(state, engine, outcome.changes, now);
  for (const WorkProgress& progress : outcome.progress) {
    if (progress.is_finished) {
      const uint32_t index = AgentOf(progress.id);
      EndCall(state, index, progress.cached_tokens, now);
    }
  }
  StartStep(state, engine, now);
}

void Prepare(BenchState& state, double load) {
  const Workload& work = state.work;
  state.books.resize(state.reports.cores);
  state.shares.resize(state.reports.cores);
  state.open_programs = work.programs.size();
  for (uint32_t i = 0; i < work.shape.engines; ++i) {
    state.engines.push_back(MakeEngineBatcher(work.shape.engine));
    EndpointEstimate book;
    book.pace = {work.shape.engine.slots,
                 work.shape.engine.prefill_tokens_per_second};
    book.held.capacity = work.shape.engine.cache_tokens;
    for (auto& books : state.books) {
      books.push_back(book);
    }
  }
  for (uint32_t i = 0; i < work.shape.teams.size(); ++i) {
    for (TeamShares& shares : state.shares) {
      shares.teams[std::to_string(i)].weight = work.shape.teams[i].weight;
    }
  }
  state.agents.resize(work.agents.size());
  for (size_t i = 0; i < state.agents.size(); ++i) {
    state.agents[i].id = std::to_string(i);
  }
  state.attained.resize(work.programs.size());
  for (const WorkProgram& program : work.programs) {
    const Duration at = ToDuration(program.arrives_at / (load * work.capacity));
    state.started_at.push_back(at);
    state.result.programs.push_back({.team = program.team});
    Launch(state, program.root, -1, at);
  }
}

void Handle(BenchState& state, const BenchEvent& event) {
  switch (event.kind) {
    case BenchEventKind::kCall:
      SendCall(state, event.subject, event.at);
      break;
    case BenchEventKind::kStep:
      EndStep(state, event.subject, event.at);
      break;
    case BenchEventKind::kSample:
      TakeSample(state, event.at);
      break;
    case BenchEventKind::kLoadReport:
      TakeLoadReport(state);
      break;
    case BenchEventKind::kCacheReport:
      TakeCacheReport(state);
      break;
  }
}

}  // namespace

BenchResult RunBench(const Workload& work,
                     const BenchPolicy& policy,
                     const BenchReports& reports,
                     double load,
                     uint64_t seed) {
  BenchState state(work, policy, reports);
  state.random.seed(seed);
  state.losses.seed(seed);
  Prepare(state, load);
  if (policy.takes_reports && reports.cores > 1) {
    AddEvent(state, Duration{}, BenchEventKind::kSample, 0);
  }
  while (!state.events.empty()) {
    const BenchEvent event = state.events.top();
    state.events.pop();
    Handle(state, event);
    state.result.ended_at = event.at;
  }
  return std::move(state.result);
}

}  // namespace celerykeel
