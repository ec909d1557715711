#include "celerykeel/net/operator_server.h"

#include <httplib.h>                     // for httplib::Server
#include <prometheus/text_serializer.h>  // for prometheus::TextSerializer

#include <thread>   // for std::thread
#include <utility>  // for std::move

#include "celerykeel/net/http_guard.h"  // for ConfigureServer, SplitAddress

namespace celerykeel {

struct OperatorServer::State {
  OperatorServerOptions options;
  httplib::Server server;
  std::thread thread;
};

tl::expected<std::unique_ptr<OperatorServer>, ListenError>
OperatorServer::Create(OperatorServerOptions options) {
  auto state = std::make_unique<State>();
  state->options = std::move(options);
  ConfigureServer(state->server, {.threads = 4});
  State* const running = state.get();
  running->server.Get("/healthz",
                      [](const httplib::Request&, httplib::Response& response) {
                        response.set_content("ok\n", "text/plain");
                      });
  running->server.Get("/readyz", [running](const httplib::Request&,
                                           httplib::Response& response) {
    const bool ready = running->options.is_ready();
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  running->server.Get("/metrics", [running](const httplib::Request&,
                                            httplib::Response& response) {
    response.set_content(prometheus::TextSerializer().Serialize(
                             running->options.registry->Collect()),
                         "text/plain; version=0.0.4");
  });
  const auto [host, port] = SplitAddress(running->options.listen);
  if (!running->server.bind_to_port(host, port)) {
    return tl::unexpected(ListenError{running->options.listen});
  }
  running->thread =
      std::thread([running] { running->server.listen_after_bind(); });
  // A stop before the server runs would be lost.
  while (!running->server.is_running()) {
    std::this_thread::yield();
  }
  return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(state)));
}

OperatorServer::OperatorServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

OperatorServer::~OperatorServer() {
  this->state->server.stop();
  this->state->thread.join();
}

}  // namespace celerykeel
