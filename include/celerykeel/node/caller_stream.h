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

/// @brief A caller's connection and the state of its current answer.
struct CallerStream {
  explicit CallerStream(Tcp::socket socket) : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  bool keep_alive = true;     // after the current answer
  bool busy = false;          // a request was read and not yet answered
  bool disconnected = false;  // the caller disconnected or a write failed
  bool head_sent = false;
  bool aborted = false;  // an answer was aborted: nothing may follow it
  std::function<void()> on_caller_disconnect;
};
using CallerStreamPtr = std::shared_ptr<CallerStream>;

/// @brief The answer to a refused request.
struct CallRefusal {
  int status = 503;
  std::string_view reason;  // text in the answer's body
  Duration retry_after{};   // zero: no retry delay is sent
};

/// @brief Sends a refusal that this instance itself decided.
Task<> SendRefusal(CallerStreamPtr caller, CallRefusal refusal);

/// @brief Sends a complete answer.
Task<> SendCompleteAnswer(CallerStreamPtr caller,
                          int status,
                          HeaderList headers,
                          std::string body);

/// @brief Sends the head of an answer of unknown length.
Task<> BeginStream(CallerStreamPtr caller, int status, HeaderList headers);
/// @brief Sends `piece` as one chunk of the body. It must not be empty: an
/// empty chunk would end the answer.
Task<> SendBodyChunk(CallerStreamPtr caller, std::string piece);
/// @brief Ends the answer as complete.
Task<> EndStream(CallerStreamPtr caller);

/// @brief Closes the connection before the end of the answer, so that the
/// caller does not take it for complete.
void AbortAnswer(const CallerStreamPtr& caller);

/// @brief Calls `on_caller_disconnect` if the caller disconnects while its
/// request is being served. Closing only the sending side counts as well. Stops
/// watching if the next request arrives on the connection.
void WatchCaller(const CallerStreamPtr& caller);

}  // namespace celerykeel
