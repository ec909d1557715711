#include "celerykeel/standin/platform_server.h"

#include <httplib.h>  // for httplib::Server

#include <algorithm>           // for std::min
#include <chrono>              // for std::chrono::milliseconds
#include <condition_variable>  // for std::condition_variable
#include <mutex>               // for std::mutex
#include <utility>             // for std::move
#include <vector>              // for std::vector

#include "celerykeel/net/clock.h"          // for WallNow
#include "celerykeel/platform.pb.h"        // for pb::LogAppendRequest
#include "celerykeel/standin/http_host.h"  // for HttpHost
#include "celerykeel/standin/log_store.h"  // for LogStore

namespace celerykeel {

namespace {

constexpr uint64_t kDefaultPageRecords = 1000;
constexpr uint64_t kLongestWaitMillis = 60'000;
constexpr char kProtobuf[] = "application/x-protobuf";

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

}  // namespace

struct PlatformServer::State {
  PlatformOptions options;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  LogStore log;
  std::unique_ptr<HttpHost> host;

  void Append(const httplib::Request& request, httplib::Response& response) {
    pb::LogAppendRequest append;
    if (!append.ParseFromString(request.body)) {
      response.status = 400;
      return;
    }
    const std::vector<std::string> payloads(append.payloads().begin(),
                                            append.payloads().end());
    pb::LogAppendReply reply;
    {
      const std::lock_guard lock(this->mutex);
      reply.set_first_offset(AppendRecords(this->log, request.matches[1].str(),
                                           payloads, WallNow()));
    }
    this->changed.notify_all();
    response.set_content(reply.SerializeAsString(), kProtobuf);
  }

  void Read(const httplib::Request& request, httplib::Response& response) {
    const std::string stream = request.matches[1].str();
    const Offset from = QueryNumber(request, "from", 1);
    const uint64_t max = QueryNumber(request, "max", kDefaultPageRecords);
    const auto wait = std::chrono::milliseconds(
        std::min(QueryNumber(request, "wait_ms", 0), kLongestWaitMillis));
    LogPage page;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait_for(lock, wait, [&] {
        page = ReadRecords(this->log, stream, from, max);
        return this->stopping || !page.records.empty();
      });
    }
    response.set_content(ToReply(page).SerializeAsString(), kProtobuf);
  }
};

tl::expected<std::unique_ptr<PlatformServer>, ListenError>
PlatformServer::Create(const PlatformOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  running->options = options;
  const auto add_routes = [running](httplib::Server& server) {
    server.Post(R"(/streams/([^/]+)/records)",
                [running](const auto& request, auto& response) {
                  running->Append(request, response);
                });
    server.Get(R"(/streams/([^/]+)/records)",
               [running](const auto& request, auto& response) {
                 running->Read(request, response);
               });
  };
  auto host = HttpHost::Create({.listen = options.listen,
                                .threads = options.threads,
                                .add_routes = add_routes});
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
    const std::lock_guard lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->changed.notify_all();
  this->state->host.reset();
}

int PlatformServer::Port() const {
  return this->state->host->Port();
}

}  // namespace celerykeel
