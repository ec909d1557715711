#include "celerykeel/node/caller_server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>  // for std::function
#include <optional>    // for std::optional
#include <utility>     // for std::move

#include "celerykeel/base/clock.h"      // for Now
#include "celerykeel/node/call_path.h"  // for ServeCall
#include "celerykeel/node/fleet.h"      // for LeaveFleet
#include "celerykeel/node/node.h"       // for Node
#include "platform/headers.h"           // for platform::DecodeRequest

namespace celerykeel {

namespace {

namespace http = boost::beast::http;
using RequestParser = http::request_parser<http::string_body>;

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
// Time after which callers use other instances: the platform probes readiness
// once a second and needs two failures, and callers follow a little later. New
// connections are accepted until then.
constexpr Duration kReadinessDrainTime = std::chrono::milliseconds(3200);
// A request that was sent before its caller noticed the closed acceptor arrives
// within this time: two long network delays and a slow loop.
constexpr Duration kMaxRequestInFlightTime = std::chrono::milliseconds(200);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
// Part of the time until the kill that is reserved for ending the process.
constexpr Duration kShutdownReserve = std::chrono::milliseconds(700);

Tcp::endpoint ParseListen(const std::string& address) {
  const size_t colon = address.rfind(':');
  ErrorCode error;
  return {asio::ip::make_address(address.substr(0, colon), error),
          static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1))};
}

// Returns true if the body has a transfer coding other than chunked. Like two
// length headers, an unknown coding could smuggle a second request past this
// instance. Beast itself refuses two length headers.
bool HasAmbiguousLength(const http::request<http::string_body>& message) {
  const auto coding = message[http::field::transfer_encoding];
  return !coding.empty() && !boost::beast::iequals(coding, "chunked");
}

enum class ReadEnd { kRequest, kClosed, kRefused };

// Reads one request. The idle timeout applies until its first byte, the header
// timeout from then on.
Task<ReadEnd> ReadRequest(Node& node,
                          CallerStreamPtr caller,
                          RequestParser& parser) {
  const CallerLimits limits =
      node.deployment == nullptr ? CallerLimits{} : node.deployment->limits;
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes) + 1024);
  parser.body_limit(limits.body_bytes);
  parser.eager(false);
  ErrorCode error;
  bool began = caller->buffer.size() > 0;
  caller->stream.expires_after(
      ToSteadyDuration(began ? limits.header_timeout : limits.idle_timeout));
  while (!parser.is_header_done() && !error) {
    co_await http::async_read_some(caller->stream, caller->buffer, parser,
                                   Into(error));
    if (!began) {
      began = true;
      caller->stream.expires_after(ToSteadyDuration(limits.header_timeout));
    }
  }
  caller->busy = parser.is_header_done();
  if (!error && boost::beast::iequals(parser.get()[http::field::expect],
                                      "100-continue")) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(caller->stream,
                               asio::buffer(kContinue.data(), kContinue.size()),
                               Into(error));
  }
  if (!error) {
    caller->stream.expires_after(ToSteadyDuration(limits.header_timeout * 2));
    co_await http::async_read(caller->stream, caller->buffer, parser,
                              Into(error));
  }
  if (!error) {
    co_return ReadEnd::kRequest;
  }
  caller->keep_alive = false;
  std::optional<CallRefusal> refusal;
  if (error == http::error::body_limit) {
    refusal = CallRefusal{kTooLarge, "the body is too long", {}};
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    refusal = CallRefusal{kHeadTooLarge, "the header is too long", {}};
  } else if (error != http::error::end_of_stream &&
             error != http::error::partial_message &&
             error.category() ==
                 make_error_code(http::error::end_of_stream).category()) {
    refusal = CallRefusal{kBadRequest, "the request can't be read", {}};
  }
  if (!refusal) {
    co_return ReadEnd::kClosed;
  }
  co_await SendRefusal(caller, *refusal);
  co_return ReadEnd::kRefused;
}

CallRequest TakeRequest(RequestParser& parser) {
  CallRequest request;
  auto& message = parser.get();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.body = std::move(message.body());
  platform::DecodeRequest(request);
  return request;
}

Task<> ServeConnection(Node& node, CallerStreamPtr caller) {
  node.callers.insert(caller);
  // An error is ignored: without TCP_NODELAY the kernel may delay small writes,
  // but answers still arrive completely.
  ErrorCode no_delay_error;
  caller->stream.socket().set_option(Tcp::no_delay(true), no_delay_error);
  while (!caller->aborted && !caller->disconnected && caller->keep_alive) {
    RequestParser parser;
    const ReadEnd end = co_await ReadRequest(node, caller, parser);
    if (end != ReadEnd::kRequest) {
      break;
    }
    caller->busy = true;
    caller->head_sent = false;
    caller->keep_alive = parser.get().keep_alive() && !node.stopping;
    if (HasAmbiguousLength(parser.get())) {
      caller->keep_alive = false;
      co_await SendRefusal(caller,
                           {kBadRequest, "the body's length is ambiguous", {}});
      break;
    }
    WatchCaller(caller);
    ++node.calls_under_way;
    co_await ServeCall(node, caller, TakeRequest(parser));
    --node.calls_under_way;
    caller->busy = false;
    caller->on_caller_disconnect = nullptr;
    // Cancels WatchCaller, which may still be waiting.
    ErrorCode ignored;
    caller->stream.socket().cancel(ignored);
  }
  node.callers.erase(caller);
  ErrorCode ignored;  // the connection ends in any case
  if (!caller->aborted) {
    caller->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }
  caller->stream.socket().close(ignored);
}

// Answer to any request on the readiness or the metrics address.
struct StatusAnswer {
  bool is_ok = true;
  std::string body;
};
using StatusSource = std::function<StatusAnswer()>;

Task<> AnswerStatus(Tcp::socket socket, StatusSource source) {
  auto caller = std::make_shared<CallerStream>(std::move(socket));
  constexpr auto kIdle = std::chrono::seconds(30);
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  while (!caller->aborted) {
    http::request_parser<http::string_body> parser;
    caller->stream.expires_after(kIdle);
    ErrorCode error;
    co_await http::async_read(caller->stream, caller->buffer, parser,
                              Into(error));
    if (error) {
      break;
    }
    caller->keep_alive = parser.get().keep_alive();
    StatusAnswer answer = source();
    HeaderList headers{{"Content-Type", "text/plain; version=0.0.4"}};
    co_await SendCompleteAnswer(caller, answer.is_ok ? kOk : kUnavailable,
                                std::move(headers), std::move(answer.body));
    if (!caller->keep_alive) {
      break;
    }
  }
}

Task<> ServeStatus(Node& node, std::string address, StatusSource source) {
  Tcp::acceptor acceptor(node.io, ParseListen(address));
  while (true) {
    ErrorCode error;
    Tcp::socket socket(node.io);
    co_await acceptor.async_accept(socket, Into(error));
    if (!error) {
      Spawn(node.io, AnswerStatus(std::move(socket), source));
    }
  }
}

// Accepts the connections in the kernel's backlog. Closing the acceptor would
// drop them, although callers may already have sent requests on them.
void AcceptBacklog(Node& node) {
  ErrorCode error;
  node.callers_acceptor->non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(node.io);
    node.callers_acceptor->accept(socket, error);
    if (!error) {
      auto caller = std::make_shared<CallerStream>(std::move(socket));
      node.callers.insert(caller);
      Spawn(node.io, ServeConnection(node, std::move(caller)));
    }
  }
}

// Returns true if a request is being served or has partly arrived.
bool HasRequestInProgress(CallerStream& caller) {
  ErrorCode error;
  return caller.busy || caller.buffer.size() > 0 ||
         caller.stream.socket().available(error) > 0;
}

}  // namespace

Task<> ServeCallers(Node& node) {
  node.callers_acceptor = std::make_unique<Tcp::acceptor>(
      node.io, ParseListen(node.options.callers_address));
  while (node.callers_acceptor->is_open()) {
    ErrorCode error;
    Tcp::socket socket(node.io);
    co_await node.callers_acceptor->async_accept(socket, Into(error));
    if (error) {
      constexpr Duration kPause = std::chrono::milliseconds(20);
      co_await Sleep(node.io, kPause);
      continue;
    }
    auto caller = std::make_shared<CallerStream>(std::move(socket));
    Spawn(node.io, ServeConnection(node, std::move(caller)));
  }
}

Task<> ServeReadiness(Node& node) {
  StatusSource source = [&node] {
    return IsReady(node) ? StatusAnswer{true, "ready\n"}
                         : StatusAnswer{false, "not ready\n"};
  };
  co_await ServeStatus(node, node.options.readiness_address, std::move(source));
}

Task<> ServeMetrics(Node& node) {
  if (node.options.metrics_address.empty()) {
    co_return;
  }
  StatusSource source = [&node] {
    return StatusAnswer{true, RenderMetrics(node)};
  };
  co_await ServeStatus(node, node.options.metrics_address, std::move(source));
}

Task<> StopGracefully(Node& node) {
  const Duration began = Now();
  node.stopping = true;
  node.planned_stop = {
      .began_at = began,
      .calls_end_at = began + node.options.stop_time - kShutdownReserve};
  WriteLog(node.log, LogLevel::kUnusual, "stopping",
           {{"calls", node.calls_under_way}});
  // The next answer on each connection closes it, so its caller connects to
  // another instance.
  for (const CallerStreamPtr& caller : node.callers) {
    caller->keep_alive = false;
  }
  Spawn(node.io, LeaveFleet(node));
  while (Now() < began + kReadinessDrainTime) {
    co_await Sleep(node.io, kStopPollInterval);
  }
  // Accepts no further connections: the answer to a later request might not
  // complete before the kill.
  AcceptBacklog(node);
  ErrorCode closed;
  node.callers_acceptor->close(closed);
  co_await Sleep(node.io, kMaxRequestInFlightTime);
  for (const CallerStreamPtr& caller : node.callers) {
    caller->keep_alive = false;
    if (!HasRequestInProgress(*caller)) {
      ErrorCode ignored;
      caller->stream.socket().close(ignored);
    }
  }
  while ((!node.callers.empty() || node.tunnels_for_peers > 0) &&
         Now() < node.planned_stop->calls_end_at) {
    co_await Sleep(node.io, kStopPollInterval);
  }
  WriteLog(node.log, LogLevel::kUnusual, "stopped",
           {{"calls", node.calls_under_way}});
  FlushLog(node.log);
  node.io.stop();
}

}  // namespace celerykeel
