#pragma once

#include <httplib.h>  // for httplib::Server

#include <atomic>              // for std::atomic
#include <chrono>              // for std::chrono::milliseconds
#include <condition_variable>  // for std::condition_variable
#include <cstdint>             // for uint64_t
#include <map>                 // for std::map
#include <mutex>               // for std::mutex
#include <string>              // for std::string
#include <thread>              // for std::thread
#include <vector>              // for std::vector

#include "celerykeel/platform.pb.h"  // for pb::LogAppendRequest

namespace celerykeel {

/// @brief In-process fake of the platform's log, with fault injection.
class FakeLog {
 public:
  FakeLog() {
    this->server.Post(R"(/streams/([^/]+)/records)",
                      [this](const auto& request, auto& response) {
                        this->Append(request, response);
                      });
    this->server.Get(R"(/streams/([^/]+)/records)",
                     [this](const auto& request, auto& response) {
                       this->Read(request, response);
                     });
    this->server.set_keep_alive_timeout(1);
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }

  ~FakeLog() {
    this->stopping = true;
    this->grown.notify_all();
    this->server.stop();
    this->thread.join();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  /// @brief Returns the records of a stream, in order.
  std::vector<std::string> Records(const std::string& stream) {
    const std::lock_guard lock(this->mutex);
    return this->streams[stream];
  }

  /// @brief Drops the oldest records up to `offset`.
  void Expire(const std::string& stream, uint64_t offset) {
    const std::lock_guard lock(this->mutex);
    this->expired[stream] = offset;
  }

  /// @brief Appends a record, as another writer would.
  void Put(const std::string& stream, std::string payload) {
    {
      const std::lock_guard lock(this->mutex);
      this->streams[stream].push_back(std::move(payload));
    }
    this->grown.notify_all();
  }

  /// @brief Refuses all requests whose `Client` header is `client`. An empty
  /// name ends the refusals.
  void Cut(const std::string& client) {
    const std::lock_guard lock(this->mutex);
    this->cut = client;
    this->grown.notify_all();
  }

  std::atomic<bool> down{false};     // answers 503
  std::atomic<int> lose_answers{0};  // next appends take effect but get 500
  std::atomic<int> drop_appends{0};  // next appends have no effect and get 500
  std::atomic<int> append_requests{0};
  std::atomic<int> append_delay_ms{0};

 private:
  // Uses up one of the faults to inject; false if none is left.
  static bool Takes(std::atomic<int>& count) {
    return count.load() > 0 && count.fetch_sub(1) > 0;
  }

  bool Refuses(const httplib::Request& request) {
    const std::lock_guard lock(this->mutex);
    return this->down || (!this->cut.empty() &&
                          request.get_header_value("Client") == this->cut);
  }

  void Append(const httplib::Request& request, httplib::Response& response) {
    ++this->append_requests;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(this->append_delay_ms.load()));
    if (this->Refuses(request)) {
      response.status = 503;
      return;
    }
    if (Takes(this->drop_appends)) {
      response.status = 500;
      return;
    }
    pb::LogAppendRequest append;
    append.ParseFromString(request.body);
    pb::LogAppendReply reply;
    {
      const std::lock_guard lock(this->mutex);
      auto& stream = this->streams[request.matches[1]];
      reply.set_first_offset(stream.size() + 1);
      stream.insert(stream.end(), append.payloads().begin(),
                    append.payloads().end());
    }
    this->grown.notify_all();
    if (Takes(this->lose_answers)) {
      response.status = 500;
      return;
    }
    response.set_content(reply.SerializeAsString(), "application/x-protobuf");
  }

  void Read(const httplib::Request& request, httplib::Response& response) {
    if (this->Refuses(request)) {
      response.status = 503;
      return;
    }
    const uint64_t from = std::stoull(request.get_param_value("from"));
    const uint64_t max = std::stoull(request.get_param_value("max"));
    const int wait = std::stoi(request.get_param_value("wait_ms"));
    std::unique_lock lock(this->mutex);
    const std::string name = request.matches[1];
    this->grown.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return this->stopping || this->down || this->streams[name].size() >= from;
    });
    const auto& stream = this->streams[name];
    pb::LogReadReply reply;
    reply.set_earliest_offset(this->expired[name] + 1);
    reply.set_next_offset(stream.size() + 1);
    for (uint64_t offset = std::max(from, this->expired[name] + 1);
         offset <= stream.size() &&
         static_cast<uint64_t>(reply.records_size()) < max;
         ++offset) {
      pb::LogRecord& record = *reply.add_records();
      record.set_offset(offset);
      record.set_payload(stream[offset - 1]);
    }
    response.set_content(reply.SerializeAsString(), "application/x-protobuf");
  }

  httplib::Server server;
  int port = 0;
  std::thread thread;
  std::mutex mutex;
  std::condition_variable grown;
  std::map<std::string, std::vector<std::string>> streams;
  std::map<std::string, uint64_t> expired;
  std::string cut;
  std::atomic<bool> stopping{false};
};

}  // namespace celerykeel
