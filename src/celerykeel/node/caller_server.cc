#include "celerykeel/node/caller_server.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <functional>  // for std::function
#include <list>        // for std::list
#include <memory>      // for std::weak_ptr
#include <optional>    // for std::optional
#include <utility>     // for std::move

#include "celerykeel/base/clock.h"              // for Now
#include "celerykeel/core/connection_limits.h"  // for JudgeConnection
#include "celerykeel/node/call_path.h"          // for ServeCall
#include "celerykeel/node/fleet.h"              // for LeaveFleet
#include "celerykeel/node/isolated_task.h"      // for SpawnIsolated
#include "celerykeel/node/node.h"               // for Node
#include "celerykeel/node/request_reader.h"     // for ReadRequest

namespace celerykeel {

namespace {

namespace http = boost::beast::http;

// After a failed accept, for example without a free descriptor.
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);
// Bounds what the kernel holds for a caller that does not read, and lets one
// that does take 40 MB/s at a round trip of 1.5 ms. The kernel doubles it.
constexpr int kSendBufferBytes = 65536;
// An idle connection keeps a buffer of at most this size: an ordinary head.
constexpr size_t kMaxIdleBufferBytes = 4096;
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

// Returns true if a request is being served or has partly arrived.
bool HasRequestInProgress(CallerStream& caller) {
  ErrorCode error;
  return caller.busy || caller.buffer.size() > 0 ||
         caller.stream.socket().available(error) > 0;
}

// Closes the connection that is idle longest. @return false if all have a
// request in progress.
bool CloseLongestIdle(Node& node, const std::string* address) {
  const CallerStreamPtr* oldest = nullptr;
  for (const CallerStreamPtr& caller : node.callers) {
    if ((address == nullptr || caller->address == *address) &&
        caller->stream.socket().is_open() && !HasRequestInProgress(*caller) &&
        (oldest == nullptr || caller->idle_since < (*oldest)->idle_since)) {
      oldest = &caller;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  ErrorCode ignored;  // the connection ends in any case
  (*oldest)->stream.socket().close(ignored);
  return true;
}

void AddCaller(Node& node, const CallerStreamPtr& caller) {
  ErrorCode error;
  const auto remote = caller->stream.socket().remote_endpoint(error);
  caller->address = error ? std::string() : remote.address().to_string();
  caller->idle_since = Now();
  node.callers.insert(caller);
  ++node.callers_by_address[caller->address];
}

void RemoveCaller(Node& node, const CallerStreamPtr& caller) {
  node.callers.erase(caller);
  const auto found = node.callers_by_address.find(caller->address);
  if (found != node.callers_by_address.end() && --found->second == 0) {
    node.callers_by_address.erase(found);
  }
}

// Keeps descriptors for endpoints, peers and the store. @return false if the
// connection must be closed.
bool MayStay(Node& node, const CallerStreamPtr& caller) {
  const OpenConnections open{
      .total = node.callers.size() - 1,
      .of_address = node.callers_by_address[caller->address] - 1};
  const auto verdict =
      JudgeConnection(ConnectionLimitsOf(node.options.max_descriptors), open);
  if (verdict == ConnectionVerdict::kAccept) {
    return true;
  }
  RecordCallerLimit(node, *caller, "connections");
  caller->busy = true;  // not the idle one to close
  const bool is_closed =
      CloseLongestIdle(node, verdict == ConnectionVerdict::kReplaceIdleOfAddress
                                 ? &caller->address
                                 : nullptr);
  caller->busy = false;
  return is_closed;
}

void EndConnection(Node& node, const CallerStreamPtr& caller) {
  RemoveCaller(node, caller);
  caller->memory.reset();
  caller->read_timer.cancel();
  ErrorCode ignored;  // the connection ends in any case
  if (!caller->aborted) {
    caller->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }
  caller->stream.socket().close(ignored);
}

// Counts a call as under way during the lifetime of this object.
class CallUnderWay {
 public:
  explicit CallUnderWay(Node& of_node) : node(of_node) {
    ++this->node.calls_under_way;
  }
  ~CallUnderWay() { --this->node.calls_under_way; }
  CallUnderWay(const CallUnderWay&) = delete;
  CallUnderWay& operator=(const CallUnderWay&) = delete;

 private:
  Node& node;
};

Task<> ServeCounted(Node& node, CallerStreamPtr caller, CallRequest request) {
  const CallUnderWay counted(node);
  co_await ServeCall(node, caller, std::move(request));
}

Task<> ServeConnection(Node& node, CallerStreamPtr caller) {
  // Errors are ignored: without TCP_NODELAY the kernel may delay small writes,
  // but answers still arrive completely.
  ErrorCode option_error;
  caller->stream.socket().set_option(Tcp::no_delay(true), option_error);
  caller->stream.socket().set_option(
      asio::socket_base::send_buffer_size(kSendBufferBytes), option_error);
  // A planned stop may begin between accepting the connection and this call.
  // The first request on it is served all the same.
  bool may_read = true;
  while (may_read && !caller->aborted && !caller->disconnected) {
    std::optional<CallRequest> request = co_await ReadRequest(node, caller);
    if (!request) {
      break;
    }
    caller->busy = true;
    caller->head_sent = false;
    WatchCaller(caller);
    co_await ServeCounted(node, caller, std::move(*request));
    caller->busy = false;
    may_read = caller->keep_alive;
    caller->on_caller_disconnect = nullptr;
    caller->memory.reset();
    caller->idle_since = Now();
    if (caller->buffer.size() == 0 &&
        caller->buffer.capacity() > kMaxIdleBufferBytes) {
      caller->buffer = {};
    }
    // Cancels WatchCaller, which may still be waiting.
    ErrorCode ignored;
    caller->stream.socket().cancel(ignored);
  }
  EndConnection(node, caller);
}

void Admit(Node& node, Tcp::socket socket) {
  auto caller = std::make_shared<CallerStream>(std::move(socket));
  AddCaller(node, caller);
  if (MayStay(node, caller)) {
    SpawnIsolated(node, "caller", ServeConnection(node, caller),
                  [&node, caller] {
                    // Whether the call has run is not known.
                    AbortAnswer(caller);
                    caller->on_caller_disconnect = nullptr;
                    EndConnection(node, caller);
                  });
  } else {
    RemoveCaller(node, caller);
  }
}

// Answer to any request on the readiness or the metrics address.
struct StatusAnswer {
  bool is_ok = true;
  std::string body;
};
using StatusSource = std::function<StatusAnswer()>;

constexpr size_t kStatusHeadBytes = 8192;
constexpr size_t kMaxStatusConnections = 32;
using StatusConnections = std::list<std::weak_ptr<CallerStream>>;

Task<> AnswerStatus(CallerStreamPtr caller, StatusSource source) {
  constexpr auto kIdle = std::chrono::seconds(30);
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  caller->buffer.max_size(kStatusHeadBytes);
  while (!caller->aborted) {
    http::request_parser<http::empty_body> parser;
    parser.header_limit(kStatusHeadBytes);
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

// Beyond the limit the oldest connection is closed, so that a prober is always
// answered.
void LimitStatusConnections(StatusConnections& connections) {
  std::erase_if(connections, [](const auto& weak) { return weak.expired(); });
  if (connections.size() >= kMaxStatusConnections) {
    if (const CallerStreamPtr oldest = connections.front().lock()) {
      ErrorCode ignored;  // the connection ends in any case
      oldest->stream.socket().close(ignored);
    }
    connections.pop_front();
  }
}

Task<> ServeStatus(Node& node, std::string address, StatusSource source) {
  Tcp::acceptor acceptor(node.io, ParseListen(address));
  StatusConnections connections;
  while (true) {
    ErrorCode error;
    Tcp::socket socket(node.io);
    co_await acceptor.async_accept(socket, Into(error));
    if (error) {
      co_await Sleep(node.io, kAcceptPause);
      continue;
    }
    LimitStatusConnections(connections);
    auto caller = std::make_shared<CallerStream>(std::move(socket));
    connections.push_back(caller);
    SpawnIsolated(node, "status", AnswerStatus(std::move(caller), source));
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
      Admit(node, std::move(socket));
    }
  }
}

}  // namespace

Task<> ServeCallers(Node& node) {
  node.callers_acceptor = std::make_unique<Tcp::acceptor>(
      node.io, ParseListen(node.options.callers_address));
  while (node.callers_acceptor->is_open()) {
    ErrorCode error;
    Tcp::socket socket(node.io);
    co_await node.callers_acceptor->async_accept(socket, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;  // closed by StopGracefully
    }
    if (error) {
      // Probably no descriptor is left.
      CloseLongestIdle(node, nullptr);
      co_await Sleep(node.io, kAcceptPause);
      continue;
    }
    Admit(node, std::move(socket));
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
