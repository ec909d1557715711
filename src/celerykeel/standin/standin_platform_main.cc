#include "celerykeel/net/settings.h"             // for SettingsReader
#include "celerykeel/net/stop_signal.h"          // for BlockStopSignals
#include "celerykeel/standin/http_host.h"        // for RunStandin
#include "celerykeel/standin/platform_server.h"  // for PlatformServer

namespace {

constexpr char kPart[] = "standin-platform";
constexpr char kUsage[] =
    R"(Stand-in for the platform: log, instance list, weight store.

Usage: standin-platform [options]

Options:
  --listen=ADDRESS     Where to listen (127.0.0.1:7000).
  --retention-ms=MS    How long the log keeps a record (3600000).
  --append-rate=COUNT  Appends taken per second (400).
  --list-lag-ms=MS     How late the instance list is (2000).
  --weights-rate=BYTES What the weight store gives per second (200000000).
  -h --help            Show this.
  --version            Show the version.
)";

constexpr uint64_t kDayMillis = 86'400'000;

}  // namespace

int main(int argc, char** argv) {
  celerykeel::BlockStopSignals();
  auto reader = celerykeel::SettingsReader::Parse(kUsage, argc, argv);
  if (!reader) {
    return celerykeel::ReportExit(reader.error());
  }
  celerykeel::PlatformOptions options;
  options.listen = reader->Address("listen", "127.0.0.1:7000");
  options.retention_ms = static_cast<celerykeel::WallMillis>(
      reader->Number("retention-ms", 3'600'000, 1, kDayMillis));
  options.append_rate = reader->Number("append-rate", 400, 1, 1'000'000);
  options.list_lag = reader->Millis("list-lag-ms", 2'000, 0, kDayMillis);
  options.weights_rate =
      reader->Number("weights-rate", 200'000'000, 1, 100'000'000'000);
  return celerykeel::RunStandin<celerykeel::PlatformServer>(kPart, *reader,
                                                            options);
}
