#include "celerykeel/testing/node_fleet.h"

#include <unistd.h>  // for getpid

#include <atomic>  // for std::atomic

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/node/caller_server.h"   // for StopGracefully
#include "celerykeel/node/out_connection.h"  // for Exchange
#include "celerykeel/testing/run_on_loop.h"  // for RunOnLoop

namespace celerykeel::testing {

namespace {

constexpr uint16_t kCallersPort = 8101;
constexpr uint16_t kReadinessPort = 8102;
constexpr uint16_t kPeerPort = 8103;
constexpr uint16_t kStorePort = 8104;
constexpr uint16_t kEndpointPort = 8105;
constexpr uint16_t kMetricsPort = 8106;
constexpr size_t kStoreHost = 200;
constexpr size_t kEndpointHost = 201;
constexpr uint32_t kSlotCount = 4;
constexpr Duration kClientTimeout = std::chrono::seconds(8);

constexpr char kDeployment[] = R"({"version":7,"routes":[
{"name":"kept","host":"h","path_prefix":"/stream/kept/","route_kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"service":"llm","max_attempts":2,"retained":true,"retention_s":60,"sticky":true},
{"name":"plain","host":"h","path_prefix":"/stream/plain/","route_kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"service":"llm","max_attempts":2,"sticky":true,"resumable":true},
{"name":"look","host":"h","path_prefix":"/look/","route_kind":"idempotent","timeout_ms":1000,"service":"llm","max_attempts":2},
{"name":"pay","host":"h","path_prefix":"/pay/","route_kind":"non_idempotent","timeout_ms":1000,"service":"llm","max_attempts":2}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":210,"runtime":{"slots":24,"kv_capacity":657246,"chunk_tokens":20}}],
"tenants":[{"name":"orchard","api_keys":["k1"],"rate_per_s":1000,"burst":1000},{"name":"small","api_keys":["k2"],"rate_per_s":0.001,"burst":4},{"name":"tight","api_keys":["k3"],"rate_per_s":0.001,"burst":10}]})";

std::atomic<int> next_fleet{0};

}  // namespace

// Leaves room for eight fleets of a process before the subnets of the next
// process id.
NodeFleet::NodeFleet(int count,
                     std::array<std::string, 2> endpoint_versions,
                     std::array<std::string, 2> endpoint_zones)
    : subnet((getpid() * 8 + next_fleet++) % 60000),
      versions(std::move(endpoint_versions)),
      zones(std::move(endpoint_zones)) {
  this->PutDeployment();
  for (size_t i = 0; i < std::size(this->store_access); ++i) {
    Spawn(this->standin_loop,
          ServeStore(this->standin_loop, this->store, this->store_access[i],
                     {asio::ip::make_address(this->Ip(kStoreHost + 10 + i)),
                      kStorePort}));
  }
  for (size_t i = 0; i < 2; ++i) {
    this->endpoints[i].id = fmt::format("e{}", i);
    Spawn(this->standin_loop,
          ServeEndpoint(this->standin_loop, this->endpoints[i],
                        {asio::ip::make_address(this->Ip(kEndpointHost + i)),
                         kEndpointPort},
                        [this, i] {
                          ++this->endpoint_starts[i];
                          this->PutEndpoint(i, "ready");
                        }));
  }
  this->standin_thread = std::thread([this] { this->standin_loop.run(); });
  this->instances.resize(static_cast<size_t>(count));
  for (size_t i = 0; i < this->instances.size(); ++i) {
    this->instances[i].log = std::tmpfile();
    this->Start(i);
  }
}

NodeFleet::~NodeFleet() {
  for (size_t i = 0; i < this->instances.size(); ++i) {
    this->Kill(i);
    std::fclose(this->instances[i].log);
  }
  this->standin_loop.stop();
  this->standin_thread.join();
  // The sockets belong to the loop, which is destroyed before the endpoints.
  for (EndpointStandin& endpoint : this->endpoints) {
    endpoint.sockets = {};
  }
}

std::string NodeFleet::Ip(size_t host) const {
  return fmt::format("127.{}.{}.{}", 10 + this->subnet / 250,
                     this->subnet % 250, host);
}

NodeOptions NodeFleet::OptionsOf(size_t index) const {
  NodeOptions options;
  options.instance = fmt::format("i{}", index);
  options.zone = "z";
  options.ip = this->Ip(index + 1);
  options.callers_address = fmt::format("{}:{}", options.ip, kCallersPort);
  options.readiness_address = fmt::format("{}:{}", options.ip, kReadinessPort);
  options.metrics_address = fmt::format("{}:{}", options.ip, kMetricsPort);
  options.peer_port = kPeerPort;
  options.store_address =
      fmt::format("{}:{}", this->Ip(kStoreHost + 10 + index), kStorePort);
  options.store_partitions = kSlotCount;
  options.store_retention = std::chrono::seconds(300);
  options.stop_time = std::chrono::seconds(8);
  options.link_mbps = this->link_mbps;
  options.zone_regions = {{"z", "north"}, {"za", "north"}, {"zb", "south"}};
  return options;
}

void NodeFleet::PutDeployment() {
  PutKeyed(this->store, "keyed.op", "config", kDeployment);
  for (size_t i = 0; i < 2; ++i) {
    if (!this->versions[i].empty()) {
      this->PutEndpoint(i, "ready");
    }
  }
}

void NodeFleet::RunOnStandinLoop(const std::function<void()>& task) {
  RunOnLoop(this->standin_loop, task);
}

void NodeFleet::SetEndpointSlots(uint32_t slots) {
  this->RunOnStandinLoop([&] {
    this->endpoint_slots = slots;
    this->PutEndpoint(0, "ready");
    this->PutEndpoint(1, "ready");
  });
}

void NodeFleet::RevokeKey() {
  std::string changed = kDeployment;
  changed.replace(changed.find(R"("version":7)"), 11, R"("version":9)");
  changed.replace(changed.find(R"("k1")"), 4, R"("kx")");
  this->RunOnStandinLoop(
      [&] { PutKeyed(this->store, "keyed.op", "config", changed); });
}

void NodeFleet::PublishWith(uint64_t version,
                            const std::string& mark,
                            const std::string& text) {
  std::string changed = kDeployment;
  changed.replace(changed.find(R"("version":7)"), 11,
                  fmt::format(R"("version":{})", version));
  changed.insert(changed.find(mark), text);
  this->RunOnStandinLoop(
      [&] { PutKeyed(this->store, "keyed.op", "config", changed); });
}

void NodeFleet::AddRoutes(int version) {
  constexpr int kAdded = 2000;
  std::string changed = kDeployment;
  changed.replace(changed.find(R"("version":7)"), 11,
                  fmt::format(R"("version":{})", version));
  std::string routes;
  for (int i = 0; i < kAdded; ++i) {
    routes += fmt::format(
        R"({{"name":"added-{}","host":"h","path_prefix":"/added/{}/",)"
        R"("route_kind":"idempotent","timeout_ms":1000,"service":"llm",)"
        R"("max_attempts":2}},)",
        i, i);
  }
  changed.insert(changed.find(R"({"name":"kept")"), routes);
  this->RunOnStandinLoop(
      [&] { PutKeyed(this->store, "keyed.op", "config", changed); });
}

uint32_t NodeFleet::SlotOf(const std::string& program) {
  return SlotOfSubject("orchard", program, kSlotCount);
}

void NodeFleet::PutEndpoint(size_t index, const std::string& state) {
  PutKeyed(this->store, "keyed.servers", fmt::format("e{}", index),
           fmt::format(R"({{"service":"llm","address":"{}:{}","zone":"{}",)"
                       R"("version":"{}","cold_left_ms":{},)"
                       R"("slots":{},"state":"{}","sequence":{},"born":{}}})",
                       this->Ip(kEndpointHost + index), kEndpointPort,
                       this->zones[index], this->versions[index],
                       this->cold_left[index].count(), this->endpoint_slots,
                       state, ++this->entries_written[index],
                       this->endpoint_starts[index]));
}

void NodeFleet::RemoveEntry(size_t endpoint) {
  this->RunOnStandinLoop([&] {
    PutKeyed(this->store, "keyed.servers", fmt::format("e{}", endpoint), "");
  });
}

void NodeFleet::Start(size_t index) {
  Instance& instance = this->instances[index];
  instance.node = std::make_unique<Node>(this->OptionsOf(index));
  instance.node->log.instance = instance.node->options.instance;
  instance.node->log.descriptor = fileno(instance.log);
  StartNode(*instance.node);
  instance.thread =
      std::thread([node = instance.node.get()] { node->io.run(); });
}

void NodeFleet::Kill(size_t index) {
  Instance& instance = this->instances[index];
  if (instance.node == nullptr) {
    return;
  }
  instance.node->io.stop();
  instance.thread.join();
  // Queued records refer to the slot that owns them, which keeps the slots
  // alive until the queues are cleared. A process that exits does not need
  // this.
  for (const auto& [number, slot] : instance.node->slots.held) {
    slot->queue.clear();
    slot->uncovered.clear();
  }
  for (const CallerStreamPtr& caller : instance.node->callers) {
    caller->on_caller_disconnect = nullptr;
  }
  instance.node.reset();
}

void NodeFleet::Stop(size_t index) {
  Node& node = *this->instances[index].node;
  asio::post(node.io, [&node] { Spawn(node.io, StopGracefully(node)); });
}

void NodeFleet::StopAccepting(size_t index) {
  Node& node = *this->instances[index].node;
  RunOnLoop(node.io, [&] {
    ErrorCode ignored;  // the socket is open
    node.callers_acceptor->close(ignored);
  });
}

void NodeFleet::Freeze(size_t index, std::chrono::milliseconds time) {
  asio::post(this->instances[index].node->io,
             [time] { std::this_thread::sleep_for(time); });
}

void NodeFleet::CutOff(size_t index, ConnectFault fault) {
  Node& node = *this->instances[index].node;
  RunOnLoop(node.io, [&] {
    node.endpoint_pool.fault = fault;
    node.endpoint_pool.idle.clear();
  });
}

Tcp::endpoint NodeFleet::CallersAddress(size_t index) const {
  return {asio::ip::make_address(this->Ip(index + 1)), kCallersPort};
}

Tcp::endpoint NodeFleet::PeerAddress(size_t index) const {
  return {asio::ip::make_address(this->Ip(index + 1)), kPeerPort};
}

void NodeFleet::OnEach(const std::function<void(Node&)>& task) {
  for (Instance& instance : this->instances) {
    if (instance.node == nullptr) {
      continue;
    }
    RunOnLoop(instance.node->io, [&] { task(*instance.node); });
  }
}

std::string NodeFleet::Logs() {
  this->OnEach([](Node& node) { FlushLog(node.log); });
  std::string text;
  for (const Instance& instance : this->instances) {
    std::rewind(instance.log);
    char bytes[4096];
    while (const size_t count =
               std::fread(bytes, 1, sizeof(bytes), instance.log)) {
      text.append(bytes, count);
    }
  }
  return text;
}

CallerAnswer NodeFleet::Send(size_t index,
                             const std::string& method,
                             const std::string& target,
                             const HeaderList& headers,
                             const std::string& body) {
  return this->SendTo(fmt::format("{}:{}", this->Ip(index + 1), kCallersPort),
                      {.method = method,
                       .target = target,
                       .host = "h",
                       .headers = headers,
                       .body = body});
}

std::string NodeFleet::MetricsOf(size_t index) {
  return this
      ->SendTo(fmt::format("{}:{}", this->Ip(index + 1), kMetricsPort),
               {.method = "GET",
                .target = "/metrics",
                .host = "h",
                .headers = {},
                .body = {}})
      .body;
}

CallerAnswer NodeFleet::SendTo(const std::string& address,
                               const OutRequest& request) {
  asio::io_context loop{1};
  OutPool pool;
  CallerAnswer answer;
  const auto run = [&]() -> Task<> {
    auto got = co_await Exchange(loop, pool, address, request, kClientTimeout,
                                 kClientTimeout);
    if (got) {
      answer.status = got->head.status;
      answer.body = got->body;
      for (const auto& [name, value] : got->head.headers) {
        if (name == "Retry-After") {
          answer.retry_after = value;
        }
      }
    }
    loop.stop();
  };
  Spawn(loop, run());
  loop.run();
  return answer;
}

}  // namespace celerykeel::testing
