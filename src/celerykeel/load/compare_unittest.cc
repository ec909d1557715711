#include <doctest/doctest.h>

#include "celerykeel/load/bench_policy.h"  // for FindPolicy
#include "celerykeel/load/compare.h"       // for RunCompare
#include "celerykeel/load/workload.h"      // for MakeWorkload

namespace celerykeel {
namespace {

WorkloadShape Small() {
  WorkloadShape shape = *FindWorkload("hardangersaft");
  shape.engines = 2;
  return shape;
}

CompareOptions Options(uint64_t seed) {
  CompareOptions options;
  options.shape = Small();
  options.policies = {*FindPolicy("fcfs-round-robin"), *FindPolicy("las-cost")};
  options.loads = {1.0};
  options.workload = {.programs = 60, .seed = seed};
  return options;
}

TEST_CASE("equal seeds give equal reports, other seeds others") {
  const std::string first = RenderJson(RunCompare(Options(3)));
  CHECK(first == RenderJson(RunCompare(Options(3))));
  CHECK(first != RenderJson(RunCompare(Options(4))));
}

TEST_CASE("late and lost reports, and several schedulers, are seeded too") {
  CompareOptions options = Options(3);
  options.shape.engine.cache_tokens = 65'536;
  const std::string prompt = RenderJson(RunCompare(options));
  options.reports = {.lag = std::chrono::seconds(5), .loss = 0.1, .cores = 3};
  const std::string late = RenderJson(RunCompare(options));
  CHECK(late == RenderJson(RunCompare(options)));
  CHECK(late != prompt);
}

TEST_CASE("every program ends under every policy, with all its calls") {
  const Workload work = MakeWorkload(Small(), {.programs = 60, .seed = 5});
  std::vector<uint32_t> calls(work.programs.size());
  for (const WorkAgent& agent : work.agents) {
    calls[agent.program] += static_cast<uint32_t>(agent.turns.size());
  }
  for (const char* name :
       {"fcfs-round-robin", "fcfs-least-outstanding", "fcfs-prefix-hash",
        "las-cost", "las-cost-two-choices"}) {
    const BenchResult result = RunBench(work, *FindPolicy(name), {}, 1.2, 5);
    REQUIRE(result.programs.size() == calls.size());
    for (size_t i = 0; i < calls.size(); ++i) {
      CHECK(result.programs[i].calls == calls[i]);
      CHECK(result.programs[i].slowdown > 0.99);
    }
  }
}

TEST_CASE("one program alone takes as long as it does alone") {
  WorkloadShape shape = Small();
  shape.fan_out_share = 0;
  const Workload work = MakeWorkload(shape, {.programs = 1, .seed = 2});
  const BenchResult result = RunBench(work, *FindPolicy("las-cost"), {}, 1, 2);
  const double cold = 1600 / shape.engine.prefill_tokens_per_second;
  const Duration alone = work.programs[0].alone;
  CHECK(result.programs[0].latency >= alone);
  CHECK(std::chrono::duration<double>(result.programs[0].latency - alone)
            .count() == doctest::Approx(cold).epsilon(0.05));
}

TEST_CASE("a wholesaler's programs come on top of the same others") {
  const Workload quiet = MakeWorkload(Small(), {.programs = 200, .seed = 6});
  const Workload busy =
      MakeWorkload(Small(), {.programs = 200, .seed = 6, .wholesaler = 2});
  CHECK(quiet.capacity == busy.capacity);
  REQUIRE(busy.programs.size() > quiet.programs.size() + 100);
  for (size_t i = 0; i < quiet.programs.size(); ++i) {
    CHECK(quiet.programs[i].arrives_at == busy.programs[i].arrives_at);
    CHECK(quiet.programs[i].alone == busy.programs[i].alone);
  }
}

TEST_CASE("a summary of programs that are known") {
  BenchResult result;
  for (int i = 1; i <= 100; ++i) {
    result.programs.push_back({.team = i <= 50 ? 0U : 1U,
                               .calls = static_cast<uint32_t>(i),
                               .slowdown = static_cast<double>(i)});
  }
  result.prompt_tokens = 1000;
  result.wasted_tokens = 250;
  const CompareRow all = SummarizeRun(result, std::nullopt);
  CHECK(all.slowdown.p50 == 50);
  CHECK(all.slowdown.p95 == 95);
  CHECK(all.slowdown.mean == doctest::Approx(50.5));
  CHECK(all.long_p99 == 100);
  CHECK(all.wasted == doctest::Approx(0.25));
  CHECK(all.worst_team == doctest::Approx(75.5));
  const CompareRow others = SummarizeRun(result, 1);
  CHECK(others.worst_team == doctest::Approx(25.5));
  CHECK(others.wholesaler == doctest::Approx(75.5));
}

TEST_CASE("names of workloads and policies") {
  CHECK(FindWorkload("oglje")->engines == 9);
  CHECK_FALSE(FindWorkload("other"));
  CHECK_FALSE(FindPolicy("other"));
  CHECK(FindPolicy("las-cost")->name == "las-cost");
}

}  // namespace
}  // namespace celerykeel
