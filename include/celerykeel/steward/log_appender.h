#pragma once

#include <cstdint>     // for uint32_t, uint64_t
#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr
#include <string>      // for std::string
#include <vector>      // for std::vector

#include "celerykeel/net/feed_client.h"  // for AppendResult
#include "celerykeel/net/log_client.h"   // for LogClientOptions

namespace celerykeel {

/// @brief Records to append in order; `done` runs exactly once.
struct AppendJob {
  std::string stream;
  std::vector<std::string> payloads;
  std::function<void(const AppendResult&)> done;
  Duration queued_at{};
};

/// @brief Counters of an appender, for metrics.
struct AppenderTotals {
  uint64_t appends = 0;    // requests to the log
  uint64_t records = 0;    // records in them
  uint64_t refused = 0;    // jobs answered not-appended
  uint64_t uncertain = 0;  // jobs answered uncertain
};

struct LogAppenderOptions {
  LogClientOptions log;
  Duration wait = std::chrono::seconds(2);  // of a job for a log that is down
  uint32_t max_jobs = 4096;                 // waiting
  std::function<void(Duration)> on_append;  // took this long; may be empty
};

/// @brief Group commit: a thread with one append in flight, whose next one
/// takes all jobs that wait for the same stream.
class LogAppender {
 public:
  static std::unique_ptr<LogAppender> Create(LogAppenderOptions options);

  /// Jobs that still wait are answered not-appended.
  ~LogAppender();

  /// @brief Queues a job, from any thread; a full queue answers at once.
  void Append(AppendJob job);

  /// @brief At most this many appends a second.
  void SetRate(double appends_per_second);

  AppenderTotals Totals() const;

 private:
  struct State;
  explicit LogAppender(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
