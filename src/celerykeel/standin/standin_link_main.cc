#include "celerykeel/net/settings.h"         // for SettingsReader
#include "celerykeel/net/stop_signal.h"      // for BlockStopSignals
#include "celerykeel/standin/http_host.h"    // for RunStandin
#include "celerykeel/standin/link_server.h"  // for LinkServer

namespace {

constexpr char kPart[] = "standin-link";
constexpr char kUsage[] =
    R"(Stand-in for a network link: forwards TCP, and is cut on request.

Usage: standin-link [options]

Options:
  --listen=ADDRESS   Where to listen.
  --to=ADDRESS       Where to forward to.
  --control=ADDRESS  Where to take POST /control/cut?on=1[&mode=hang].
  --delay-ms=MS      Delay in each direction (0).
  -h --help          Show this.
  --version          Show the version.
)";

constexpr uint64_t kLongestDelayMillis = 60'000;

}  // namespace

int main(int argc, char** argv) {
  celerykeel::BlockStopSignals();
  auto reader = celerykeel::SettingsReader::Parse(kUsage, argc, argv);
  if (!reader) {
    return celerykeel::ReportExit(reader.error());
  }
  celerykeel::LinkOptions options;
  options.listen = reader->Address("listen", "");
  options.to = reader->Address("to", "");
  options.control = reader->Address("control", "");
  options.delay = reader->Millis("delay-ms", 0, 0, kLongestDelayMillis);
  return celerykeel::RunStandin<celerykeel::LinkServer>(kPart, *reader,
                                                        options);
}
