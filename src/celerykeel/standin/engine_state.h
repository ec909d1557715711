#pragma once

#include <condition_variable>  // for std::condition_variable
#include <cstdint>             // for uint32_t, uint64_t
#include <memory>              // for std::unique_ptr
#include <mutex>               // for std::mutex, std::unique_lock
#include <string_view>         // for std::string_view
#include <thread>              // for std::thread

#include "celerykeel/standin/cache_events.h"    // for CacheEventLog
#include "celerykeel/standin/call_counter.h"    // for CallCounter
#include "celerykeel/standin/engine_batcher.h"  // for EngineBatcher
#include "celerykeel/standin/engine_faults.h"   // for EngineFaults
#include "celerykeel/standin/engine_orders.h"   // for EngineOrders
#include "celerykeel/standin/engine_server.h"   // for EngineServerOptions
#include "celerykeel/standin/fence_table.h"     // for FenceTable
#include "celerykeel/standin/http_host.h"       // for HttpHost
#include "celerykeel/standin/lagged.h"          // for Lagged
#include "celerykeel/standin/request_book.h"    // for RequestBook

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace celerykeel {

struct LoadReport {
  uint64_t running = 0;
  uint64_t waiting = 0;
  uint64_t used_tokens = 0;
  WallMillis measured_ms = 0;
};

struct EngineCounts {
  uint64_t requests = 0;
  uint64_t credentials = 0;
  uint64_t cancelled = 0;
  uint64_t stale_fences = 0;  // refused
  uint64_t answers = 0;       // sent to their end
};

/// @brief All that the handlers and the batching thread share; `mutex` guards
/// it.
struct EngineState {
  EngineServerOptions options;
  std::mutex mutex;
  std::condition_variable progressed;  // a request, or `stopping`
  std::condition_variable work_added;
  bool stopping = false;
  EngineBatcher batcher;
  RequestBook book;
  CacheEventLog events;
  EngineOrders orders;
  EngineFaults faults;
  EngineCounts counts;
  CallCounter runs;  // by request id
  FenceTable fences;
  Lagged<LoadReport> load;
  std::thread batching;
  std::unique_ptr<HttpHost> host;
};

using EngineLock = std::unique_lock<std::mutex>;

inline constexpr char kJsonType[] = "application/json";

/// @brief Runs steps until the engine stops.
void RunBatches(EngineState& state);

/// @brief Publishes what happened to the cache and measures the load.
void PublishChanges(EngineState& state,
                    const CacheChanges& changes,
                    Duration now);

/// @brief Cancels a request under way; false if there is none.
bool CancelRequest(EngineState& state, std::string_view id, Duration now);

/// @brief Waits as long as a test asked for.
void DelayAsAsked(EngineState& state, EngineLock& lock);

/// @brief Notes a program's fencing number, and answers 409 if it is older
/// than one seen before and the engine checks them.
bool PassFence(EngineState& state,
               const httplib::Request& request,
               httplib::Response& response);

/// @brief Answers with an error of the OpenAI format.
void RefuseRequest(httplib::Response& response,
                   int status,
                   std::string_view type,
                   std::string_view detail);

void AddCompletionRoutes(EngineState& state, httplib::Server& server);
void AddCacheRoutes(EngineState& state, httplib::Server& server);
void AddReportRoutes(EngineState& state, httplib::Server& server);
void AddControlRoutes(EngineState& state, httplib::Server& server);

}  // namespace celerykeel
