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
// A caller that has not accepted a write completely within this time is
// considered disconnected.
constexpr auto kWriteTimeout = std::chrono::seconds(10);

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

Task<> WriteAll(CallerStreamPtr caller, std::string bytes) {
  caller->stream.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await asio::async_write(caller->stream, asio::buffer(bytes), Into(error));
  if (error) {
    caller->disconnected = true;
    caller->aborted = true;
  }
}

}  // namespace

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
  caller->stream.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await http::async_write(caller->stream, message, Into(error));
  if (error) {
    caller->disconnected = true;
    caller->aborted = true;
  }
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
  caller->head_sent = true;
  caller->stream.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await http::async_write_header(caller->stream, serializer, Into(error));
  if (error) {
    caller->disconnected = true;
    caller->aborted = true;
  }
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
