#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>   // for std::function
#include <memory>       // for std::shared_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/call_request.h"    // for HeaderList
#include "celerykeel/node/asio.h"            // for Task
#include "celerykeel/node/request_memory.h"  // for HeldMemory

namespace celerykeel {

/// @brief A caller's connection and the state of its current answer.
struct CallerStream {
  explicit CallerStream(Tcp::socket socket)
      : stream(std::move(socket)), read_timer(stream.get_executor()) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::string address;  // of the caller, without the port
  // Reading ends at this time; see SetReadDeadline.
  asio::steady_timer::time_point read_deadline = kNoDeadline;
  asio::steady_timer read_timer;
  bool is_read_timer_set = false;
  bool read_timed_out = false;
  // Memory of the current request; null between requests.
  std::unique_ptr<HeldMemory> memory;
  bool closed_for_memory = false;
  bool is_draining = false;   // in CloseAfterRefusal
  Duration idle_since{};      // end of the last answer
  bool keep_alive = true;     // after the current answer
  bool busy = false;          // a request was read and not yet answered
  bool disconnected = false;  // the caller disconnected or a write failed
  bool head_sent = false;
  bool aborted = false;  // an answer was aborted: nothing may follow it
  std::function<void()> on_caller_disconnect;

  static constexpr auto kNoDeadline = asio::steady_timer::time_point::max();
};
using CallerStreamPtr = std::shared_ptr<CallerStream>;

/// @brief Ends reading at `until`: the pending read fails, and
/// `read_timed_out` is set. kNoDeadline: reading may take any time. The
/// connection stays open, so that an answer can be sent.
void SetReadDeadline(const CallerStreamPtr& caller,
                     asio::steady_timer::time_point until);

/// @brief Ends a request whose memory others need: a pending read or write
/// fails, and `closed_for_memory` is set.
void CloseForMemory(CallerStream& caller);

/// @brief The answer to a refused request.
struct CallRefusal {
  int status = 503;
  std::string_view reason;  // text in the answer's body
  Duration retry_after{};   // zero: no retry delay is sent
};

/// @brief The refusal of a request for lack of memory; it has not run. The
/// caller's retry finds memory, unless others go on taking it.
inline constexpr CallRefusal kNoMemory{
    503, "not run: other requests use the memory", std::chrono::seconds(1)};

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

/// @brief Closes the connection after an answer to a request that has not been
/// read to its end. Reads and drops at most `max_bytes` for a short time, as
/// closing a connection with unread bytes would reset it, and the caller might
/// lose the answer.
Task<> CloseAfterRefusal(CallerStreamPtr caller, size_t max_bytes);

/// @brief Closes the connection before the end of the answer, so that the
/// caller does not take it for complete.
void AbortAnswer(const CallerStreamPtr& caller);

/// @brief Calls `on_caller_disconnect` if the caller disconnects while its
/// request is being served. Closing only the sending side counts as well. Stops
/// watching if the next request arrives on the connection.
void WatchCaller(const CallerStreamPtr& caller);

}  // namespace celerykeel
