#include "celerykeel/steward/log_appender.h"

#include <algorithm>  // for std::equal, std::min, std::max
#include <atomic>     // for std::atomic
#include <mutex>      // for std::mutex
#include <optional>   // for std::optional
#include <thread>     // for std::thread
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/net/bounded_ring.h"  // for BoundedRing

namespace celerykeel {

namespace {

constexpr size_t kMaxBatchBytes = size_t{1} * 1024 * 1024;
constexpr size_t kMaxBatchJobs = 1000;
constexpr Duration kIdleWait = std::chrono::milliseconds(200);
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(50);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr double kBurstSeconds = 0.25;
constexpr uint32_t kRecordsPerRead = 2000;

size_t BytesOf(const AppendJob& job) {
  size_t bytes = 0;
  for (const std::string& payload : job.payloads) {
    bytes += payload.size();
  }
  return bytes;
}

struct Batch {
  std::vector<AppendJob> jobs;
  std::vector<std::string> payloads;
};

}  // namespace

struct LogAppender::State {
  explicit State(LogAppenderOptions given)
      : options(std::move(given)),
        queue(options.max_jobs),
        log(LogClient::Create(options.log)) {}

  void Run() {
    while (auto batch = this->NextBatch()) {
      this->Commit(*batch);
      this->Pace();
    }
  }

  // Nothing when the queue is closed and empty.
  std::optional<Batch> NextBatch() {
    std::optional<AppendJob> first = std::move(this->held);
    this->held.reset();
    while (!first) {
      first = this->queue.Pop(kIdleWait);
      if (!first && this->queue.Closed()) {
        return std::nullopt;
      }
    }
    Batch batch;
    size_t bytes = BytesOf(*first);
    batch.jobs.push_back(std::move(*first));
    while (batch.jobs.size() < kMaxBatchJobs && bytes < kMaxBatchBytes) {
      auto job = this->queue.TryPop();
      if (!job) {
        break;
      }
      if (job->stream != batch.jobs.front().stream) {
        this->held = std::move(job);
        break;
      }
      bytes += BytesOf(*job);
      batch.jobs.push_back(std::move(*job));
    }
    for (const AppendJob& job : batch.jobs) {
      batch.payloads.insert(batch.payloads.end(), job.payloads.begin(),
                            job.payloads.end());
    }
    return batch;
  }

  void Commit(const Batch& batch) {
    const std::string& stream = batch.jobs.front().stream;
    const Duration expires_at =
        batch.jobs.front().queued_at + this->options.wait;
    while (true) {
      const Duration started = Now();
      const auto first = this->log.Append(stream, batch.payloads);
      ++this->appends;
      if (first) {
        this->records += batch.payloads.size();
        if (this->options.on_append) {
          this->options.on_append(Now() - started);
        }
        return this->AnswerAppended(batch, *first);
      }
      if (!IsCertain(first.error())) {
        return this->Resolve(batch);
      }
      if (Now() + kPauseAfterFailure >= expires_at || this->queue.Closed()) {
        return this->AnswerAll(batch, AppendOutcome::kNotAppended);
      }
      std::this_thread::sleep_for(
          std::max(kPauseAfterFailure, first.error().retry_after / 4));
    }
  }

  // The answer was lost. The records may stand in the stream: then the append
  // took effect. Their absence proves nothing.
  void Resolve(const Batch& batch) {
    if (const auto first = this->FindInStream(batch)) {
      this->records += batch.payloads.size();
      return this->AnswerAppended(batch, *first);
    }
    this->AnswerAll(batch, AppendOutcome::kUncertain);
  }

  std::optional<Offset> FindInStream(const Batch& batch) {
    const std::string& stream = batch.jobs.front().stream;
    Offset from = stream == this->next_stream ? this->next_offset : 1;
    while (true) {
      const auto page = this->log.Read(stream, from, kRecordsPerRead, {});
      if (!page || page->entries.empty()) {
        return std::nullopt;
      }
      for (const LogEntry& entry : page->entries) {
        if (entry.payload == batch.payloads.front() &&
            this->StandsAt(batch, entry.offset)) {
          return entry.offset;
        }
      }
      from = page->entries.back().offset + 1;
    }
  }

  bool StandsAt(const Batch& batch, Offset offset) {
    const auto page =
        this->log.Read(batch.jobs.front().stream, offset,
                       static_cast<uint32_t>(batch.payloads.size()), {});
    return page &&
           std::equal(batch.payloads.begin(), batch.payloads.end(),
                      page->entries.begin(), page->entries.end(),
                      [](const std::string& payload, const LogEntry& entry) {
                        return payload == entry.payload;
                      });
  }

  void AnswerAppended(const Batch& batch, Offset first) {
    this->next_stream = batch.jobs.front().stream;
    this->next_offset = first + batch.payloads.size();
    for (const AppendJob& job : batch.jobs) {
      job.done({AppendOutcome::kAppended, first, {}});
      first += job.payloads.size();
    }
  }

  void AnswerAll(const Batch& batch, AppendOutcome outcome) {
    (outcome == AppendOutcome::kUncertain ? this->uncertain : this->refused) +=
        batch.jobs.size();
    for (const AppendJob& job : batch.jobs) {
      job.done({outcome, 0, kRetryAfter});
    }
  }

  // A few appends may follow each other at once; beyond them each waits.
  void Pace() {
    const double per_second = this->rate.load();
    if (per_second <= 0 || this->queue.Closed()) {
      return;
    }
    const Duration now = Now();
    const double passed =
        std::chrono::duration<double>(now - this->paced_at).count();
    this->paced_at = now;
    const double burst = std::max(1.0, per_second * kBurstSeconds);
    this->allowance =
        std::min(this->allowance + passed * per_second, burst) - 1;
    if (this->allowance < 0) {
      std::this_thread::sleep_for(
          std::chrono::duration<double>(-this->allowance / per_second));
    }
  }

  LogAppenderOptions options;
  BoundedRing<AppendJob> queue;
  LogClient log;
  std::optional<AppendJob> held;  // of another stream, first of the next batch
  std::string next_stream;
  Offset next_offset = 1;  // after the newest append that is known
  Duration paced_at{};
  double allowance = 0;  // appends
  std::atomic<double> rate{0};
  std::atomic<uint64_t> appends{0};
  std::atomic<uint64_t> records{0};
  std::atomic<uint64_t> refused{0};
  std::atomic<uint64_t> uncertain{0};
  std::thread thread;
};

std::unique_ptr<LogAppender> LogAppender::Create(LogAppenderOptions options) {
  auto state = std::make_unique<State>(std::move(options));
  State* const running = state.get();
  running->thread = std::thread([running] { running->Run(); });
  return std::unique_ptr<LogAppender>(new LogAppender(std::move(state)));
}

LogAppender::LogAppender(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

LogAppender::~LogAppender() {
  this->state->queue.Close();
  this->state->thread.join();
}

void LogAppender::Append(AppendJob job) {
  job.queued_at = Now();
  if (job.payloads.empty()) {
    return job.done({AppendOutcome::kNotAppended, 0, {}});
  }
  // The ring takes the job only when it has room, so the handler is kept.
  auto done = job.done;
  if (!this->state->queue.Push(std::move(job))) {
    ++this->state->refused;
    done({AppendOutcome::kNotAppended, 0, kRetryAfter});
  }
}

void LogAppender::SetRate(double appends_per_second) {
  this->state->rate.store(appends_per_second);
}

AppenderTotals LogAppender::Totals() const {
  return {this->state->appends.load(), this->state->records.load(),
          this->state->refused.load(), this->state->uncertain.load()};
}

}  // namespace celerykeel
