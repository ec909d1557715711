#include "celerykeel/standin/service_server.h"

#include <httplib.h>  // for httplib::Server

#include <cstdint>  // for uint64_t
#include <mutex>    // for std::mutex
#include <utility>  // for std::move

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/standin/call_counter.h"  // for CallCounter
#include "celerykeel/standin/credentials.h"   // for HasCredential
#include "celerykeel/standin/http_host.h"     // for HttpHost

namespace celerykeel {

namespace {

std::string CallId(const httplib::Request& request) {
  for (const char* const header : {"Idempotency-Key", "Request-Id"}) {
    if (request.has_header(header)) {
      return request.get_header_value(header);
    }
  }
  return request.path;
}

}  // namespace

struct ServiceServer::State {
  std::mutex mutex;
  CallCounter counter;
  uint64_t credentials = 0;
  std::unique_ptr<HttpHost> host;

  void Run(const httplib::Request& request, httplib::Response& response) {
    const std::string id = CallId(request);
    uint64_t runs = 0;
    {
      const std::lock_guard lock(this->mutex);
      this->credentials += HasCredential(request) ? 1 : 0;
      runs = CountCall(this->counter, id);
    }
    const nlohmann::json answer = {
        {"call", id}, {"path", request.path}, {"runs", runs}};
    response.set_content(answer.dump(), "application/json");
  }

  void Witness(httplib::Response& response) {
    const std::lock_guard lock(this->mutex);
    const nlohmann::json witness = {{"calls", this->counter.calls},
                                    {"credentials", this->credentials}};
    response.set_content(witness.dump(), "application/json");
  }
};

tl::expected<std::unique_ptr<ServiceServer>, ListenError> ServiceServer::Create(
    const ServiceOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  const auto add_routes = [running](httplib::Server& server) {
    server.Get("/witness", [running](const auto&, auto& response) {
      running->Witness(response);
    });
    const auto run = [running](const auto& request, auto& response) {
      running->Run(request, response);
    };
    server.Get(".*", run);
    server.Post(".*", run);
    server.Put(".*", run);
    server.Patch(".*", run);
    server.Delete(".*", run);
  };
  auto host = HttpHost::Create({.listen = options.listen,
                                .threads = options.threads,
                                .add_routes = add_routes});
  if (!host) {
    return tl::unexpected(host.error());
  }
  running->host = std::move(*host);
  return std::unique_ptr<ServiceServer>(new ServiceServer(std::move(state)));
}

ServiceServer::ServiceServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

ServiceServer::~ServiceServer() = default;

int ServiceServer::Port() const {
  return this->state->host->Port();
}

}  // namespace celerykeel
