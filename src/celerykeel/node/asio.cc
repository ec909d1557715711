#include "celerykeel/node/asio.h"

#include <cstdlib>    // for std::abort
#include <exception>  // for std::exception_ptr

#include "celerykeel/node/log_sink.h"  // for WriteFatal

namespace celerykeel {

Task<> Sleep(asio::io_context& loop, Duration duration) {
  asio::steady_timer timer(loop, ToSteadyDuration(duration));
  ErrorCode ignored;  // the timer is never cancelled
  co_await timer.async_wait(Into(ignored));
}

void Spawn(asio::io_context& loop, Task<> task) {
  asio::co_spawn(loop, std::move(task), [](const std::exception_ptr& thrown) {
    if (!thrown) {
      return;
    }
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
      WriteFatal(error.what());
    }
    std::abort();
  });
}

}  // namespace celerykeel
