#include "celerykeel/testing/endpoint_standin.h"

#include <boost/asio/write.hpp>

#include <algorithm>  // for std::max
#include <array>      // for std::array
#include <span>       // for std::span
#include <utility>    // for std::as_const

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/arrival_window.h"  // for MostInWindow

namespace celerykeel::testing {

namespace {

constexpr Duration kCommentInterval = std::chrono::milliseconds(50);

Task<bool> Write(StandinConnectionPtr connection, std::string bytes) {
  ErrorCode error;
  co_await asio::async_write(connection->stream, asio::buffer(bytes),
                             Into(error));
  co_return !error;
}

void RecordArrival(EndpointStandin& endpoint) {
  const std::lock_guard lock(endpoint.mutex);
  endpoint.arrivals.push_back(std::chrono::steady_clock::now());
}

void RecordRun(EndpointStandin& endpoint,
               const std::string& id,
               const StandinRequest& request) {
  const std::lock_guard lock(endpoint.mutex);
  ++endpoint.runs[id];
  endpoint.bodies[id] = request.body();
  for (const auto& field : request) {
    endpoint.headers[id][std::string(field.name_string())] =
        std::string(field.value());
  }
}

// Returns what the endpoint says about itself in each answer.
std::vector<std::pair<std::string, std::string>> StatementsOf(
    const EndpointStandin& endpoint) {
  std::vector<std::pair<std::string, std::string>> statements;
  if (endpoint.announces_leaving) {
    statements.emplace_back("Server-Leaving", "1");
  }
  if (endpoint.rate_limit > 0) {
    statements.emplace_back("Server-Limit",
                            fmt::format("{}", endpoint.rate_limit.load()));
  }
  return statements;
}

std::string Framed(const EndpointStandin& endpoint, const std::string& text) {
  return endpoint.is_unframed
             ? text
             : fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

SpoiledEvent SpoiledEventOf(EndpointStandin& endpoint) {
  const std::lock_guard lock(endpoint.mutex);
  return endpoint.spoiled;
}

// Longer than any caller waits.
constexpr Duration kLongSilence = std::chrono::seconds(30);

// Streams the events after number `first`. Returns false to close the
// connection.
Task<bool> Stream(asio::io_context& loop,
                  EndpointStandin& endpoint,
                  StandinConnectionPtr connection,
                  std::string id,
                  int first) {
  std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s.{}\r\n"
      "Content-Type: text/event-stream\r\n{}\r\n",
      id, endpoint.id,
      endpoint.is_unframed
          ? "Connection: close"
          : "Keep-Alive: timeout=10\r\nTransfer-Encoding: chunked");
  for (const auto& [name, value] : StatementsOf(endpoint)) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  head += "\r\n";
  const SpoiledEvent spoiled = SpoiledEventOf(endpoint);
  bool keep_open = co_await Write(connection, std::move(head));
  while (keep_open && endpoint.streams_only_comments) {
    keep_open = co_await Write(connection, "1\r\n:\r\n");
    co_await Sleep(loop, kCommentInterval);
  }
  for (int event = first + 1; keep_open && event <= endpoint.events; ++event) {
    if (endpoint.close_after_events >= 0 &&
        event > endpoint.close_after_events) {
      co_return false;
    }
    const bool is_spoiled = event == spoiled.number;
    const std::string text =
        fmt::format("{}\ndata: e{}{}\n\n",
                    is_spoiled ? spoiled.id_line : fmt::format("id: {}", event),
                    event, std::string(endpoint.event_filler_bytes, 'x'));
    std::string piece = Framed(endpoint, text);
    keep_open = co_await Write(connection, std::move(piece));
    if (is_spoiled && !spoiled.goes_on) {
      co_return false;
    }
    co_await Sleep(loop, std::chrono::milliseconds(endpoint.pause_ms));
  }
  if (endpoint.ends_inside_event) {
    std::string piece = Framed(endpoint, "id: 99\ndata: half");
    keep_open = co_await Write(connection, std::move(piece));
  }
  if (endpoint.is_unframed) {
    co_return false;
  }
  std::string last = "0\r\n\r\n";
  co_return keep_open&& co_await Write(connection, std::move(last));
}

struct EndlessBytes {
  std::string begin;
  std::string again;
};

EndlessBytes BytesOf(Endless where, const std::string& id) {
  const std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n"
      "Content-Type: {}\r\n",
      id, where == Endless::kEvent ? "text/event-stream" : "text/plain");
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(4096, 'x');
  switch (where) {
    case Endless::kHead:
      return {head, "X-More: " + filler + "\r\n"};
    case Endless::kInterim:
      return {"", "HTTP/1.1 102 Processing\r\n\r\n"};
    case Endless::kChunkSize:
      return {chunked + "5;", filler};
    case Endless::kChunks:
      return {chunked, "1000\r\n" + filler + "\r\n"};
    case Endless::kTrailer:
      return {chunked + "2\r\nok\r\n0\r\n", "X-More: " + filler + "\r\n"};
    case Endless::kPastLength:
      return {head + "Content-Length: 2\r\n\r\nok", filler};
    case Endless::kEvent:
      return {chunked + "6\r\ndata: \r\n", "1000\r\n" + filler + "\r\n"};
    case Endless::kNotEndless:
      break;
  }
  return {};
}

// Sends until the caller closes the connection, or until the endpoint has sent
// kMaxEndlessBytes endless bytes, which show that the caller does not close it.
Task<bool> SendEndless(EndpointStandin& endpoint,
                       StandinConnectionPtr connection,
                       std::string id) {
  constexpr uint64_t kMaxEndlessBytes = 256UL * 1024 * 1024;
  const EndlessBytes bytes = BytesOf(endpoint.endless, id);
  bool keep_open = co_await Write(connection, bytes.begin);
  while (keep_open && endpoint.endless_bytes < kMaxEndlessBytes) {
    keep_open = co_await Write(connection, bytes.again);
    endpoint.endless_bytes += bytes.again.size();
  }
  co_return false;
}

std::string RawAnswerOf(EndpointStandin& endpoint) {
  const std::lock_guard lock(endpoint.mutex);
  return endpoint.raw_answer;
}

StandinResponse Plain(const EndpointStandin& endpoint,
                      const std::string& id,
                      std::string body) {
  StandinResponse response(http::status::ok, 11);
  response.set("X-Attempt-Id", id);
  response.set("X-Server-Seal", "s." + endpoint.id);
  response.set("Keep-Alive", "timeout=10");
  for (const auto& [name, value] : StatementsOf(endpoint)) {
    response.set(name, value);
  }
  response.body() = std::move(body);
  return response;
}

// Counts a stream as under way during the lifetime of this object.
class StreamCount {
 public:
  explicit StreamCount(EndpointStandin& counted) : endpoint(counted) {
    const int streams = ++this->endpoint.streams;
    this->endpoint.most_streams =
        std::max(this->endpoint.most_streams.load(), streams);
  }
  ~StreamCount() { --this->endpoint.streams; }
  StreamCount(const StreamCount&) = delete;
  StreamCount& operator=(const StreamCount&) = delete;

 private:
  EndpointStandin& endpoint;
};

// Answers before it reads the body; see EarlyAnswer.
Task<bool> AnswerEarly(asio::io_context& loop,
                       EndpointStandin& endpoint,
                       StandinConnectionPtr connection,
                       const StandinRequest& request) {
  if (endpoint.early_answer == EarlyAnswer::kNone ||
      request.method_string() != "POST") {
    co_return false;
  }
  const std::string id(request["X-Attempt-Id"]);
  RecordRun(endpoint, id, request);
  const bool is_stream = request.target().starts_with("/stream/");
  std::string answer = fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s.{}\r\n"
      "Connection: close\r\nContent-Type: {}\r\n\r\n{}",
      id, endpoint.id, is_stream ? "text/event-stream" : "text/plain",
      is_stream ? "id: 1\ndata: e1\n\n" : "first part");
  co_await Write(connection, std::move(answer));
  ErrorCode error;
  connection->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
  constexpr Duration kBeforeClose = std::chrono::milliseconds(100);
  co_await Sleep(loop, kBeforeClose);
  std::array<char, 65536> piece{};
  while (!error && endpoint.early_answer == EarlyAnswer::kReadsOn) {
    co_await connection->stream.async_read_some(asio::buffer(piece),
                                                Into(error));
  }
  co_return true;
}

Task<bool> Handle(asio::io_context& loop,
                  EndpointStandin& endpoint,
                  StandinConnectionPtr connection,
                  StandinRequest request) {
  const std::string id(request["X-Attempt-Id"]);
  const std::string expected(request["X-Expect-Instance"]);
  if (endpoint.is_down) {
    co_await Sleep(loop, kLongSilence);
    co_return false;
  }
  RecordArrival(endpoint);
  if (endpoint.is_full || (!expected.empty() && expected != endpoint.id)) {
    StandinResponse refused(expected == endpoint.id
                                ? http::status::service_unavailable
                                : http::status::misdirected_request,
                            11);
    refused.set("X-Attempt-Id", id);
    refused.set("X-Not-Executed", "1");
    for (const auto& [name, value] : StatementsOf(endpoint)) {
      refused.set(name, value);
    }
    co_return co_await Respond(connection, std::move(refused));
  }
  if (endpoint.has_other_weights) {
    StandinResponse refused(http::status::misdirected_request, 11);
    refused.set("X-Attempt-Id", id);
    co_return co_await Respond(connection, std::move(refused));
  }
  RecordRun(endpoint, id, request);
  if (!endpoint.deadly_body.empty() &&
      request.body().ends_with(endpoint.deadly_body)) {
    Crash(endpoint);
    if (endpoint.is_silent_when_down) {
      co_await Sleep(loop, kLongSilence);
    }
    co_return false;
  }
  if (endpoint.is_unresponsive) {
    co_return false;
  }
  if (std::string raw = RawAnswerOf(endpoint); !raw.empty()) {
    co_await Write(connection, std::move(raw));
    co_return false;
  }
  if (endpoint.endless != Endless::kNotEndless) {
    co_return co_await SendEndless(endpoint, connection, id);
  }
  const std::string target(request.target());
  if (target.starts_with("/stream/")) {
    const std::string last(request["Last-Event-ID"]);
    if (endpoint.fails_resumed && !last.empty()) {
      StandinResponse failed = Plain(endpoint, id, "out of memory");
      failed.result(http::status::internal_server_error);
      co_return co_await Respond(connection, std::move(failed));
    }
    const StreamCount counted(endpoint);
    co_return co_await Stream(loop, endpoint, connection, id,
                              std::atoi(last.c_str()));
  }
  if (endpoint.sends_stale_refusal) {
    StandinResponse stray(http::status::service_unavailable, 11);
    if (endpoint.stale_refusal_has_id) {
      stray.set("X-Attempt-Id", "earlier");
    }
    stray.set("X-Not-Executed", "1");
    if (!co_await Respond(connection, std::move(stray))) {
      co_return false;
    }
  }
  if (endpoint.sends_stale_answer) {
    StandinResponse stray = Plain(endpoint, "earlier", "stray");
    if (!co_await Respond(connection, std::move(stray))) {
      co_return false;
    }
  }
  if (endpoint.is_unframed) {
    std::string answer = fmt::format(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s.{}\r\n"
        "Connection: close\r\n\r\ndone ",
        id, endpoint.id);
    co_await Write(connection, std::move(answer));
    co_await Sleep(loop, std::chrono::milliseconds(endpoint.pause_ms));
    co_await Write(connection, id);
    co_return false;
  }
  StandinResponse response = Plain(endpoint, id, "done " + id);
  co_return co_await Respond(connection, std::move(response));
}

}  // namespace

Task<> ServeEndpoint(asio::io_context& loop,
                     EndpointStandin& endpoint,
                     Tcp::endpoint address,
                     std::function<void()> on_start) {
  StandinHandler handler = [&loop, &endpoint](StandinConnectionPtr connection,
                                              StandinRequest request) {
    return Handle(loop, endpoint, std::move(connection), std::move(request));
  };
  endpoint.sockets.on_head = [&loop, &endpoint](StandinConnectionPtr connection,
                                                const StandinRequest& request) {
    return AnswerEarly(loop, endpoint, std::move(connection), request);
  };
  while (true) {
    co_await ServeStandin(loop, address, handler, endpoint.sockets);
    co_await Sleep(loop, std::chrono::milliseconds(endpoint.down_ms));
    CloseAll(endpoint.sockets);
    endpoint.is_down = false;
    on_start();
  }
}

void Crash(EndpointStandin& endpoint) {
  ++endpoint.crashes;
  if (endpoint.is_silent_when_down) {
    endpoint.is_down = true;
    ErrorCode ignored;  // it accepts no connections in any case
    endpoint.sockets.acceptor->close(ignored);
  } else {
    CloseAll(endpoint.sockets);
  }
}

void SetRawAnswer(EndpointStandin& endpoint, std::string bytes) {
  const std::lock_guard lock(endpoint.mutex);
  endpoint.raw_answer = std::move(bytes);
}

void SetSpoiled(EndpointStandin& endpoint, SpoiledEvent spoiled) {
  const std::lock_guard lock(endpoint.mutex);
  endpoint.spoiled = std::move(spoiled);
}

int RunsOf(EndpointStandin& endpoint, const std::string& id) {
  const std::lock_guard lock(endpoint.mutex);
  return endpoint.runs[id];
}

int MostArrivals(EndpointStandin& endpoint,
                 size_t skipped,
                 std::chrono::milliseconds window) {
  const std::lock_guard lock(endpoint.mutex);
  return static_cast<int>(MostInWindow(
      std::span(std::as_const(endpoint.arrivals)).subspan(skipped), window));
}

std::string BodyOf(EndpointStandin& endpoint, const std::string& id) {
  const std::lock_guard lock(endpoint.mutex);
  return endpoint.bodies[id];
}

std::string HeaderOf(EndpointStandin& endpoint,
                     const std::string& id,
                     const std::string& name) {
  const std::lock_guard lock(endpoint.mutex);
  return endpoint.headers[id][name];
}

}  // namespace celerykeel::testing
