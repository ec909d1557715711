#include "celerykeel/node/out_connection.h"

#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>  // for TCP_USER_TIMEOUT
#include <sys/socket.h>   // for recv

#include <algorithm>  // for std::min
#include <stdexcept>  // for std::length_error
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/node/answer_reader.h"  // for AnswerReader

namespace celerykeel {

namespace {

namespace http = boost::beast::http;

// Of an answer of the store or of an endpoint's health check. The store sends a
// few MiB at a time, and the smallest machine has 88 MB.
constexpr size_t kMaxExchangeBodyBytes = 16UL * 1024 * 1024;
// 16 MiB take 6 s on the slowest links (22 Mbit/s).
constexpr Duration kMaxAnswerTime = std::chrono::seconds(12);
constexpr int kVersion11 = 11;
// The kernel closes a connection if sent bytes stay unacknowledged this long.
constexpr unsigned kTcpUserTimeoutMillis = 2500;

std::optional<Tcp::endpoint> ParseAddress(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  ErrorCode error;
  const auto ip =
      asio::ip::make_address(std::string(address.substr(0, colon)), error);
  const int port = std::atoi(std::string(address.substr(colon + 1)).c_str());
  constexpr int kMaxPort = 65535;
  if (error || port <= 0 || port > kMaxPort) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, static_cast<uint16_t>(port));
}

// Returns true if the connection is open and has no bytes to read. Anything
// readable on an idle connection is its end or belongs to no request.
bool IsOpenAndIdle(OutConnection& connection) {
  char byte = 0;
  const ssize_t count = recv(connection.stream.socket().native_handle(), &byte,
                             1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

OutConnectionPtr TakeIdle(OutPool& pool,
                          const std::string& address,
                          Duration max_idle) {
  const auto found = pool.idle.find(address);
  if (found == pool.idle.end()) {
    return nullptr;
  }
  std::deque<OutConnectionPtr>& idle = found->second;
  const Duration now = Now();
  while (!idle.empty()) {
    // The most recently used connection is the last one.
    if (now - idle.back()->idle_since >= max_idle) {
      return nullptr;  // calls that accept longer idle ones may use them
    }
    const bool takes_oldest =
        max_idle > pool.spared_idle &&
        now - idle.front()->idle_since >= pool.spared_idle;
    OutConnectionPtr connection =
        std::move(takes_oldest ? idle.front() : idle.back());
    if (takes_oldest) {
      idle.pop_front();
    } else {
      idle.pop_back();
    }
    const Duration idle_for = now - connection->idle_since;
    if (idle_for < std::min(max_idle, connection->idle_limit) &&
        IsOpenAndIdle(*connection)) {
      connection->was_idle = true;
      return connection;
    }
    Close(*connection);
  }
  return nullptr;
}

}  // namespace

void Close(OutConnection& connection) {
  ErrorCode ignored;  // the connection ends in any case
  connection.stream.socket().close(ignored);
}

Task<tl::expected<OutConnectionPtr, ConnectError>> Connect(
    asio::io_context& loop,
    OutPool& pool,
    const std::string& address,
    Duration max_idle,
    Duration timeout) {
  if (OutConnectionPtr idle = TakeIdle(pool, address, max_idle)) {
    co_return idle;
  }
  const auto endpoint = ParseAddress(address);
  if (pool.fault == ConnectFault::kThrows) {
    throw std::length_error("injected");
  }
  if (pool.fault == ConnectFault::kSilent) {
    co_await Sleep(loop, timeout);
  }
  if (!endpoint) {
    co_return tl::unexpected(ConnectError::kInvalidAddress);
  }
  if (pool.fault != ConnectFault::kNone) {
    co_return tl::unexpected(pool.fault == ConnectFault::kRefused
                                 ? ConnectError::kRefused
                                 : ConnectError::kFailed);
  }
  auto connection = std::make_shared<OutConnection>(loop);
  connection->stream.expires_after(ToSteadyDuration(timeout));
  ErrorCode error;
  co_await connection->stream.async_connect(*endpoint, Into(error));
  if (error) {
    co_return tl::unexpected(error == asio::error::connection_refused
                                 ? ConnectError::kRefused
                                 : ConnectError::kFailed);
  }
  ++pool.opened;
  ErrorCode ignored;  // the connection works without these options
  connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
  setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP,
             TCP_USER_TIMEOUT, &kTcpUserTimeoutMillis,
             sizeof(kTcpUserTimeoutMillis));
  co_return connection;
}

void ReturnToPool(OutPool& pool,
                  const std::string& address,
                  const OutConnectionPtr& connection,
                  const AnswerHead& head,
                  size_t max_idle) {
  auto& idle = pool.idle[address];
  if (!head.keep_alive || connection->tunnel != nullptr ||
      connection->buffer.size() > 0 || head.idle_limit <= Duration::zero()) {
    Close(*connection);
    return;
  }
  connection->stream.expires_never();
  connection->idle_since = Now();
  connection->idle_limit = head.idle_limit;
  idle.push_back(connection);
  while (idle.size() > max_idle) {
    Close(*idle.front());
    idle.pop_front();
  }
}

void AbortExchangesBefore(OutPool& pool, Duration moment) {
  for (const OutConnectionPtr& connection : pool.busy) {
    if (connection->active_at < moment) {
      connection->is_abandoned = true;
      Close(*connection);
    }
  }
}

void CloseIdleBefore(OutPool& pool, std::string_view address, Duration moment) {
  const auto found = pool.idle.find(address);
  if (found == pool.idle.end()) {
    return;
  }
  std::erase_if(found->second, [moment](const OutConnectionPtr& connection) {
    const bool is_old = connection->idle_since < moment;
    if (is_old) {
      Close(*connection);
    }
    return is_old;
  });
}

void CloseExpiredIdle(OutPool& pool, Duration now) {
  for (auto& [address, idle] : pool.idle) {
    while (!idle.empty() &&
           now - idle.front()->idle_since >= idle.front()->idle_limit) {
      Close(*idle.front());
      idle.pop_front();
    }
  }
  std::erase_if(pool.idle,
                [](const auto& entry) { return entry.second.empty(); });
}

namespace {

using Message = http::request<http::span_body<const char>>;

// @return false if a name or a value is longer than Beast's fields take.
bool Fill(Message& message, const OutRequest& request) try {
  message.version(kVersion11);
  message.method_string({request.method.data(), request.method.size()});
  message.target({request.target.data(), request.target.size()});
  if (!request.host.empty()) {
    message.set(
        http::field::host,
        boost::beast::string_view(request.host.data(), request.host.size()));
  }
  for (const auto& [name, value] : request.headers) {
    if (!boost::beast::iequals(name, "Host")) {
      message.insert(name, value);
    }
  }
  message.body() = {request.body.data(), request.body.size()};
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    message.content_length(request.body.size());
  }
  return true;
} catch (const std::length_error&) {
  return false;
}

}  // namespace

Task<std::optional<ExchangeError>> SendRequest(OutConnection& connection,
                                               const OutRequest& request,
                                               Duration timeout) {
  Message message;
  if (!Fill(message, request)) {
    co_return ExchangeError::kUnsendable;
  }
  connection.stream.expires_after(ToSteadyDuration(timeout));
  ErrorCode error;
  connection.request_bytes =
      co_await http::async_write(connection.stream, message, Into(error));
  connection.is_request_cut = static_cast<bool>(error);
  if (error == boost::beast::error::timeout) {
    co_return ExchangeError::kSilent;
  }
  if (error) {
    co_return ExchangeError::kClosed;
  }
  co_return std::nullopt;
}

namespace {

Task<tl::expected<CompleteAnswer, ExchangeError>> ExchangeOver(
    OutConnectionPtr connection,
    const OutRequest& request,
    Duration timeout,
    Duration max_gap,
    asio::steady_timer::time_point until) {
  if (const auto error = co_await SendRequest(*connection, request, timeout)) {
    co_return tl::unexpected(*error);
  }
  AnswerReader reader(connection);
  CompleteAnswer answer;
  auto head = co_await reader.ReadHead(until);
  if (!head) {
    co_return tl::unexpected(head.error());
  }
  answer.head = std::move(*head);
  const auto body_until = Until(kMaxAnswerTime);
  while (true) {
    connection->active_at = Now();
    const auto some =
        co_await reader.ReadSome(std::min(body_until, Until(max_gap)));
    if (!some) {
      co_return tl::unexpected(some.error());
    }
    if (!*some) {
      co_return answer;
    }
    answer.body += **some;
    if (answer.body.size() > kMaxExchangeBodyBytes) {
      co_return tl::unexpected(ExchangeError::kMalformed);
    }
  }
}

}  // namespace

Task<tl::expected<CompleteAnswer, ExchangeError>> Exchange(
    asio::io_context& loop,
    OutPool& pool,
    std::string address,
    OutRequest request,
    Duration timeout,
    Duration max_gap) {
  const auto until = Until(timeout);
  const auto connected =
      co_await Connect(loop, pool, address, Duration::max(), timeout);
  if (!connected) {
    co_return tl::unexpected(ExchangeError::kNotConnected);
  }
  const OutConnectionPtr& connection = *connected;
  connection->active_at = Now();
  pool.busy.insert(connection);
  auto answer =
      co_await ExchangeOver(connection, request, timeout, max_gap, until);
  pool.busy.erase(connection);
  if (answer) {
    ReturnToPool(pool, address, connection, answer->head);
  } else {
    Close(*connection);
    if (connection->is_abandoned) {
      co_return tl::unexpected(ExchangeError::kAbandoned);
    }
  }
  co_return answer;
}

}  // namespace celerykeel
