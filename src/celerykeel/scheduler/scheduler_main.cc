#include <chrono>   // for std::chrono::milliseconds
#include <utility>  // for std::move

#include "celerykeel/net/log.h"              // for Log
#include "celerykeel/net/operator_server.h"  // for OperatorServer
#include "celerykeel/net/settings.h"         // for SettingsReader
#include "celerykeel/net/stop_signal.h"      // for WaitForStopSignal
#include "celerykeel/scheduler/owner.h"      // for Owner

namespace celerykeel {
namespace {

constexpr char kPart[] = "scheduler";
constexpr Duration kPoll = std::chrono::milliseconds(100);

int Main(int argc, char** argv) {
  BlockStopSignals();
  auto reader = SettingsReader::Parse(kSchedulerUsage, argc, argv);
  if (!reader) {
    return ReportExit(reader.error());
  }
  const SchedulerOptions options = ReadSchedulerOptions(*reader);
  if (!reader->Mistakes().empty()) {
    return ReportMistakes(kPart, *reader);
  }
  auto registry = std::make_shared<prometheus::Registry>();
  auto owner = Owner::Create(options, registry);
  if (!owner) {
    Log(kPart, "address cannot be used",
        {{"address", owner.error().address}, {"errno", owner.error().code}});
    return kExitFailed;
  }
  auto server = OperatorServer::Create(
      {.listen = options.operator_address,
       .registry = registry,
       .is_ready = [&owner] { return (*owner)->IsReady(); }});
  if (!server) {
    Log(kPart, "address cannot be used", {{"address", server.error().address}});
    return kExitFailed;
  }
  Log(kPart, "started", {{"listen", options.listen}});
  // The steward may drain the instance without a signal to this process.
  while (!(*owner)->IsDrained()) {
    if (WaitForStopSignal(kPoll)) {
      (*owner)->Drain();
    }
  }
  Log(kPart, "stopped");
  return kExitDone;
}

}  // namespace
}  // namespace celerykeel

int main(int argc, char** argv) {
  return celerykeel::Main(argc, argv);
}
