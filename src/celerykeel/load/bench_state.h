#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <deque>    // for std::deque
#include <map>      // for std::map
#include <queue>    // for std::priority_queue
#include <random>   // for std::mt19937_64
#include <set>      // for std::set
#include <string>   // for std::string
#include <tuple>    // for std::tie
#include <vector>   // for std::vector

#include "celerykeel/core/pause.h"      // for PauseTimes
#include "celerykeel/core/placement.h"  // for EndpointEstimate, SentCall
#include "celerykeel/core/run_rank.h"   // for TeamShares
#include "celerykeel/load/bench_run.h"  // for BenchResult
#include "celerykeel/standin/engine_batcher.h"  // for EngineBatcher

namespace celerykeel {

enum class BenchEventKind { kCall, kStep, kSample, kLoadReport, kCacheReport };

/// @brief What an engine held of a program when it evicted some of it.
struct CacheReport {
  size_t engine = 0;
  uint32_t agent = 0;
  uint64_t tokens = 0;
  Duration as_of{};
};

/// @brief Calls under way in all, and of each core, by engine.
struct LoadSample {
  Duration as_of{};
  std::vector<uint32_t> calls;
  std::vector<std::vector<uint32_t>> own;  // by core
};

struct BenchEvent {
  Duration at{};
  uint64_t number = 0;  // events of one time keep their order
  BenchEventKind kind = BenchEventKind::kCall;
  uint32_t subject = 0;  // an agent or an engine

  friend bool operator>(const BenchEvent& a, const BenchEvent& b) {
    return std::tie(a.at, a.number) > std::tie(b.at, b.number);
  }
};

struct BenchAgent {
  std::string id;
  int64_t parent = -1;  // agent
  size_t turn = 0;
  uint64_t history = 0;  // tokens, the shared part included
  uint32_t open_sub_agents = 0;
  size_t engine = 0;  // of the call under way
  Duration sent_at{};
  Duration paused_at{};
  SentCall sent;
  std::set<size_t> used;  // engines
};

/// @brief All that changes in a run of the bench.
struct BenchState {
  BenchState(const Workload& bench_work,
             const BenchPolicy& bench_policy,
             const BenchReports& bench_reports)
      : work(bench_work), policy(bench_policy), reports(bench_reports) {}

  const Workload& work;
  const BenchPolicy& policy;
  const BenchReports& reports;
  std::deque<CacheReport> cache_reports;  // on their way
  std::deque<LoadSample> load_samples;    // on their way
  std::mt19937_64 losses;
  size_t open_programs = 0;
  std::priority_queue<BenchEvent, std::vector<BenchEvent>, std::greater<>>
      events;
  uint64_t event_count = 0;
  std::vector<EngineBatcher> engines;
  std::vector<std::vector<EndpointEstimate>> books;  // by core and engine
  std::vector<BenchAgent> agents;
  std::vector<Duration> attained;  // by program
  std::vector<Duration> started_at;
  std::vector<TeamShares> shares;  // by core
  PauseTimes pauses;
  double call_seconds = 1;  // moving mean
  uint64_t turns = 0;       // of the round robin
  std::mt19937_64 random;
  BenchResult result;
};

}  // namespace celerykeel
