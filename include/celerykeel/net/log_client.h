#pragma once

#include <memory>       // for std::unique_ptr
#include <span>         // for std::span
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/identity.h"  // for Offset, Incarnation
#include "celerykeel/core/time.h"      // for Duration

namespace celerykeel {

/// @brief The stream that every instance folds.
inline constexpr std::string_view kFleetStream = "fleet";

/// @brief Name of an incarnation's journal: `journal-<16 hex digits>`.
std::string JournalStream(Incarnation incarnation);

enum class LogErrorKind {
  kUnreachable,  // no connection: nothing reached the log
  kRefused,      // the log answered that it did not take the request
  kLost,         // sent, and no whole answer came: it may have taken effect
};

/// @brief Why the log did not serve a request.
struct LogError {
  LogErrorKind kind = LogErrorKind::kLost;
  int status = 0;  // of HTTP, when there was an answer
  Duration retry_after{};
};

/// @brief True if the request certainly had no effect.
bool IsCertain(const LogError& error);

/// @brief For logs and operators.
std::string_view Describe(LogErrorKind kind);

struct LogEntry {
  Offset offset = 0;
  std::string payload;
};

/// @brief Part of a stream; `entries` is empty at its end.
struct LogPage {
  Offset earliest = 0;  // the first offset still retained
  Offset next = 0;      // the offset that the next append will take
  std::vector<LogEntry> entries;
};

struct LogClientOptions {
  std::string address;  // host:port
  std::string client;   // name of the instance
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration answer_timeout = std::chrono::seconds(2);  // beyond a read's wait
};

/// @brief One connection to the platform's append-only log, for one thread.
///
///     LogClient log = LogClient::Create({.address = "127.0.0.1:7000"});
///     if (auto first = log.Append(kFleetStream, payloads)) { ... }
class LogClient {
 public:
  static LogClient Create(LogClientOptions options);

  ~LogClient();
  LogClient(LogClient&&) noexcept;
  LogClient& operator=(LogClient&&) noexcept;

  /// @brief Appends in one request; the payloads take consecutive offsets.
  /// @return the first offset.
  tl::expected<Offset, LogError> Append(std::string_view stream,
                                        std::span<const std::string> payloads);

  /// @brief Reads up to `max` records from an offset on; at the end of the
  /// stream waits up to `wait` for one.
  tl::expected<LogPage, LogError> Read(std::string_view stream,
                                       Offset from,
                                       uint32_t max,
                                       Duration wait);

  /// @brief Ends a request that is under way, from any thread.
  void Stop();

 private:
  struct State;
  explicit LogClient(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
