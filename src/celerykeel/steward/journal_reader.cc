#include "celerykeel/steward/journal_reader.h"

#include <thread>   // for std::thread
#include <utility>  // for std::move

#include "celerykeel/net/bounded_ring.h"  // for BoundedRing

namespace celerykeel {

namespace {

constexpr size_t kMaxWaiting = 256;
constexpr uint32_t kMaxRecords = 1000;
constexpr Duration kIdleWait = std::chrono::milliseconds(200);

}  // namespace

struct JournalReader::State {
  explicit State(LogClientOptions options)
      : queue(kMaxWaiting), log(LogClient::Create(std::move(options))) {}

  void Run() {
    while (!this->queue.Closed()) {
      if (auto request = this->queue.Pop(kIdleWait)) {
        const uint32_t max = std::min(
            request->max == 0 ? kMaxRecords : request->max, kMaxRecords);
        request->done(this->log.Read(JournalStream(request->incarnation),
                                     std::max<Offset>(request->from, 1), max,
                                     {}));
      }
    }
  }

  BoundedRing<JournalRequest> queue;
  LogClient log;
  std::thread thread;
};

std::unique_ptr<JournalReader> JournalReader::Create(LogClientOptions options) {
  auto state = std::make_unique<State>(std::move(options));
  State* const running = state.get();
  running->thread = std::thread([running] { running->Run(); });
  return std::unique_ptr<JournalReader>(new JournalReader(std::move(state)));
}

JournalReader::JournalReader(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

JournalReader::~JournalReader() {
  this->state->queue.Close();
  this->state->log.Stop();
  this->state->thread.join();
}

bool JournalReader::Read(JournalRequest request) {
  return this->state->queue.Push(std::move(request));
}

}  // namespace celerykeel
