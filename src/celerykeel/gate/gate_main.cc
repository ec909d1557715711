#include <atomic>       // for std::atomic
#include <memory>       // for std::make_shared
#include <string_view>  // for std::string_view

#include <prometheus/registry.h>  // for prometheus::Registry

#include "celerykeel/gate/gate_options.h"    // for ReadGateOptions
#include "celerykeel/gate/gate_server.h"     // for GateServer
#include "celerykeel/gate/owner_link.h"      // for OwnerLink
#include "celerykeel/net/clock.h"            // for Now
#include "celerykeel/net/feed_client.h"      // for FeedClient
#include "celerykeel/net/log.h"              // for Log
#include "celerykeel/net/operator_server.h"  // for OperatorServer
#include "celerykeel/net/stop_signal.h"      // for WaitForStopSignal

namespace celerykeel {

namespace {

constexpr Duration kStopCheck = std::chrono::seconds(1);

int ReportListenError(std::string_view address) {
  Log("gate", "cannot listen", {{"address", address}});
  return kExitFailed;
}

int Serve(const GateOptions& options) {
  auto link = OwnerLink::Create();
  if (!link) {
    return ReportListenError(link.error().address);
  }
  auto feed =
      FeedClient::Create({.process = "gate", .steward_address = options.feed},
                         [&link](const FleetView&) { (*link)->WakeAll(); });
  if (!feed) {
    return ReportListenError(feed.error().address);
  }
  std::atomic<bool> draining{false};
  auto operators = OperatorServer::Create(
      {.listen = options.operator_listen,
       .registry = std::make_shared<prometheus::Registry>(),
       .is_ready = [&] {
         const FleetView view = (*feed)->View();
         return !draining.load() && !view.draining && view.self != 0;
       }});
  if (!operators) {
    return ReportListenError(operators.error().address);
  }
  auto server = GateServer::Create(
      options.server,
      {.view = [&feed] { return (*feed)->View(); }, .link = link->get()});
  if (!server) {
    return ReportListenError(server.error().address);
  }
  Log("gate", "ready", {{"listen", options.server.listen}});
  while (!WaitForStopSignal(kStopCheck)) {
  }
  Log("gate", "draining");
  draining.store(true);
  (*server)->CloseConnectionsAfterAnswers();
  WaitForStopSignal(options.drain_grace);
  (*server)->Stop();
  (*feed)->ReportDrained();
  Log("gate", "stopped");
  return kExitDone;
}

}  // namespace

}  // namespace celerykeel

int main(int argc, char** argv) {
  using namespace celerykeel;
  BlockStopSignals();
  auto reader = SettingsReader::Parse(GateUsage(), argc, argv);
  if (!reader) {
    return ReportExit(reader.error());
  }
  const GateOptions options = ReadGateOptions(*reader);
  if (!reader->Mistakes().empty()) {
    return ReportMistakes("gate", *reader);
  }
  return Serve(options);
}
