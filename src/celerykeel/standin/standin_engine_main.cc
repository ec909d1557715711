#include "celerykeel/net/settings.h"           // for SettingsReader
#include "celerykeel/net/stop_signal.h"        // for BlockStopSignals
#include "celerykeel/standin/engine_server.h"  // for EngineServer
#include "celerykeel/standin/http_host.h"      // for RunStandin

namespace {

constexpr char kPart[] = "standin-engine";
constexpr char kUsage[] =
    R"(Stand-in for a model engine.

Usage: standin-engine [options]

Options:
  --listen=ADDRESS            Where to listen (127.0.0.1:7100).
  --model=NAME                The model that it serves.
  --slots=COUNT               Requests that run at once (16).
  --cache-tokens=COUNT        Memory for prefixes (65536).
  --decode-ms-per-token=MS    Time of a step (10).
  --prefill-tokens-per-s=RATE Tokens of prompts read per second (20000).
  --event-lag-ms=MS           How late cache events are (200).
  --event-loss=PERMILLE       Cache events lost, of a thousand (0).
  --seed=NUMBER               Which of them are lost (1).
  --load-lag-ms=MS            How late load reports are (200).
  --load-ms=MS                How long a model takes to load (500).
  --transfer-tokens-per-s=N   Tokens exported or imported (1000000).
  --resume-grace-ms=MS        How long a stream without a reader runs (1000).
  --checks-fencing            Refuse an order with an older fencing number.
  -h --help                   Show this.
  --version                   Show the version.
)";

constexpr uint64_t kHourMillis = 3'600'000;
constexpr uint64_t kManyTokens = 1'000'000'000;

void ReadEngineLimits(celerykeel::SettingsReader& reader,
                      celerykeel::EngineLimits& limits) {
  limits.slots = static_cast<uint32_t>(reader.Number("slots", 16, 1, 4096));
  limits.cache_tokens = reader.Number("cache-tokens", 65'536, 16, kManyTokens);
  limits.decode_per_token = reader.Millis("decode-ms-per-token", 10, 0, 60'000);
  limits.prefill_tokens_per_second = static_cast<double>(
      reader.Number("prefill-tokens-per-s", 20'000, 1, kManyTokens));
}

}  // namespace

int main(int argc, char** argv) {
  celerykeel::BlockStopSignals();
  auto reader = celerykeel::SettingsReader::Parse(kUsage, argc, argv);
  if (!reader) {
    return celerykeel::ReportExit(reader.error());
  }
  celerykeel::EngineServerOptions options;
  options.listen = reader->Address("listen", "127.0.0.1:7100");
  options.model = reader->Text("model", "");
  ReadEngineLimits(*reader, options.limits);
  options.event_lag = reader->Millis("event-lag-ms", 200, 0, kHourMillis);
  options.event_loss_permille =
      static_cast<uint32_t>(reader->Number("event-loss", 0, 0, 1000));
  options.seed = reader->Number("seed", 1, 0, UINT64_MAX);
  options.load_lag = reader->Millis("load-lag-ms", 200, 0, kHourMillis);
  options.resume_grace =
      reader->Millis("resume-grace-ms", 1000, 0, kHourMillis);
  options.load_time = reader->Millis("load-ms", 500, 0, kHourMillis);
  options.transfer_tokens_per_second = static_cast<double>(
      reader->Number("transfer-tokens-per-s", 1'000'000, 1, kManyTokens));
  options.checks_fencing = reader->Switch("checks-fencing");
  return celerykeel::RunStandin<celerykeel::EngineServer>(kPart, *reader,
                                                          options);
}
