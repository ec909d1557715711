#pragma once

#include <cstdint>           // for uint64_t
#include <initializer_list>  // for std::initializer_list
#include <map>               // for std::map
#include <string>            // for std::string
#include <string_view>       // for std::string_view
#include <utility>           // for std::pair

#include <nlohmann/json_fwd.hpp>  // for nlohmann::json

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Whether a line may be left out under load.
enum class LogLevel {
  kOrdinary,  // left out above LogSink::ordinary_per_second
  kUnusual,   // dropped only if the buffer is full
};

/// @brief A field of a log line. Must not hold a key, a prompt or an answer.
struct LogValue {
  LogValue(std::string_view field_name, std::string_view text);
  LogValue(std::string_view field_name, const char* text);
  LogValue(std::string_view field_name, const std::string& text);
  LogValue(std::string_view field_name, uint64_t number);
  LogValue(std::string_view field_name, uint32_t number);
  LogValue(std::string_view field_name, int number);
  LogValue(std::string_view field_name, double number);
  LogValue(std::string_view field_name, bool flag);
  /// Whole milliseconds.
  LogValue(std::string_view field_name, Duration duration);

  std::string_view name;
  std::string json;
};

/// @brief Log of structured lines, one JSON object each. Writing never blocks:
/// lines that the reader does not accept in time are dropped and counted.
struct LogSink {
  std::string instance;
  double ordinary_per_second = 200;  // lines; more are left out
  double ordinary_left = 0;          // lines that may be written now
  Duration refilled_at{};            // last update of `ordinary_left`
  uint64_t sampled_out = 0;  // left out since the last line that reports it
  uint64_t dropped = 0;      // likewise, as the buffer was full
  uint64_t sampled_out_total = 0;  // since the start
  uint64_t dropped_total = 0;
  std::string buffer;
  int descriptor = 1;  // standard output, except in tests
};

/// @brief Begins a log; makes `descriptor` non-blocking.
void OpenLog(LogSink& log, std::string_view instance);

/// @brief Appends a line to the buffer.
///
///     WriteLog(log, LogLevel::kUnusual, "slot taken", {{"slot", slot}});
///     // {"at":1796368127000,"ms":1207,"instance":"a","event":"slot taken",
///     //  "slot":3}
///
/// `at` is Unix milliseconds, `ms` milliseconds since the machine's start.
void WriteLog(LogSink& log,
              LogLevel level,
              std::string_view event,
              std::initializer_list<LogValue> fields = {});

/// @brief Writes as much of the buffer as the reader accepts.
void FlushLog(LogSink& log);

/// @brief Writes one line to standard output before the process ends.
void WriteFatal(std::string_view reason);

}  // namespace celerykeel
