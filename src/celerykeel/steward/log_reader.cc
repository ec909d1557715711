#include "celerykeel/steward/log_reader.h"

#include <atomic>              // for std::atomic
#include <condition_variable>  // for std::condition_variable
#include <mutex>               // for std::mutex
#include <thread>              // for std::thread
#include <utility>             // for std::move

#include "celerykeel/base/clock.h"  // for Now

namespace celerykeel {

namespace {

constexpr uint32_t kRecordsPerRead = 2000;
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(100);

}  // namespace

struct LogReader::State {
  State(LogReaderOptions given, LogReaderHandlers given_handlers)
      : options(std::move(given)),
        handlers(std::move(given_handlers)),
        log(LogClient::Create(options.log)) {}

  void Run() {
    while (!this->stopping.load()) {
      if (!this->ReadOnce()) {
        this->Pause();
      }
    }
  }

  bool ReadOnce() {
    const Offset from = this->next.load();
    const Duration asked_at = Now();
    // The first read, and the first after a failure, say at once whether the
    // log can be read.
    const Duration wait = this->reachable ? this->options.wait : Duration{};
    auto page = this->log.Read(kFleetStream, from, kRecordsPerRead, wait);
    this->reachable = page.has_value();
    if (this->stopping.load()) {
      return true;
    }
    if (!page) {
      this->handlers.on_failure(page.error());
      return false;
    }
    const Offset after =
        page->entries.empty() ? from : page->entries.back().offset + 1;
    if (!this->handlers.on_page({std::move(*page), from, asked_at})) {
      return false;
    }
    // A skip that came meanwhile goes further than this page.
    Offset expected = from;
    this->next.compare_exchange_strong(expected, after);
    return true;
  }

  void Pause() {
    std::unique_lock lock(this->mutex);
    this->stopped.wait_for(lock, kPauseAfterFailure,
                           [this] { return this->stopping.load(); });
  }

  LogReaderOptions options;
  LogReaderHandlers handlers;
  LogClient log;
  bool reachable = false;  // at the last read
  std::atomic<Offset> next{1};
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::condition_variable stopped;
  std::thread thread;
};

std::unique_ptr<LogReader> LogReader::Create(LogReaderOptions options,
                                             LogReaderHandlers handlers) {
  auto state = std::make_unique<State>(std::move(options), std::move(handlers));
  State* const running = state.get();
  running->thread = std::thread([running] { running->Run(); });
  return std::unique_ptr<LogReader>(new LogReader(std::move(state)));
}

LogReader::LogReader(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

LogReader::~LogReader() {
  {
    const std::lock_guard lock(this->state->mutex);
    this->state->stopping.store(true);
  }
  this->state->stopped.notify_all();
  this->state->log.Stop();
  this->state->thread.join();
}

void LogReader::SkipTo(Offset offset) {
  Offset current = this->state->next.load();
  while (current < offset + 1 &&
         !this->state->next.compare_exchange_weak(current, offset + 1)) {
  }
}

}  // namespace celerykeel
