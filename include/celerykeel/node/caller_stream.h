#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>   // for std::function
#include <memory>       // for std::shared_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/call_request.h"  // for HeaderList
#include "celerykeel/node/asio.h"          // for Task

namespace celerykeel {

/// @brief A caller's connection, and the answer under way on it.
struct CallerStream {
  explicit CallerStream(Tcp::socket socket) : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  bool keep_alive = true;  // after the answer under way
  bool busy = false;       // a request was read and is not answered yet
  bool gone = false;       // the caller closed it
  bool head_sent = false;
  bool broken = false;  // an answer ended early: nothing may follow it
  std::function<void()> on_gone;
};
using CallerStreamPtr = std::shared_ptr<CallerStream>;

/// @brief Why a request is refused, in words and for a program.
struct CallRefusal {
  int status = 503;
  std::string_view reason;
  Duration retry_after{};  // zero: none is sent
};

/// @brief Sends a refusal of this instance's own.
Task<> SendRefusal(CallerStreamPtr caller, CallRefusal refusal);

/// @brief Sends an endpoint's whole answer.
Task<> SendWhole(CallerStreamPtr caller,
                 int status,
                 HeaderList headers,
                 std::string body);

/// @brief Begins an answer whose length is not known.
Task<> BeginStream(CallerStreamPtr caller, int status, HeaderList headers);
Task<> SendPiece(CallerStreamPtr caller, std::string piece);
/// @brief Ends it as complete.
Task<> EndStream(CallerStreamPtr caller);

/// @brief Closes the connection, so that what was sent doesn't look complete.
void BreakOff(const CallerStreamPtr& caller);

/// @brief Watches for the caller's leaving while its request is under way.
void WatchCaller(const CallerStreamPtr& caller);

}  // namespace celerykeel
