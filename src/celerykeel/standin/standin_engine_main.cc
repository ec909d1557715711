#include "celerykeel/net/log.h"                // for Log
#include "celerykeel/net/settings.h"           // for SettingsReader
#include "celerykeel/net/stop_signal.h"        // for BlockStopSignals
#include "celerykeel/standin/engine_server.h"  // for EngineServer
#include "celerykeel/standin/http_host.h"      // for WaitUntilStopped

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
  --resume-grace-ms=MS        How long a stream without a reader runs (1000).
  --checks-fencing            Refuse an order with an older fencing number.
  -h --help                   Show this.
  --version                   Show the version.
)";

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
  if (!reader->Mistakes().empty()) {
    return celerykeel::ReportMistakes(kPart, *reader);
  }
  const auto server = celerykeel::EngineServer::Create(options);
  if (!server) {
    celerykeel::Log(kPart, "cannot listen",
                    {{"address", server.error().address}});
    return celerykeel::kExitFailed;
  }
  celerykeel::WaitUntilStopped(kPart, options.listen);
  return celerykeel::kExitDone;
}
