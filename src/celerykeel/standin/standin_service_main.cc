#include "celerykeel/net/settings.h"            // for SettingsReader
#include "celerykeel/net/stop_signal.h"         // for BlockStopSignals
#include "celerykeel/standin/http_host.h"       // for RunStandin
#include "celerykeel/standin/service_server.h"  // for ServiceServer

namespace {

constexpr char kPart[] = "standin-service";
constexpr char kUsage[] =
    R"(Stand-in for a plain service: counts how often each call ran.

Usage: standin-service [options]

Options:
  --listen=ADDRESS  Where to listen (127.0.0.1:7200).
  --checks-fencing  Refuse a call with an older fencing number.
  -h --help         Show this.
  --version         Show the version.
)";

}  // namespace

int main(int argc, char** argv) {
  celerykeel::BlockStopSignals();
  auto reader = celerykeel::SettingsReader::Parse(kUsage, argc, argv);
  if (!reader) {
    return celerykeel::ReportExit(reader.error());
  }
  celerykeel::ServiceOptions options;
  options.listen = reader->Address("listen", "127.0.0.1:7200");
  options.checks_fencing = reader->Switch("checks-fencing");
  return celerykeel::RunStandin<celerykeel::ServiceServer>(kPart, *reader,
                                                           options);
}
