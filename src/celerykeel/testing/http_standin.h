#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdint>     // for uint64_t
#include <functional>  // for std::function
#include <limits>      // for std::numeric_limits
#include <memory>      // for std::shared_ptr, std::unique_ptr
#include <vector>      // for std::vector

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
  int generation = -1;  // see StoreAccess; below 0: no request was read
};
using StandinConnectionPtr = std::shared_ptr<StandinConnection>;

/// @brief Answers one request. Returns false to close the connection.
using StandinHandler =
    std::function<Task<bool>(StandinConnectionPtr, StandinRequest)>;

/// @brief The open sockets of a stand-in.
struct StandinSockets {
  std::unique_ptr<Tcp::acceptor> acceptor;
  std::vector<std::weak_ptr<StandinConnection>> connections;
  int accepted = 0;  // connections since the start
  // Called with the head of each request, before its body is read. Returns true
  // if it has handled the request; the connection is closed then.
  std::function<Task<bool>(StandinConnectionPtr, const StandinRequest&)>
      on_head;
};

/// @brief Closes all sockets, as the end of a process does.
inline void CloseAll(StandinSockets& sockets) {
  ErrorCode ignored;  // the sockets end in any case
  sockets.acceptor->close(ignored);
  for (const auto& weak : sockets.connections) {
    if (const StandinConnectionPtr connection = weak.lock()) {
      connection->stream.socket().close(ignored);
    }
  }
  sockets.connections.clear();
}

inline Task<> ServeStandinConnection(StandinConnectionPtr connection,
                                     StandinHandler handler,
                                     StandinSockets& sockets) {
  while (true) {
    http::request_parser<http::string_body> parser;
    // The default is 1 MiB.
    parser.body_limit(std::numeric_limits<uint64_t>::max());
    ErrorCode error;
    co_await http::async_read_header(connection->stream, connection->buffer,
                                     parser, Into(error));
    if (!error && sockets.on_head) {
      if (co_await sockets.on_head(connection, parser.get())) {
        connection->stream.socket().close(error);
        co_return;
      }
    }
    if (!error) {
      co_await http::async_read(connection->stream, connection->buffer, parser,
                                Into(error));
    }
    StandinRequest request = parser.release();
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

/// @brief Serves until CloseAll.
inline Task<> ServeStandin(asio::io_context& loop,
                           Tcp::endpoint address,
                           StandinHandler handler,
                           StandinSockets& sockets) {
  sockets.acceptor = std::make_unique<Tcp::acceptor>(loop, address);
  while (sockets.acceptor->is_open()) {
    ErrorCode error;
    Tcp::socket socket(loop);
    co_await sockets.acceptor->async_accept(socket, Into(error));
    if (!error) {
      ++sockets.accepted;
      auto connection = std::make_shared<StandinConnection>(std::move(socket));
      std::erase_if(sockets.connections,
                    [](const auto& weak) { return weak.expired(); });
      sockets.connections.push_back(connection);
      Spawn(loop, ServeStandinConnection(connection, handler, sockets));
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
