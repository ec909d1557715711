#pragma once

#include <functional>  // for std::function
#include <string>      // for std::string
#include <thread>      // for std::thread
#include <variant>     // for std::variant
#include <vector>      // for std::vector

#include "celerykeel/net/bounded_ring.h"         // for BoundedRing
#include "celerykeel/scheduler/endpoint_call.h"  // for EndpointCall

namespace celerykeel {

/// @brief An engine may drop what it holds of a program.
struct CacheRelease {
  ProgramName program;
  std::string endpoint;
  std::string address;  // host:port of the endpoint
};

using WorkerJob = std::variant<std::monostate, EndpointCall, CacheRelease>;

struct WorkerHandlers {
  std::function<void(const EndpointCall&, AttemptResult)> on_attempt;
  std::function<void(const CacheRelease&, bool confirmed)> on_release;
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
