#include "celerykeel/steward/options.h"

#include <algorithm>  // for std::min

namespace celerykeel {

namespace {

constexpr std::string_view kUsage =
    R"(celerykeel-steward: an instance's membership, configuration and log.

Usage:
  celerykeel-steward [options]

Options:
  --instance=NAME            name of this instance
  --availability-zone=ZONE   where it runs
  --log=ADDR                 the platform's log
  --feed=ADDR                for this instance's gate and scheduler
  --peers=ADDR               for other stewards
  --operator=ADDR            /healthz, /readyz and /metrics
  --gate-address=ADDR        where this instance's gate serves callers
  --scheduler-address=ADDR   where gates reach this instance's scheduler
  --rate-address=ADDR        where gates reach this instance's gate
  --seed-peers=ADDRS         stewards to ask while the log is down, by commas
  --lease-ms=N               an instance acts this long on its witnesses' word
                             (4000)
  --heartbeat-ms=N           time between heartbeats (500)
  --margin-ms=N              allowance for clock drift over a lease (500)
  --append-wait-ms=N         an append waits this long for the log (2000)
  --append-budget=N          appends a second of the whole fleet (400)
  --drain-timeout-ms=N       leave after this long, drained or not (30000)
  --snapshot-every-ms=N      write the state again this often; at most half of
                             the log's retention (600000)
  --retention-ms=N           how long the log keeps records (0: not known)
  --help                     this text
  --version                  version and commit

Each flag can be set in the environment: --lease-ms is CELERYKEEL_LEASE_MS.
)";

std::vector<std::string> SplitAddresses(const std::string& text) {
  std::vector<std::string> addresses;
  size_t start = 0;
  while (start < text.size()) {
    const size_t comma = std::min(text.find(',', start), text.size());
    if (comma > start) {
      addresses.push_back(text.substr(start, comma - start));
    }
    start = comma + 1;
  }
  return addresses;
}

}  // namespace

std::string_view StewardUsage() {
  return kUsage;
}

StewardOptions ReadStewardOptions(SettingsReader& reader) {
  constexpr uint64_t kHourMs = 3'600'000;
  StewardOptions options;
  options.instance = reader.Text("instance", "");
  options.availability_zone = reader.Text("availability-zone", "");
  options.log = reader.Address("log", "");
  options.feed = reader.Address("feed", "");
  options.peers = reader.Address("peers", "");
  options.operators = reader.Address("operator", "");
  options.gate_address = reader.Address("gate-address", "");
  options.scheduler_address = reader.Address("scheduler-address", "");
  options.rate_address = reader.Address("rate-address", "");
  options.seed_peers = SplitAddresses(reader.OptionalText("seed-peers"));
  options.lease = reader.Millis("lease-ms", 4000, 100, kHourMs);
  options.heartbeat = reader.Millis("heartbeat-ms", 500, 10, kHourMs);
  options.margin = reader.Millis("margin-ms", 500, 10, kHourMs);
  options.append_wait = reader.Millis("append-wait-ms", 2000, 10, kHourMs);
  options.append_budget =
      static_cast<uint32_t>(reader.Number("append-budget", 400, 1, 1'000'000));
  options.drain_timeout =
      reader.Millis("drain-timeout-ms", 30'000, 10, kHourMs);
  options.snapshot_every =
      reader.Millis("snapshot-every-ms", 600'000, 100, 24 * kHourMs);
  options.retention = reader.Millis("retention-ms", 0, 0, 24 * kHourMs * 365);
  if (options.retention > Duration{}) {
    options.snapshot_every =
        std::min(options.snapshot_every, options.retention / 2);
  }
  return options;
}

}  // namespace celerykeel
