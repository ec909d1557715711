#include "celerykeel/node/caller_stream.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>  // for recv

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/core/header_names.h"  // for IsHopByHop
#include "platform/headers.h"              // for platform::EncodeRetryAfter

namespace celerykeel {

namespace {

namespace http = boost::beast::http;

constexpr int kVersion11 = 11;
// A caller that takes no bytes of an answer for this time is considered
// disconnected.
constexpr auto kWriteTimeout = std::chrono::seconds(10);
// From the end of a refused request's answer to the close of its connection.
constexpr auto kDrainTime = std::chrono::seconds(2);
constexpr size_t kDrainPieceBytes = 16384;

template <typename Message>
void FillHead(Message& message,
              const CallerStream& caller,
              const HeaderList& headers) {
  message.version(kVersion11);
  for (const auto& [name, value] : headers) {
    if (!IsHopByHop(name) && !IsSameHeaderName(name, "Proxy-Authenticate")) {
      message.insert(name, value);
    }
  }
  message.keep_alive(caller.keep_alive);
}

// Stops the work for a caller that is gone.
void HandleFailedWrite(CallerStream& caller) {
  caller.disconnected = true;
  caller.aborted = true;
  if (caller.on_caller_disconnect) {
    caller.on_caller_disconnect();
  }
}

void RecordProgress(const CallerStream& caller) {
  if (caller.memory != nullptr) {
    caller.memory->RecordProgress();
  }
}

// The timeout applies to each piece that the kernel accepts, as a large answer
// on a slow link takes long.
Task<> WriteAll(CallerStreamPtr caller, std::string bytes) {
  std::string_view rest(bytes);
  ErrorCode error;
  while (!rest.empty() && !error) {
    caller->stream.expires_after(kWriteTimeout);
    const size_t count = co_await caller->stream.async_write_some(
        asio::buffer(rest.data(), rest.size()), Into(error));
    rest.remove_prefix(count);
    RecordProgress(*caller);
  }
  caller->stream.expires_never();
  if (error) {
    HandleFailedWrite(*caller);
  }
}

// As WriteAll, for a message or its head.
template <typename Serializer>
Task<> WriteMessage(CallerStreamPtr caller,
                    Serializer& serializer,
                    bool is_head_only) {
  ErrorCode error;
  while (!error && !serializer.is_done() &&
         !(is_head_only && serializer.is_header_done())) {
    caller->stream.expires_after(kWriteTimeout);
    co_await http::async_write_some(caller->stream, serializer, Into(error));
    RecordProgress(*caller);
  }
  caller->stream.expires_never();
  if (error) {
    HandleFailedWrite(*caller);
  }
}

void OnReadTimer(const CallerStreamPtr& caller, const ErrorCode& cancelled) {
  if (cancelled) {
    return;
  }
  caller->is_read_timer_set = false;
  if (caller->read_deadline == CallerStream::kNoDeadline) {
    return;
  }
  if (asio::steady_timer::clock_type::now() < caller->read_deadline) {
    SetReadDeadline(caller, caller->read_deadline);
    return;
  }
  caller->read_timed_out = true;
  caller->stream.cancel();
}

}  // namespace

// The timer is only ever moved to an earlier time: a later deadline is set when
// it fires, so that each piece of a body costs no timer operation.
void SetReadDeadline(const CallerStreamPtr& caller,
                     asio::steady_timer::time_point until) {
  caller->read_deadline = until;
  if (until == CallerStream::kNoDeadline ||
      (caller->is_read_timer_set && caller->read_timer.expiry() <= until)) {
    return;
  }
  caller->is_read_timer_set = true;
  caller->read_timer.expires_at(until);
  // Not an owner: a connection ends without waiting for its timer.
  caller->read_timer.async_wait(
      [weak = std::weak_ptr<CallerStream>(caller)](const ErrorCode& cancelled) {
        if (const CallerStreamPtr held = weak.lock()) {
          OnReadTimer(held, cancelled);
        }
      });
}

void CloseForMemory(CallerStream& caller) {
  caller.closed_for_memory = true;
  caller.stream.cancel();
}

Task<> SendCompleteAnswer(CallerStreamPtr caller,
                          int status,
                          HeaderList headers,
                          std::string body) {
  http::response<http::string_body> message;
  message.result(static_cast<unsigned>(status));
  FillHead(message, *caller, headers);
  message.body() = std::move(body);
  message.prepare_payload();
  caller->head_sent = true;
  http::response_serializer<http::string_body> serializer(message);
  co_await WriteMessage(caller, serializer, false);
}

Task<> SendRefusal(CallerStreamPtr caller, CallRefusal refusal) {
  HeaderList headers{{"Content-Type", "application/problem+json"}};
  if (refusal.retry_after > Duration::zero()) {
    headers.push_back(platform::EncodeRetryAfter(refusal.retry_after));
  }
  std::string body =
      fmt::format(R"({{"type":"about:blank","title":"{}","status":{}}})",
                  refusal.reason, refusal.status);
  co_await SendCompleteAnswer(caller, refusal.status, std::move(headers),
                              std::move(body));
}

Task<> BeginStream(CallerStreamPtr caller, int status, HeaderList headers) {
  http::response<http::empty_body> message;
  message.result(static_cast<unsigned>(status));
  FillHead(message, *caller, headers);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  serializer.split(true);
  caller->head_sent = true;
  co_await WriteMessage(caller, serializer, true);
}

Task<> SendBodyChunk(CallerStreamPtr caller, std::string piece) {
  std::string chunk = fmt::format("{:x}\r\n", piece.size());
  chunk += piece;
  chunk += "\r\n";
  co_await WriteAll(caller, std::move(chunk));
}

Task<> EndStream(CallerStreamPtr caller) {
  co_await WriteAll(caller, "0\r\n\r\n");
}

Task<> CloseAfterRefusal(CallerStreamPtr caller, size_t max_bytes) {
  caller->keep_alive = false;
  caller->is_draining = true;
  ErrorCode error;
  caller->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
  caller->read_timed_out = false;
  SetReadDeadline(caller, asio::steady_timer::clock_type::now() + kDrainTime);
  size_t dropped = caller->buffer.size();
  caller->buffer.clear();
  while (!error && dropped < max_bytes && !caller->closed_for_memory) {
    dropped += co_await caller->stream.async_read_some(
        caller->buffer.prepare(kDrainPieceBytes), Into(error));
  }
  caller->is_draining = false;
}

void AbortAnswer(const CallerStreamPtr& caller) {
  caller->aborted = true;
  caller->keep_alive = false;
  ErrorCode ignored;  // the connection ends in any case
  caller->stream.socket().close(ignored);
}

void WatchCaller(const CallerStreamPtr& caller) {
  caller->stream.socket().async_wait(
      Tcp::socket::wait_read, [caller](const ErrorCode& error) {
        if (error || !caller->busy || caller->disconnected) {
          return;
        }
        char byte = 0;
        const ssize_t count = recv(caller->stream.socket().native_handle(),
                                   &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count > 0) {
          return;  // the next request, pipelined; read after the current answer
        }
        caller->disconnected = true;
        if (caller->on_caller_disconnect) {
          caller->on_caller_disconnect();
        }
      });
}

}  // namespace celerykeel
