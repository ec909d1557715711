#include "celerykeel/load/latency_run.h"

#include <fmt/core.h>         // for fmt::format
#include <nlohmann/json.hpp>  // for nlohmann::json

#include <atomic>  // for std::atomic
#include <thread>  // for std::thread, std::this_thread
#include <vector>  // for std::vector

#include "celerykeel/base/clock.h"      // for Now
#include "celerykeel/load/arrivals.h"   // for PoissonArrivals
#include "celerykeel/load/http_call.h"  // for RunLoadCall

namespace celerykeel {

namespace {

constexpr Duration kLateStart = std::chrono::milliseconds(5);
constexpr Duration kLeadIn = std::chrono::milliseconds(50);

struct Sample {
  bool through = false;
  bool late_start = false;
  Duration first_token{};
  Duration whole_call{};
  bool failed = false;
  uint64_t events = 0;
};

LoadCall CallAt(const LatencyRunOptions& options, size_t index) {
  const bool through = index % 2 == 0;
  const auto& targets = through ? options.gates : options.engines;
  LoadCall call;
  call.address = targets[(index / 2) % targets.size()];
  call.key = through ? options.key : "";
  call.model = options.model;
  call.prompt = fmt::format("load call {}", index);
  call.max_tokens = options.max_tokens;
  return call;
}

Sample RunOne(const LatencyRunOptions& options, size_t index, Duration due) {
  const Duration started = Now();
  const LoadResult result = RunLoadCall(CallAt(options, index));
  return {.through = index % 2 == 0,
          .late_start = started - due > kLateStart,
          .first_token = result.first_event_at - due,
          .whole_call = result.finished_at - due,
          .failed = result.status != 200 || !result.whole,
          .events = result.events};
}

PathLatency Gather(const std::vector<Sample>& samples, bool through) {
  PathLatency path;
  std::vector<Duration> first;
  std::vector<Duration> whole;
  for (const Sample& sample : samples) {
    if (sample.through != through) {
      continue;
    }
    path.events += sample.events;
    if (sample.failed) {
      ++path.failed;
      continue;
    }
    first.push_back(sample.first_token);
    whole.push_back(sample.whole_call);
  }
  path.first_token = Summarize(std::move(first));
  path.whole_call = Summarize(std::move(whole));
  return path;
}

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string Row(std::string_view name,
                const LatencySummary& direct,
                const LatencySummary& through) {
  return fmt::format(
      "{:<12} {:>8.2f} {:>8.2f} {:>8.2f}   {:>8.2f} {:>8.2f} {:>8.2f}   "
      "{:>+8.2f} {:>+8.2f}\n",
      name, Millis(direct.p50), Millis(direct.p95), Millis(direct.p99),
      Millis(through.p50), Millis(through.p95), Millis(through.p99),
      Millis(through.p50 - direct.p50), Millis(through.p99 - direct.p99));
}

nlohmann::json ToJson(const LatencySummary& summary) {
  return {{"count", summary.count},
          {"mean_ms", Millis(summary.mean)},
          {"p50_ms", Millis(summary.p50)},
          {"p95_ms", Millis(summary.p95)},
          {"p99_ms", Millis(summary.p99)}};
}

nlohmann::json ToJson(const PathLatency& path) {
  return {{"first_token", ToJson(path.first_token)},
          {"whole_call", ToJson(path.whole_call)},
          {"failed", path.failed},
          {"events", path.events}};
}

}  // namespace

LatencyReport RunLatency(const LatencyRunOptions& options) {
  const std::vector<Duration> arrivals =
      PoissonArrivals(options.rate, options.span, options.seed);
  std::vector<Sample> samples(arrivals.size());
  std::atomic<size_t> next{0};
  const Duration start = Now() + kLeadIn;
  const auto work = [&] {
    for (size_t i = next++; i < arrivals.size(); i = next++) {
      const Duration due = start + arrivals[i];
      if (const Duration wait = due - Now(); wait > Duration{}) {
        std::this_thread::sleep_for(wait);
      }
      samples[i] = RunOne(options, i, due);
    }
  };
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < options.threads; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  LatencyReport report;
  report.direct = Gather(samples, false);
  report.through = Gather(samples, true);
  for (const Sample& sample : samples) {
    report.late_starts += sample.late_start ? 1 : 0;
  }
  return report;
}

std::string RenderTable(const LatencyReport& report) {
  return fmt::format(
             "{:<12} {:^26}   {:^26}   {:^17}\n"
             "{:<12} {:>8} {:>8} {:>8}   {:>8} {:>8} {:>8}   {:>8} {:>8}\n",
             "", "direct (ms)", "through (ms)", "added (ms)", "", "p50", "p95",
             "p99", "p50", "p95", "p99", "p50", "p99") +
         Row("first token", report.direct.first_token,
             report.through.first_token) +
         Row("whole call", report.direct.whole_call,
             report.through.whole_call) +
         fmt::format("calls {} and {}, failed {} and {}, sent late {}\n",
                     report.direct.whole_call.count,
                     report.through.whole_call.count, report.direct.failed,
                     report.through.failed, report.late_starts);
}

std::string RenderJson(const LatencyReport& report) {
  return nlohmann::json{{"direct", ToJson(report.direct)},
                        {"through", ToJson(report.through)},
                        {"late_starts", report.late_starts}}
      .dump(2);
}

}  // namespace celerykeel
