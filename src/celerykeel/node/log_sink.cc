#include "celerykeel/node/log_sink.h"

#include <fcntl.h>   // for fcntl
#include <unistd.h>  // for write

#include <algorithm>  // for std::min

#include <fmt/format.h>       // for fmt::format_to
#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/base/clock.h"  // for Now, WallNow

namespace celerykeel {

namespace {

constexpr size_t kFlushBytes = 16UL * 1024;
constexpr size_t kMaxBufferedLogBytes = 256UL * 1024;

std::string Quoted(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Token bucket with a burst of one second's lines.
// @return false if the line is to be left out.
bool AdmitOrdinaryLine(LogSink& log, Duration now) {
  const double elapsed =
      std::chrono::duration<double>(now - log.refilled_at).count();
  log.ordinary_left =
      std::min(log.ordinary_left + elapsed * log.ordinary_per_second,
               log.ordinary_per_second);
  log.refilled_at = now;
  if (log.ordinary_left < 1) {
    ++log.sampled_out;
    ++log.sampled_out_total;
    return false;
  }
  log.ordinary_left -= 1;
  return true;
}

}  // namespace

LogValue::LogValue(std::string_view field_name, std::string_view text)
    : name(field_name), json(Quoted(text)) {}
LogValue::LogValue(std::string_view field_name, const char* text)
    : LogValue(field_name, std::string_view(text)) {}
LogValue::LogValue(std::string_view field_name, const std::string& text)
    : LogValue(field_name, std::string_view(text)) {}
LogValue::LogValue(std::string_view field_name, uint64_t number)
    : name(field_name), json(std::to_string(number)) {}
LogValue::LogValue(std::string_view field_name, uint32_t number)
    : name(field_name), json(std::to_string(number)) {}
LogValue::LogValue(std::string_view field_name, int number)
    : name(field_name), json(std::to_string(number)) {}
LogValue::LogValue(std::string_view field_name, double number)
    : name(field_name), json(fmt::format("{:.6g}", number)) {}
LogValue::LogValue(std::string_view field_name, bool flag)
    : name(field_name), json(flag ? "true" : "false") {}
LogValue::LogValue(std::string_view field_name, Duration duration)
    : name(field_name), json(std::to_string(Millis(duration))) {}

void OpenLog(LogSink& log, std::string_view instance) {
  log.instance = instance;
  log.refilled_at = Now();
  log.ordinary_left = log.ordinary_per_second;
  const int flags = fcntl(log.descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(log.descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void WriteLog(LogSink& log,
              LogLevel level,
              std::string_view event,
              std::initializer_list<LogValue> fields) {
  const Duration now = Now();
  if (level == LogLevel::kOrdinary && !AdmitOrdinaryLine(log, now)) {
    return;
  }
  if (log.buffer.size() > kMaxBufferedLogBytes) {
    ++log.dropped;
    ++log.dropped_total;
    return;
  }
  auto out = std::back_inserter(log.buffer);
  fmt::format_to(out, R"({{"at":{},"ms":{},"instance":"{}","event":"{}")",
                 WallNow(), Millis(now), log.instance, event);
  for (const LogValue& field : fields) {
    fmt::format_to(out, R"(,"{}":{})", field.name, field.json);
  }
  if (log.sampled_out + log.dropped > 0) {
    fmt::format_to(out, R"(,"left_out":{},"dropped":{})", log.sampled_out,
                   log.dropped);
    log.sampled_out = 0;
    log.dropped = 0;
  }
  log.buffer += "}\n";
  if (log.buffer.size() >= kFlushBytes) {
    FlushLog(log);
  }
}

void FlushLog(LogSink& log) {
  size_t done = 0;
  while (done < log.buffer.size()) {
    const ssize_t count = write(log.descriptor, log.buffer.data() + done,
                                log.buffer.size() - done);
    if (count <= 0) {
      break;  // the reader is slow: the rest is left for the next flush
    }
    done += static_cast<size_t>(count);
  }
  log.buffer.erase(0, done);
}

void WriteFatal(std::string_view reason) {
  const std::string line =
      fmt::format("{{\"event\":\"fatal\",\"reason\":{}}}\n", Quoted(reason));
  [[maybe_unused]] const auto count =
      write(STDOUT_FILENO, line.data(), line.size());
}

}  // namespace celerykeel
