#include "celerykeel/gate/gate_options.h"

namespace celerykeel {

namespace {

constexpr char kUsage[] =
    R"(Takes callers' requests to the owners of their programs.

Usage: celerykeel-gate [options]

Options:
  --listen=ADDRESS          Callers' HTTP [IP:port].
  --rate=ADDRESS            Loans of team rates, for other gates [IP:port].
  --feed=ADDRESS            The feed of this instance's steward [IP:port].
  --operator=ADDRESS        /healthz, /readyz and /metrics [IP:port].
  --threads=N               Connections served at once (512).
  --max-body-bytes=N        Longest body of a request (8388608).
  --read-timeout-ms=MS      For a whole request to arrive (10000).
  --write-timeout-ms=MS     For a caller to take what is written (10000).
  --keep-alive-ms=MS        How long an idle connection stays open (30000).
  --owner-patience-ms=MS    For a program's owner to answer (15000).
  --config-patience-ms=MS   Age at which the state is too old (4000).
  --drain-grace-ms=MS       Goes on taking requests after SIGTERM (2000).
  -h --help                 Show this.
  --version                 Show the version.

Each flag can be given in the environment, as in CELERYKEEL_LISTEN.
)";

constexpr uint64_t kMaxThreads = 8192;
constexpr uint64_t kMaxBodyBytes = uint64_t{64} * 1024 * 1024;
constexpr uint64_t kMaxMillis = 600'000;

}  // namespace

std::string_view GateUsage() {
  return kUsage;
}

GateOptions ReadGateOptions(SettingsReader& reader) {
  GateOptions options;
  GateServerOptions& server = options.server;
  server.listen = reader.Address("listen", "");
  options.rate = reader.Address("rate", "");
  options.feed = reader.Address("feed", "");
  options.operator_listen = reader.Address("operator", "");
  server.limits.threads = reader.Number("threads", 512, 4, kMaxThreads);
  server.limits.max_body_bytes =
      reader.Number("max-body-bytes", 8'388'608, 1024, kMaxBodyBytes);
  server.limits.read_timeout =
      reader.Millis("read-timeout-ms", 10'000, 10, kMaxMillis);
  server.limits.write_timeout =
      reader.Millis("write-timeout-ms", 10'000, 10, kMaxMillis);
  server.limits.keep_alive_timeout =
      reader.Millis("keep-alive-ms", 30'000, 10, kMaxMillis);
  server.owner_patience =
      reader.Millis("owner-patience-ms", 15'000, 10, kMaxMillis);
  server.config_patience =
      reader.Millis("config-patience-ms", 4'000, 10, kMaxMillis);
  options.drain_grace = reader.Millis("drain-grace-ms", 2'000, 0, kMaxMillis);
  return options;
}

}  // namespace celerykeel
