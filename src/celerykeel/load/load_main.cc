#include <fmt/core.h>  // for fmt::print

#include <charconv>     // for std::from_chars
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/load/bench_policy.h"  // for FindPolicy
#include "celerykeel/load/compare.h"       // for RunCompare
#include "celerykeel/load/latency_run.h"   // for RunLatency
#include "celerykeel/net/settings.h"       // for SettingsReader

namespace celerykeel {

namespace {

constexpr double kMostLoad = 10;  // of the capacity

constexpr char kUsage[] = R"(Drives a fleet with load and reports what it met.

Usage:
  celerykeel-load latency --gates=ADDRS --engines=ADDRS [options]
  celerykeel-load compare [options]
  celerykeel-load (-h | --help | --version)

Options:
  --gates=ADDRS     Gates, comma-separated IP:port.
  --engines=ADDRS   Engines called directly, comma-separated IP:port.
  --key=KEY         The caller's key; better given in CELERYKEEL_KEY.
  --model=NAME      Model to ask for (default assistant).
  --rate=N          Calls per second, both ways together (default 20).
  --seconds=N       Length of the run (default 10).
  --max-tokens=N    Tokens of each answer (default 16).
  --threads=N       Calls under way at most (default 64).
  --seed=N          Seed of the arrivals (default 1).
  --workload=NAME   hardangersaft or oglje (compare; default hardangersaft).
  --policies=NAMES  Policies to compare (default the baselines, las-cost).
  --loads=LIST      Parts of the capacity (compare; default 0.9,1.1).
  --programs=N      Programs of the workload (compare; default 1000).
  --cache-tokens=N  Memory of each engine (compare; default the workload's).
  --report-lag-ms=N How late reports of engines are (compare; default 0).
  --event-loss=N    Of a hundred cache events, the lost (compare; default 0).
  --cores=N         Schedulers that share the programs (compare; default 1).
  --wholesaler=N    Team that sends five times its rate, from 1 (compare).
  --json            Report as JSON.
  -h --help         Show this.
  --version         Show the version.
)";

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    items.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return items;
}

LatencyRunOptions ReadOptions(SettingsReader& reader) {
  LatencyRunOptions options;
  options.gates = SplitList(reader.Text("gates", ""));
  options.engines = SplitList(reader.Text("engines", ""));
  options.key = reader.OptionalText("key");
  options.model = reader.Text("model", "assistant");
  options.rate = static_cast<double>(reader.Number("rate", 20, 1, 100'000));
  options.span = std::chrono::seconds(reader.Number("seconds", 10, 1, 3600));
  options.max_tokens =
      static_cast<uint32_t>(reader.Number("max-tokens", 16, 1, 100'000));
  options.threads =
      static_cast<uint32_t>(reader.Number("threads", 64, 1, 2000));
  options.seed = reader.Number("seed", 1, 0, UINT64_MAX);
  return options;
}

std::vector<BenchPolicy> ReadPolicies(SettingsReader& reader) {
  std::vector<BenchPolicy> policies;
  for (const std::string& name : SplitList(reader.Text(
           "policies",
           "fcfs-round-robin,fcfs-least-outstanding,fcfs-prefix-hash,"
           "las-cost"))) {
    if (auto policy = FindPolicy(name)) {
      policies.push_back(*std::move(policy));
    } else {
      reader.AddMistake("policies", name, "names of policies");
    }
  }
  return policies;
}

std::vector<double> ReadLoads(SettingsReader& reader) {
  std::vector<double> loads;
  for (const std::string& text : SplitList(reader.Text("loads", "0.9,1.1"))) {
    double load = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), load);
    if (error != std::errc() || end != text.data() + text.size() ||
        !(load > 0 && load <= kMostLoad)) {
      reader.AddMistake("loads", text, "numbers above 0, 10 at most");
    }
    loads.push_back(load);
  }
  return loads;
}

CompareOptions ReadCompareOptions(SettingsReader& reader) {
  CompareOptions options;
  const std::string workload = reader.Text("workload", "hardangersaft");
  if (auto shape = FindWorkload(workload)) {
    options.shape = *std::move(shape);
  } else {
    reader.AddMistake("workload", workload, "hardangersaft or oglje");
  }
  options.policies = ReadPolicies(reader);
  options.loads = ReadLoads(reader);
  options.workload.programs =
      static_cast<uint32_t>(reader.Number("programs", 1000, 1, 1'000'000));
  options.workload.seed = reader.Number("seed", 1, 0, UINT64_MAX);
  options.shape.engine.cache_tokens = reader.Number(
      "cache-tokens", options.shape.engine.cache_tokens, 1024, 1'000'000'000);
  options.reports.lag = reader.Millis("report-lag-ms", 0, 0, 600'000);
  options.reports.loss =
      static_cast<double>(reader.Number("event-loss", 0, 0, 100)) / 100;
  options.reports.cores =
      static_cast<uint32_t>(reader.Number("cores", 1, 1, 64));
  if (const auto team = reader.Number("wholesaler", 0, 0, 8); team > 0) {
    options.workload.wholesaler = static_cast<uint32_t>(team - 1);
  }
  return options;
}

int Compare(SettingsReader& reader) {
  const CompareOptions options = ReadCompareOptions(reader);
  const bool json = reader.Switch("json");
  if (!reader.Mistakes().empty()) {
    return ReportMistakes("load", reader);
  }
  const CompareReport report = RunCompare(options);
  fmt::print("{}\n", json ? RenderJson(report) : RenderTable(report));
  return kExitDone;
}

int Run(int argc, char** argv) {
  auto reader = SettingsReader::Parse(kUsage, argc, argv);
  if (!reader) {
    return ReportExit(reader.error());
  }
  if (reader->Argument("compare") == "true") {
    return Compare(*reader);
  }
  const LatencyRunOptions options = ReadOptions(*reader);
  const bool json = reader->Switch("json");
  if (!reader->Mistakes().empty()) {
    return ReportMistakes("load", *reader);
  }
  const LatencyReport report = RunLatency(options);
  fmt::print("{}\n", json ? RenderJson(report) : RenderTable(report));
  return report.through.failed + report.direct.failed == 0 ? kExitDone
                                                           : kExitFailed;
}

}  // namespace

}  // namespace celerykeel

int main(int argc, char** argv) {
  return celerykeel::Run(argc, argv);
}
