#pragma once

#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr

#include "celerykeel/net/log_client.h"  // for LogClient, LogPage, LogError

namespace celerykeel {

/// @brief One answer of the log to the reader of the fleet stream.
struct FleetPage {
  LogPage page;
  Offset from = 0;      // what was asked for
  Duration asked_at{};  // before the request was sent
};

struct LogReaderOptions {
  LogClientOptions log;
  Duration wait = std::chrono::seconds(1);  // of one long poll
};

struct LogReaderHandlers {
  /// A page came; false if it can't be taken now: it is read again.
  std::function<bool(FleetPage)> on_page;
  std::function<void(const LogError&)> on_failure;
};

/// @brief The thread that follows the fleet stream. Handlers run on it.
class LogReader {
 public:
  static std::unique_ptr<LogReader> Create(LogReaderOptions options,
                                           LogReaderHandlers handlers);
  ~LogReader();

  /// @brief Goes on after `offset`, when records came from elsewhere.
  void SkipTo(Offset offset);

 private:
  struct State;
  explicit LogReader(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
