#pragma once

#include <memory>    // for std::shared_ptr
#include <mutex>     // for std::mutex
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/program_ledger.h"    // for AttemptResult
#include "celerykeel/scheduler/call_stream.h"  // for CallStream

namespace httplib {
class Client;
}  // namespace httplib

namespace celerykeel {

/// @brief Lets another thread end an attempt, before or while it runs.
class AttemptStop {
 public:
  /// @brief Ends the attempt; its result is kCancelled.
  void Stop();
  bool IsStopped() const;

  /// @brief Names the client to stop, for as long as it runs.
  void Attach(httplib::Client* running);

 private:
  mutable std::mutex mutex;
  httplib::Client* client = nullptr;
  bool stopped = false;
};

/// @brief One attempt at an endpoint.
struct EndpointCall {
  CallKey key;
  DispatchId dispatch = 0;
  std::shared_ptr<const CallWork> work;
  std::string endpoint;
  std::string address;     // host:port of the endpoint
  std::string request_id;  // unique for the attempt
  std::string program;     // opaque name of the program, for the cache
  uint32_t priority = 0;   // smaller first
  Fence fence = 0;
  std::vector<std::string> messages;
  uint64_t max_tokens = 0;
  std::shared_ptr<CallStream> stream;  // null: the answer comes whole
  std::shared_ptr<AttemptStop> stop;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration read_timeout = std::chrono::seconds(120);
};

/// @brief Sends the call and waits for its answer; streamed parts are relayed
/// as they come. A stream that breaks is resumed at the same engine.
AttemptResult RunEndpointCall(const EndpointCall& call);

/// @brief Tells an engine that it may drop what it holds under a cache name.
/// @return true if the engine confirmed.
bool ReleaseCache(const std::string& address, const std::string& name);

/// @brief The cache names under which an engine holds something; nothing if
/// it did not answer.
std::optional<std::vector<std::string>> ListCache(const std::string& address);

/// @brief Tells an engine that a request is no longer wanted.
bool CancelRequest(const std::string& address, const std::string& request_id);

}  // namespace celerykeel
