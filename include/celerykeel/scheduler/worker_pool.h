#pragma once

#include <functional>  // for std::function
#include <string>      // for std::string
#include <thread>      // for std::thread
#include <variant>     // for std::variant
#include <vector>      // for std::vector

#include "celerykeel/net/bounded_ring.h"         // for BoundedRing
#include "celerykeel/scheduler/endpoint_call.h"  // for EndpointCall

namespace celerykeel {

/// @brief An engine may drop what it holds under a cache name.
struct CacheRelease {
  std::string address;  // host:port of the endpoint
  std::string name;
};

/// @brief An engine is to say what it holds.
struct CacheListing {
  std::string endpoint;
  std::string address;  // host:port of the endpoint
};

using WorkerJob =
    std::variant<std::monostate, EndpointCall, CacheRelease, CacheListing>;

struct WorkerHandlers {
  std::function<void(const EndpointCall&, AttemptResult)> on_attempt;
  std::function<void(const CacheRelease&, bool confirmed)> on_release;
  std::function<void(const CacheListing&, std::vector<std::string>)> on_listing;
};

/// @brief Threads that wait for endpoints, one call each.
class WorkerPool {
 public:
  WorkerPool(size_t threads, size_t waiting, WorkerHandlers given);

  /// Waits for what runs.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// @brief Queues a job; false if as many wait as may.
  bool Start(WorkerJob job);

 private:
  void Run();

  WorkerHandlers handlers;
  BoundedRing<WorkerJob> jobs;
  std::vector<std::thread> threads;
};

}  // namespace celerykeel
