#include "celerykeel/standin/platform_server.h"

#include <httplib.h>  // for httplib::Server

#include <algorithm>           // for std::min
#include <chrono>              // for std::chrono::milliseconds
#include <condition_variable>  // for std::condition_variable
#include <mutex>               // for std::mutex
#include <utility>             // for std::move
#include <vector>              // for std::vector

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/base/clock.h"               // for Now, WallNow
#include "celerykeel/platform.pb.h"              // for pb::LogAppendRequest
#include "celerykeel/standin/http_host.h"        // for HttpHost
#include "celerykeel/standin/instance_list.h"    // for InstanceList
#include "celerykeel/standin/lagged.h"           // for Lagged
#include "celerykeel/standin/log_store.h"        // for LogStore
#include "celerykeel/standin/platform_faults.h"  // for PlatformFaults
#include "celerykeel/standin/rate_meter.h"       // for RateMeter

namespace celerykeel {

namespace {

using httplib::Request;
using httplib::Response;
using Lock = std::unique_lock<std::mutex>;

constexpr uint64_t kDefaultPageRecords = 1000;
constexpr uint64_t kLongestWaitMillis = 60'000;
constexpr uint64_t kWeightsChunkBytes = 65'536;
constexpr uint64_t kDefaultWeightsBytes = 1'048'576;
constexpr char kProtobuf[] = "application/x-protobuf";
constexpr char kJson[] = "application/json";

pb::LogReadReply ToReply(const LogPage& page) {
  pb::LogReadReply reply;
  reply.set_earliest_offset(page.earliest_offset);
  reply.set_next_offset(page.next_offset);
  for (const StoredRecord& stored : page.records) {
    pb::LogRecord& record = *reply.add_records();
    record.set_offset(stored.offset);
    record.set_time_ms(stored.time_ms);
    record.set_payload(stored.payload);
  }
  return reply;
}

struct PlatformCounts {
  uint64_t appends = 0;
  uint64_t records = 0;
  uint64_t reads = 0;
  uint64_t refused_by_rate = 0;
  uint64_t lost_answers = 0;
  uint64_t held = 0;  // requests that a fault holds now
};

}  // namespace

struct PlatformServer::State {
  PlatformOptions options;
  std::mutex mutex;
  std::condition_variable changed;  // the log, a fault, or `stopping`
  bool stopping = false;
  LogStore log;
  PlatformFaults faults;
  PlatformCounts counts;
  Lagged<InstanceList> instances;
  RateMeter appends;
  RateMeter weights;
  std::unique_ptr<HttpHost> host;

  void Delay(Lock& lock);
  bool PassFaults(const Request& request, Response& response, Lock& lock);
  void Append(const Request& request, Response& response);
  void Read(const Request& request, Response& response);
  void ListInstances(const Request& request, Response& response);
  void ReadWeights(const Request& request, Response& response);
  bool WriteWeights(uint64_t left, httplib::DataSink& sink);
  void Witness(Response& response);
  void Control(const Request& request, Response& response);
  bool ApplyControl(const Request& request, std::string_view action);
  bool SetFault(const Request& request, std::string_view action);
  void AddRoutes(httplib::Server& server);
};

void PlatformServer::State::Delay(Lock& lock) {
  this->changed.wait_for(lock, this->faults.delay,
                         [this] { return this->stopping; });
}

// While a fault is on, refuses, closes or holds the request. Returns whether
// it is to be served.
bool PlatformServer::State::PassFaults(const Request& request,
                                       Response& response,
                                       Lock& lock) {
  const std::string client = request.get_header_value("Client");
  const auto fault = FindFault(this->faults, client);
  if (!fault) {
    return true;
  }
  if (*fault == FaultMode::kRefuse) {
    response.status = 503;
    return false;
  }
  if (*fault != FaultMode::kClose) {
    ++this->counts.held;
    this->changed.wait(lock, [&] {
      return this->stopping || !FindFault(this->faults, client);
    });
    --this->counts.held;
  }
  if (*fault == FaultMode::kLate && !this->stopping) {
    return true;
  }
  CloseConnection(request);
  return false;
}

void PlatformServer::State::Append(const Request& request, Response& response) {
  pb::LogAppendRequest append;
  if (!append.ParseFromString(request.body)) {
    response.status = 400;
    return;
  }
  Lock lock(this->mutex);
  this->Delay(lock);
  if (!this->PassFaults(request, response, lock)) {
    return;
  }
  if (TakeUnits(this->appends, 1, Now()) > Duration::zero()) {
    ++this->counts.refused_by_rate;
    response.status = 429;
    response.set_header("Retry-After", "1");
    return;
  }
  const std::vector<std::string> payloads(append.payloads().begin(),
                                          append.payloads().end());
  pb::LogAppendReply reply;
  reply.set_first_offset(
      AppendRecords(this->log, request.matches[1].str(), payloads, WallNow()));
  ++this->counts.appends;
  this->counts.records += payloads.size();
  this->changed.notify_all();
  if (TakeLostAnswer(this->faults, request.get_header_value("Client"))) {
    ++this->counts.lost_answers;
    CloseConnection(request);
    return;
  }
  response.set_content(reply.SerializeAsString(), kProtobuf);
}

void PlatformServer::State::Read(const Request& request, Response& response) {
  const std::string client = request.get_header_value("Client");
  const std::string stream = request.matches[1].str();
  const Offset from = QueryNumber(request, "from", 1);
  const uint64_t max = QueryNumber(request, "max", kDefaultPageRecords);
  const auto wait = std::chrono::milliseconds(
      std::min(QueryNumber(request, "wait_ms", 0), kLongestWaitMillis));
  Lock lock(this->mutex);
  this->Delay(lock);
  if (!this->PassFaults(request, response, lock)) {
    return;
  }
  ++this->counts.reads;
  LogPage page;
  this->changed.wait_for(lock, wait, [&] {
    ExpireByAge(this->log, this->options.retention_ms, WallNow());
    page = ReadRecords(this->log, stream, from, max);
    return this->stopping || !page.records.empty() ||
           FindFault(this->faults, client);
  });
  // A fault that began meanwhile meets a waiting reader too.
  if (!this->PassFaults(request, response, lock)) {
    return;
  }
  response.set_content(ToReply(page).SerializeAsString(), kProtobuf);
}

void PlatformServer::State::ListInstances(const Request& request,
                                          Response& response) {
  Lock lock(this->mutex);
  this->Delay(lock);
  if (this->PassFaults(request, response, lock)) {
    response.set_content(RenderInstanceList(ReadLagged(this->instances, Now())),
                         kJson);
  }
}

bool PlatformServer::State::WriteWeights(uint64_t left,
                                         httplib::DataSink& sink) {
  const std::string chunk(std::min(left, kWeightsChunkBytes), '\0');
  Lock lock(this->mutex);
  const auto size = static_cast<double>(chunk.size());
  for (Duration wait = TakeUnits(this->weights, size, Now());
       wait > Duration::zero() && !this->stopping;
       wait = TakeUnits(this->weights, size, Now())) {
    this->changed.wait_for(lock, wait);
  }
  if (this->stopping) {
    return false;
  }
  lock.unlock();
  return sink.write(chunk.data(), chunk.size());
}

void PlatformServer::State::ReadWeights(const Request& request,
                                        Response& response) {
  Lock lock(this->mutex);
  this->Delay(lock);
  if (!this->PassFaults(request, response, lock)) {
    return;
  }
  response.set_content_provider(
      QueryNumber(request, "bytes", kDefaultWeightsBytes),
      "application/octet-stream",
      [this](size_t, size_t left, httplib::DataSink& sink) {
        return this->WriteWeights(left, sink);
      });
}

void PlatformServer::State::Witness(Response& response) {
  const Lock lock(this->mutex);
  const nlohmann::json witness = {
      {"appends", this->counts.appends},
      {"records", this->counts.records},
      {"reads", this->counts.reads},
      {"refused_by_rate", this->counts.refused_by_rate},
      {"lost_answers", this->counts.lost_answers},
      {"held", this->counts.held}};
  response.set_content(witness.dump(), kJson);
}

bool PlatformServer::State::SetFault(const Request& request,
                                     std::string_view action) {
  const std::string client = QueryText(request, "client");
  const std::string mode_text = QueryText(request, "mode");
  const bool is_on = QueryNumber(request, "on", 1) != 0;
  if (action == "outage") {
    const auto mode = ParseFaultMode(mode_text.empty() ? "refuse" : mode_text);
    this->faults.outage = is_on ? mode : std::nullopt;
    return mode.has_value();
  }
  const auto mode = ParseFaultMode(mode_text.empty() ? "close" : mode_text);
  if (!mode || client.empty()) {
    return false;
  }
  if (is_on) {
    this->faults.cuts[client] = *mode;
  } else {
    this->faults.cuts.erase(client);
  }
  return true;
}

bool PlatformServer::State::ApplyControl(const Request& request,
                                         std::string_view action) {
  if (action == "outage" || action == "cut") {
    return this->SetFault(request, action);
  }
  if (action == "lose-answers") {
    this->faults.lost[QueryText(request, "client")] =
        QueryNumber(request, "count", 1);
    return true;
  }
  if (action == "slow") {
    this->faults.delay =
        std::chrono::milliseconds(QueryNumber(request, "ms", 0));
    return true;
  }
  if (action == "expire") {
    ExpireBefore(this->log, QueryText(request, "stream"),
                 QueryNumber(request, "before", 0));
    return true;
  }
  if (action == "instance") {
    const auto state = ParseInstanceState(QueryText(request, "state"));
    if (!state) {
      return false;
    }
    InstanceList list = NewestOf(this->instances);
    list[QueryText(request, "name")] = *state;
    SetLagged(this->instances, std::move(list), Now());
    return true;
  }
  return false;
}

void PlatformServer::State::Control(const Request& request,
                                    Response& response) {
  const Lock lock(this->mutex);
  response.status =
      this->ApplyControl(request, request.matches[1].str()) ? 200 : 400;
  this->changed.notify_all();
}

void PlatformServer::State::AddRoutes(httplib::Server& server) {
  constexpr char kRecords[] = R"(/streams/([^/]+)/records)";
  server.Post(kRecords, [this](const Request& request, Response& response) {
    this->Append(request, response);
  });
  server.Get(kRecords, [this](const Request& request, Response& response) {
    this->Read(request, response);
  });
  server.Get("/instances", [this](const Request& request, Response& response) {
    this->ListInstances(request, response);
  });
  server.Get(R"(/weights/([^/]+))",
             [this](const Request& request, Response& response) {
               this->ReadWeights(request, response);
             });
  server.Get("/witness", [this](const Request&, Response& response) {
    this->Witness(response);
  });
  server.Post(R"(/control/([a-z-]+))",
              [this](const Request& request, Response& response) {
                this->Control(request, response);
              });
}

tl::expected<std::unique_ptr<PlatformServer>, ListenError>
PlatformServer::Create(const PlatformOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  running->options = options;
  running->instances.lag = options.list_lag;
  const auto append_rate = static_cast<double>(options.append_rate);
  running->appends = MakeRateMeter(append_rate, append_rate, Now());
  const auto weights_rate = static_cast<double>(options.weights_rate);
  running->weights = MakeRateMeter(
      weights_rate, std::max<double>(weights_rate, kWeightsChunkBytes), Now());
  auto host = HttpHost::Create(
      {.listen = options.listen,
       .threads = options.threads,
       .add_routes = [running](auto& server) { running->AddRoutes(server); }});
  if (!host) {
    return tl::unexpected(host.error());
  }
  running->host = std::move(*host);
  return std::unique_ptr<PlatformServer>(new PlatformServer(std::move(state)));
}

PlatformServer::PlatformServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

PlatformServer::~PlatformServer() {
  {
    const Lock lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->changed.notify_all();
  this->state->host.reset();
}

int PlatformServer::Port() const {
  return this->state->host->Port();
}

}  // namespace celerykeel
