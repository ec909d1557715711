#include "celerykeel/standin/service_server.h"

#include <httplib.h>  // for httplib::Server

#include <charconv>            // for std::from_chars
#include <chrono>              // for std::chrono::milliseconds
#include <condition_variable>  // for std::condition_variable
#include <cstdint>             // for uint64_t
#include <mutex>               // for std::mutex, std::unique_lock
#include <utility>             // for std::move

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/standin/call_counter.h"    // for CallCounter
#include "celerykeel/standin/credentials.h"     // for HasCredential
#include "celerykeel/standin/fault_count.h"     // for TakeOne
#include "celerykeel/standin/fence_table.h"     // for FenceTable
#include "celerykeel/standin/http_host.h"       // for HttpHost
#include "celerykeel/standin/service_faults.h"  // for ServiceFaults

namespace celerykeel {

namespace {

using httplib::Request;
using httplib::Response;
using Lock = std::unique_lock<std::mutex>;

constexpr char kJson[] = "application/json";

// A call goes by what its caller named it; one without a name by its path.
std::string CallId(const Request& request) {
  for (const char* const header : {"Idempotency-Key", "Request-Id"}) {
    if (request.has_header(header)) {
      return request.get_header_value(header);
    }
  }
  return request.path;
}

}  // namespace

struct ServiceServer::State {
  ServiceOptions options;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  ServiceFaults faults;
  CallCounter counter;
  CallCounter requests;  // by Request-Id, where there is one
  CallCounter paths;
  FenceTable fences;
  uint64_t credentials = 0;
  uint64_t stale_fences = 0;  // refused
  std::unique_ptr<HttpHost> host;

  void Wait(Lock& lock, Duration delay);
  bool PassFence(const Request& request);
  bool MayRun(const Request& request, Response& response);
  void Run(const Request& request, Response& response);
  void Witness(Response& response);
  bool SetFault(const Request& request, std::string_view action);
  void Control(const Request& request, Response& response);
  void AddRoutes(httplib::Server& server);
};

void ServiceServer::State::Wait(Lock& lock, Duration delay) {
  this->changed.wait_for(lock, delay, [this] { return this->stopping; });
}

bool ServiceServer::State::PassFence(const Request& request) {
  if (!request.has_header("Fence")) {
    return true;
  }
  const std::string text = request.get_header_value("Fence");
  Fence fence = 0;
  std::from_chars(text.data(), text.data() + text.size(), fence);
  return NoteFence(this->fences, request.get_header_value("Program"), fence) ||
         !this->options.checks_fencing;
}

// Whether the call runs, or ends before that by a fault or its fence.
bool ServiceServer::State::MayRun(const Request& request, Response& response) {
  if (TakeOne(this->faults.die_before)) {
    CloseConnection(request);
    return false;
  }
  if (TakeOne(this->faults.failures)) {
    response.status = 500;
    return false;
  }
  if (!this->PassFence(request)) {
    ++this->stale_fences;
    response.status = 409;
    return false;
  }
  return true;
}

void ServiceServer::State::Run(const Request& request, Response& response) {
  const std::string id = CallId(request);
  Lock lock(this->mutex);
  this->credentials += HasCredential(request) ? 1 : 0;
  this->Wait(lock, this->faults.delay_before);
  if (!this->MayRun(request, response)) {
    return;
  }
  const uint64_t runs = CountCall(this->counter, id);
  CountCall(this->paths, request.path);
  if (request.has_header("Request-Id")) {
    CountCall(this->requests, request.get_header_value("Request-Id"));
  }
  const bool dies = TakeOne(this->faults.die_after);
  this->Wait(lock, this->faults.delay_after);
  if (dies) {
    return CloseConnection(request);
  }
  const nlohmann::json answer = {
      {"call", id}, {"path", request.path}, {"runs", runs}};
  response.set_content(answer.dump(), kJson);
}

void ServiceServer::State::Witness(Response& response) {
  const Lock lock(this->mutex);
  const nlohmann::json witness = {
      {"calls", this->counter.calls}, {"requests", this->requests.calls},
      {"paths", this->paths.calls},   {"credentials", this->credentials},
      {"fences", this->fences},       {"stale_fences", this->stale_fences}};
  response.set_content(witness.dump(), kJson);
}

bool ServiceServer::State::SetFault(const Request& request,
                                    std::string_view action) {
  const uint64_t count = QueryNumber(request, "count", 1);
  const auto delay = std::chrono::milliseconds(QueryNumber(request, "ms", 0));
  if (action == "slow") {
    const bool is_after = QueryText(request, "when") == "after";
    (is_after ? this->faults.delay_after : this->faults.delay_before) = delay;
  } else if (action == "fail") {
    this->faults.failures = count;
  } else if (action == "die-before") {
    this->faults.die_before = count;
  } else if (action == "die-after") {
    this->faults.die_after = count;
  } else {
    return false;
  }
  return true;
}

void ServiceServer::State::Control(const Request& request, Response& response) {
  const Lock lock(this->mutex);
  response.status =
      this->SetFault(request, request.matches[1].str()) ? 200 : 400;
}

void ServiceServer::State::AddRoutes(httplib::Server& server) {
  server.Get("/witness", [this](const Request&, Response& response) {
    this->Witness(response);
  });
  server.Post(R"(/control/([a-z-]+))",
              [this](const Request& request, Response& response) {
                this->Control(request, response);
              });
  const auto run = [this](const Request& request, Response& response) {
    this->Run(request, response);
  };
  server.Get(".*", run);
  server.Post(".*", run);
  server.Put(".*", run);
  server.Patch(".*", run);
  server.Delete(".*", run);
}

tl::expected<std::unique_ptr<ServiceServer>, ListenError> ServiceServer::Create(
    const ServiceOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  running->options = options;
  auto host = HttpHost::Create(
      {.listen = options.listen,
       .threads = options.threads,
       .add_routes = [running](auto& server) { running->AddRoutes(server); }});
  if (!host) {
    return tl::unexpected(host.error());
  }
  running->host = std::move(*host);
  return std::unique_ptr<ServiceServer>(new ServiceServer(std::move(state)));
}

ServiceServer::ServiceServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

ServiceServer::~ServiceServer() {
  {
    const Lock lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->changed.notify_all();
  this->state->host.reset();
}

int ServiceServer::Port() const {
  return this->state->host->Port();
}

}  // namespace celerykeel
