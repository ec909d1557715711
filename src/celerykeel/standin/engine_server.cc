#include "celerykeel/standin/engine_server.h"

#include <httplib.h>  // for httplib::Server

#include <charconv>  // for std::from_chars
#include <utility>   // for std::move

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/standin/engine_state.h"  // for EngineState

namespace celerykeel {

void DelayAsAsked(EngineState& state, EngineLock& lock) {
  state.progressed.wait_for(lock, state.faults.delay,
                            [&] { return state.stopping; });
}

bool PassFence(EngineState& state,
               const httplib::Request& request,
               httplib::Response& response) {
  const std::string text = request.get_header_value("Fence");
  Fence fence = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), fence);
  if (error != std::errc()) {
    return true;
  }
  if (NoteFence(state.fences, request.get_header_value("Program"), fence) ||
      !state.options.checks_fencing) {
    return true;
  }
  ++state.counts.stale_fences;
  RefuseRequest(response, 409, "stale_fence", "the fence is an old one");
  return false;
}

void RefuseRequest(httplib::Response& response,
                   int status,
                   std::string_view type,
                   std::string_view detail) {
  response.status = status;
  const nlohmann::json body = {
      {"error", {{"type", type}, {"message", detail}}}};
  response.set_content(body.dump(), kJsonType);
}

tl::expected<std::unique_ptr<EngineServer>, ListenError> EngineServer::Create(
    const EngineServerOptions& options) {
  auto state = std::make_unique<EngineState>();
  EngineState* const running = state.get();
  running->options = options;
  running->batcher = MakeEngineBatcher(options.limits);
  running->events.lag = options.event_lag;
  running->events.loss_permille = options.event_loss_permille;
  running->events.random = options.seed;
  running->load.lag = options.load_lag;
  running->orders.checks_fencing = options.checks_fencing;
  running->orders.load_time = options.load_time;
  running->orders.served[options.model] = Duration::zero();
  auto host = HttpHost::Create({.listen = options.listen,
                                .threads = options.threads,
                                .add_routes = [running](auto& server) {
                                  AddCompletionRoutes(*running, server);
                                  AddCacheRoutes(*running, server);
                                  AddReportRoutes(*running, server);
                                  AddControlRoutes(*running, server);
                                }});
  if (!host) {
    return tl::unexpected(host.error());
  }
  running->host = std::move(*host);
  running->batching = std::thread([running] { RunBatches(*running); });
  return std::unique_ptr<EngineServer>(new EngineServer(std::move(state)));
}

EngineServer::EngineServer(std::unique_ptr<EngineState> initial)
    : state(std::move(initial)) {}

EngineServer::~EngineServer() {
  {
    const EngineLock lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->progressed.notify_all();
  this->state->work_added.notify_all();
  this->state->host.reset();
  this->state->batching.join();
}

int EngineServer::Port() const {
  return this->state->host->Port();
}

}  // namespace celerykeel
