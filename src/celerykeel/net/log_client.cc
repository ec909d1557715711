#include "celerykeel/net/log_client.h"

#include <fmt/format.h>  // for fmt::format
#include <httplib.h>     // for httplib::Client

#include <charconv>  // for std::from_chars
#include <utility>   // for std::move

#include "celerykeel/net/http_guard.h"  // for SplitAddress
#include "celerykeel/platform.pb.h"     // for pb::LogAppendRequest

namespace celerykeel {

namespace {

constexpr char kContentType[] = "application/x-protobuf";
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(200);

std::pair<time_t, time_t> SecondsAndMicros(Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds);
  return {seconds.count(), micros.count()};
}

// Without a connection nothing was sent. Any later failure may have come
// between the log's taking the request and its answer.
LogErrorKind KindOf(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return LogErrorKind::kUnreachable;
    default:
      return LogErrorKind::kLost;
  }
}

Duration RetryAfter(const httplib::Response& response) {
  const std::string text = response.get_header_value("Retry-After");
  int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return seconds > 0 ? Duration(std::chrono::seconds(seconds))
                     : kDefaultRetryAfter;
}

// 4xx and 503 are the log's own word that it did not take the request; other
// failures of a server may come after it did.
LogError ErrorOfStatus(const httplib::Response& response) {
  const bool refused = (response.status >= 400 && response.status < 500) ||
                       response.status == 503;
  return LogError{refused ? LogErrorKind::kRefused : LogErrorKind::kLost,
                  response.status, RetryAfter(response)};
}

tl::expected<std::string, LogError> BodyOf(httplib::Result result) {
  if (!result) {
    return tl::unexpected(
        LogError{KindOf(result.error()), 0, kDefaultRetryAfter});
  }
  if (result->status != 200) {
    return tl::unexpected(ErrorOfStatus(*result));
  }
  return std::move(result->body);
}

std::string RecordsPath(std::string_view stream) {
  return fmt::format("/streams/{}/records", stream);
}

}  // namespace

std::string JournalStream(Incarnation incarnation) {
  return fmt::format("journal-{:016x}", incarnation);
}

bool IsCertain(const LogError& error) {
  return error.kind != LogErrorKind::kLost;
}

std::string_view Describe(LogErrorKind kind) {
  switch (kind) {
    case LogErrorKind::kUnreachable:
      return "unreachable";
    case LogErrorKind::kRefused:
      return "refused";
    case LogErrorKind::kLost:
      return "no answer";
  }
  return "unknown";
}

struct LogClient::State {
  State(LogClientOptions given, const HostPort& address)
      : options(std::move(given)), http(address.host, address.port) {}

  void SetAnswerTimeout(Duration timeout) {
    const auto [seconds, micros] = SecondsAndMicros(timeout);
    this->http.set_read_timeout(seconds, micros);
  }

  LogClientOptions options;
  httplib::Client http;
};

LogClient LogClient::Create(LogClientOptions options) {
  const HostPort address = SplitAddress(options.address);
  auto state = std::make_unique<State>(std::move(options), address);
  const auto [seconds, micros] =
      SecondsAndMicros(state->options.connect_timeout);
  state->http.set_connection_timeout(seconds, micros);
  state->http.set_keep_alive(true);
  state->http.set_tcp_nodelay(true);
  state->http.set_default_headers({{"Client", state->options.client}});
  return LogClient(std::move(state));
}

LogClient::LogClient(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}
LogClient::~LogClient() = default;
LogClient::LogClient(LogClient&&) noexcept = default;
LogClient& LogClient::operator=(LogClient&&) noexcept = default;

tl::expected<Offset, LogError> LogClient::Append(
    std::string_view stream,
    std::span<const std::string> payloads) {
  pb::LogAppendRequest request;
  for (const std::string& payload : payloads) {
    request.add_payloads(payload);
  }
  this->state->SetAnswerTimeout(this->state->options.answer_timeout);
  auto body = BodyOf(this->state->http.Post(
      RecordsPath(stream), request.SerializeAsString(), kContentType));
  if (!body) {
    return tl::unexpected(body.error());
  }
  pb::LogAppendReply reply;
  if (!reply.ParseFromString(*body)) {
    return tl::unexpected(LogError{LogErrorKind::kLost, 200, {}});
  }
  return reply.first_offset();
}

tl::expected<LogPage, LogError> LogClient::Read(std::string_view stream,
                                                Offset from,
                                                uint32_t max,
                                                Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  this->state->SetAnswerTimeout(wait + this->state->options.answer_timeout);
  auto body = BodyOf(this->state->http.Get(
      fmt::format("{}?from={}&max={}&wait_ms={}", RecordsPath(stream), from,
                  max, wait_ms)));
  if (!body) {
    return tl::unexpected(body.error());
  }
  pb::LogReadReply reply;
  if (!reply.ParseFromString(*body)) {
    return tl::unexpected(LogError{LogErrorKind::kLost, 200, {}});
  }
  LogPage page{reply.earliest_offset(), reply.next_offset(), {}};
  page.entries.reserve(static_cast<size_t>(reply.records_size()));
  for (pb::LogRecord& record : *reply.mutable_records()) {
    page.entries.push_back(
        {record.offset(), std::move(*record.mutable_payload())});
  }
  return page;
}

void LogClient::Stop() {
  this->state->http.stop();
}

}  // namespace celerykeel
