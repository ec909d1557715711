#pragma once

// Boost.Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>   // for std::function
#include <memory>       // for std::shared_ptr
#include <optional>     // for std::optional
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// @brief A coroutine on the loop.
template <typename T = void>
using Task = asio::awaitable<T>;

/// @brief Completion token that stores an operation's error in `error`.
inline auto Into(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

/// @brief Converts a duration to that of the loop's timers.
inline asio::steady_timer::duration ToSteadyDuration(Duration duration) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(duration);
}

/// @brief Returns the steady time at which `left` will have passed.
inline asio::steady_timer::time_point Until(Duration left) {
  return asio::steady_timer::clock_type::now() + ToSteadyDuration(left);
}

/// @brief Suspends the coroutine for `duration`.
Task<> Sleep(asio::io_context& loop, Duration duration);

/// @brief Starts a coroutine that runs concurrently with the others. An
/// exception that leaves it aborts the process: the instance can't do its duty
/// without the coroutine, and is restarted.
void Spawn(asio::io_context& loop, Task<> task);

/// @brief As Spawn, for a coroutine that others can do without: an exception
/// ends it alone. Then `on_failure` is called with the exception's text.
void Spawn(asio::io_context& loop,
           Task<> task,
           std::function<void(std::string_view)> on_failure);

/// @brief A value that is set once, and that one coroutine at a time can wait
/// for. A second Wait would end the first one early, without the value.
template <typename T>
class Promise {
 public:
  explicit Promise(asio::io_context& loop)
      : timer(loop, asio::steady_timer::time_point::max()) {}

  void SetValue(T given) {
    if (!this->value) {
      this->value = std::move(given);
      this->timer.cancel();
    }
  }

  bool HasValue() const { return this->value.has_value(); }

  /// @brief Waits for the value for at most `timeout`.
  /// @return the value, or nothing if it was not set in time.
  Task<std::optional<T>> Wait(Duration timeout) {
    if (!this->value) {
      this->timer.expires_after(ToSteadyDuration(timeout));
      ErrorCode error;
      co_await this->timer.async_wait(Into(error));
    }
    co_return this->value;
  }

 private:
  asio::steady_timer timer;
  std::optional<T> value;
};

}  // namespace celerykeel
