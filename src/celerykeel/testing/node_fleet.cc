#include "celerykeel/testing/node_fleet.h"

#include <unistd.h>  // for getpid

#include <atomic>  // for std::atomic
#include <future>  // for std::promise

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/node/out_connection.h"  // for Exchange

namespace celerykeel::testing {

namespace {

constexpr uint16_t kCallersPort = 8101;
constexpr uint16_t kReadinessPort = 8102;
constexpr uint16_t kPeerPort = 8103;
constexpr uint16_t kStorePort = 8104;
constexpr uint16_t kEndpointPort = 8105;
constexpr size_t kStoreHost = 200;
constexpr size_t kEndpointHost = 201;
constexpr Duration kCallPatience = std::chrono::seconds(8);

constexpr char kDeployment[] = R"({"version":7,"routes":[
{"name":"kept","host":"h","path_prefix":"/stream/kept/","route_kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"service":"llm","max_attempts":2,"retained":true,"retention_s":60,"sticky":true},
{"name":"plain","host":"h","path_prefix":"/stream/plain/","route_kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"service":"llm","max_attempts":2,"sticky":true,"resumable":true},
{"name":"look","host":"h","path_prefix":"/look/","route_kind":"idempotent","timeout_ms":1000,"service":"llm","max_attempts":2},
{"name":"pay","host":"h","path_prefix":"/pay/","route_kind":"non_idempotent","timeout_ms":1000,"service":"llm","max_attempts":2}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":210,"runtime":{"slots":24,"kv_capacity":657246,"chunk_tokens":20}}],
"tenants":[{"name":"orchard","api_keys":["k1"],"rate_per_s":1000,"burst":1000},{"name":"small","api_keys":["k2"],"rate_per_s":0.001,"burst":4}]})";

std::atomic<int> next_fleet{0};

}  // namespace

NodeFleet::NodeFleet(int count)
    : subnet((getpid() * 8 + next_fleet++) % 60000) {
  this->PutDeployment();
  Spawn(this->standin_loop,
        ServeStore(this->standin_loop, this->store,
                   {asio::ip::make_address(this->Ip(kStoreHost)), kStorePort}));
  for (size_t i = 0; i < 2; ++i) {
    this->endpoints[i].id = fmt::format("e{}", i);
    Spawn(this->standin_loop,
          ServeEndpoint(this->standin_loop, this->endpoints[i],
                        {asio::ip::make_address(this->Ip(kEndpointHost + i)),
                         kEndpointPort}));
  }
  this->standin_thread = std::thread([this] { this->standin_loop.run(); });
  this->instances.resize(static_cast<size_t>(count));
  for (size_t i = 0; i < this->instances.size(); ++i) {
    this->Start(i);
  }
}

NodeFleet::~NodeFleet() {
  for (size_t i = 0; i < this->instances.size(); ++i) {
    this->Kill(i);
  }
  this->standin_loop.stop();
  this->standin_thread.join();
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
  options.peer_port = kPeerPort;
  options.store_address =
      fmt::format("{}:{}", this->Ip(kStoreHost), kStorePort);
  options.store_partitions = 4;
  options.store_retention = std::chrono::seconds(300);
  options.stop_time = std::chrono::seconds(8);
  return options;
}

void NodeFleet::PutDeployment() {
  PutKeyed(this->store, "keyed.op", "config", kDeployment);
  for (size_t i = 0; i < 2; ++i) {
    PutKeyed(this->store, "keyed.servers", fmt::format("e{}", i),
             fmt::format(R"({{"service":"llm","address":"{}:{}","zone":"z",)"
                         R"("slots":24,"state":"ready","sequence":1}})",
                         this->Ip(kEndpointHost + i), kEndpointPort));
  }
}

void NodeFleet::Start(size_t index) {
  Instance& instance = this->instances[index];
  instance.node = std::make_unique<Node>(this->OptionsOf(index));
  instance.node->log.instance = instance.node->options.instance;
  // Lines of a test would drown its verdict.
  instance.node->log.is_silent = true;
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
  // A queued record refers to its slot; a process that ends needs no care.
  for (const auto& [number, slot] : instance.node->slots.held) {
    slot->queue.clear();
    slot->uncovered.clear();
  }
  for (const CallerStreamPtr& caller : instance.node->callers) {
    caller->on_gone = nullptr;
  }
  instance.node.reset();
}

bool NodeFleet::IsServing() {
  std::set<uint32_t> held;
  for (Instance& instance : this->instances) {
    if (instance.node == nullptr) {
      continue;
    }
    std::promise<std::vector<uint32_t>> answer;
    Node* const node = instance.node.get();
    asio::post(node->io, [node, &answer] {
      std::vector<uint32_t> slots;
      for (uint32_t slot = 0; slot < node->fleet.slots.size(); ++slot) {
        const bool mine = ActiveSlot(*node, slot) != nullptr;
        const auto link =
            node->peers.links.find(node->fleet.slots[slot].instance);
        const bool other =
            link != node->peers.links.end() && link->second->socket != nullptr;
        if (IsReady(*node) && (mine || other)) {
          slots.push_back(slot);
        }
      }
      answer.set_value(slots);
    });
    if (answer.get_future().get().size() != node->fleet.slots.size()) {
      return false;
    }
  }
  return true;
}

bool NodeFleet::WaitUntilServing() {
  constexpr int kMostTries = 400;  // 20 s
  for (int i = 0; i < kMostTries; ++i) {
    if (this->IsServing()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

CallerAnswer NodeFleet::Send(size_t index,
                             const std::string& method,
                             const std::string& target,
                             const HeaderList& headers,
                             const std::string& body) {
  asio::io_context loop{1};
  OutPool pool;
  CallerAnswer answer;
  const OutRequest request{.method = method,
                           .target = target,
                           .host = "h",
                           .headers = headers,
                           .body = body};
  const auto run = [&]() -> Task<> {
    auto got = co_await Exchange(
        loop, pool, fmt::format("{}:{}", this->Ip(index + 1), kCallersPort),
        request, kCallPatience);
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
