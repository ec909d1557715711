#include "celerykeel/scheduler/worker_pool.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

constexpr Duration kIdleWait = std::chrono::seconds(1);

}  // namespace

WorkerPool::WorkerPool(size_t thread_count,
                       size_t waiting,
                       WorkerHandlers given)
    : handlers(std::move(given)), jobs(waiting) {
  this->threads.reserve(thread_count);
  for (size_t i = 0; i < thread_count; ++i) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

WorkerPool::~WorkerPool() {
  this->jobs.Close();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

bool WorkerPool::Start(WorkerJob job) {
  return this->jobs.Push(std::move(job));
}

void WorkerPool::Run() {
  for (;;) {
    const auto job = this->jobs.Pop(kIdleWait);
    if (!job) {
      if (this->jobs.Closed()) {
        return;
      }
    } else if (const auto* call = std::get_if<EndpointCall>(&*job)) {
      this->handlers.on_attempt(*call, RunEndpointCall(*call));
    } else if (const auto* release = std::get_if<CacheRelease>(&*job)) {
      this->handlers.on_release(*release,
                                ReleaseCache(release->address, release->name));
    } else if (const auto* listing = std::get_if<CacheListing>(&*job)) {
      if (auto names = ListCache(listing->address)) {
        this->handlers.on_listing(*listing, std::move(*names));
      }
    }
  }
}

}  // namespace celerykeel
