#include <atomic>       // for std::atomic
#include <memory>       // for std::make_shared
#include <string_view>  // for std::string_view

#include <prometheus/registry.h>  // for prometheus::Registry

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/gate/gate_metrics.h"    // for GateMetrics
#include "celerykeel/gate/gate_options.h"    // for ReadGateOptions
#include "celerykeel/gate/gate_server.h"     // for GateServer
#include "celerykeel/gate/owner_link.h"      // for OwnerLink
#include "celerykeel/gate/rate_service.h"    // for RateService
#include "celerykeel/net/feed_client.h"      // for FeedClient
#include "celerykeel/net/log.h"              // for Log
#include "celerykeel/net/operator_server.h"  // for OperatorServer
#include "celerykeel/net/stop_signal.h"      // for WaitForStopSignal

namespace celerykeel {

namespace {

constexpr Duration kStopCheck = std::chrono::milliseconds(250);
constexpr Duration kLastMessages = std::chrono::milliseconds(200);

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
  const auto view = [&feed] { return (*feed)->View(); };
  auto rates = RateService::Create({.listen = options.rate, .view = view});
  if (!rates) {
    return ReportListenError(rates.error().address);
  }
  const auto registry = std::make_shared<prometheus::Registry>();
  GateMetrics metrics(*registry);
  std::atomic<bool> draining{false};
  auto operators = OperatorServer::Create(
      {.listen = options.operator_listen,
       .registry = registry,
       .is_ready = [&] {
         const FleetView now = view();
         return !draining.load() && !now.draining && now.self != 0 &&
                Now() - now.fresh_at <= options.server.config_patience;
       }});
  if (!operators) {
    return ReportListenError(operators.error().address);
  }
  auto server = GateServer::Create(options.server, {.view = view,
                                                    .link = link->get(),
                                                    .rates = rates->get(),
                                                    .metrics = &metrics});
  if (!server) {
    return ReportListenError(server.error().address);
  }
  Log("gate", "ready", {{"listen", options.server.listen}});
  // A steward that drains takes its whole instance out of the roster.
  while (!WaitForStopSignal(kStopCheck) && !view().draining) {
    metrics.Update((*rates)->Count(), (*server)->OpenConnections(),
                   (*server)->RefusedConnections());
  }
  Log("gate", "draining");
  draining.store(true);
  (*server)->CloseConnectionsAfterAnswers();
  WaitForStopSignal(options.drain_grace);
  (*server)->Stop();
  (*rates)->Resign();
  (*feed)->ReportDrained();
  // Lets the last messages leave before their threads end.
  WaitForStopSignal(kLastMessages);
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
