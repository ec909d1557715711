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

#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// @brief A coroutine on the loop.
template <typename T = void>
using Task = asio::awaitable<T>;

/// @brief Completion token: an operation's error goes into `error`.
inline auto Into(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

/// @brief A span of the loop's timers.
inline asio::steady_timer::duration Steady(Duration duration) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(duration);
}

/// @brief The moment at which `left` has passed.
inline asio::steady_timer::time_point Until(Duration left) {
  return asio::steady_timer::clock_type::now() + Steady(left);
}

/// @brief Lets the coroutine sleep.
Task<> Sleep(asio::io_context& loop, Duration duration);

/// @brief Runs a coroutine beside the others. An exception that leaves it ends
/// the process: state would be half changed.
void Spawn(asio::io_context& loop, Task<> task);

/// @brief A value that one coroutine waits for and another gives, once.
template <typename T>
class Promise {
 public:
  explicit Promise(asio::io_context& loop)
      : timer(loop, asio::steady_timer::time_point::max()) {}

  void Give(T given) {
    if (!this->value) {
      this->value = std::move(given);
      this->timer.cancel();
    }
  }

  bool IsGiven() const { return this->value.has_value(); }

  /// @return nothing if `patience` ends first.
  Task<std::optional<T>> Wait(Duration patience) {
    if (!this->value) {
      this->timer.expires_after(Steady(patience));
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
