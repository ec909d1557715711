#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>  // for std::function
#include <memory>      // for std::shared_ptr

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel::testing {

namespace http = boost::beast::http;
using StandinRequest = http::request<http::string_body>;
using StandinResponse = http::response<http::string_body>;

/// @brief A connection to a stand-in.
struct StandinConnection {
  explicit StandinConnection(Tcp::socket socket) : stream(std::move(socket)) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};
using StandinConnectionPtr = std::shared_ptr<StandinConnection>;

/// @brief Answers one request. Returns false to close the connection.
using StandinHandler =
    std::function<Task<bool>(StandinConnectionPtr, StandinRequest)>;

inline Task<> ServeStandinConnection(StandinConnectionPtr connection,
                                     StandinHandler handler) {
  while (true) {
    StandinRequest request;
    ErrorCode error;
    co_await http::async_read(connection->stream, connection->buffer, request,
                              Into(error));
    if (error) {
      co_return;
    }
    const bool keep_open = co_await handler(connection, std::move(request));
    if (!keep_open) {
      connection->stream.socket().close(error);
      co_return;
    }
  }
}

inline Task<> ServeStandin(asio::io_context& loop,
                           Tcp::endpoint address,
                           StandinHandler handler) {
  Tcp::acceptor acceptor(loop, address);
  while (true) {
    ErrorCode error;
    Tcp::socket socket(loop);
    co_await acceptor.async_accept(socket, Into(error));
    if (!error) {
      auto connection = std::make_shared<StandinConnection>(std::move(socket));
      Spawn(loop, ServeStandinConnection(connection, handler));
    }
  }
}

inline Task<bool> Respond(StandinConnectionPtr connection,
                          StandinResponse response) {
  response.prepare_payload();
  ErrorCode error;
  co_await http::async_write(connection->stream, response, Into(error));
  co_return !error;
}

}  // namespace celerykeel::testing
