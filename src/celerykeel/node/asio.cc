#include "celerykeel/node/asio.h"

#include <cstdlib>    // for std::abort
#include <exception>  // for std::exception_ptr
#include <string>     // for std::string
#include <utility>    // for std::move

#include "celerykeel/node/log_sink.h"  // for WriteFatal

namespace celerykeel {

namespace {

std::string TextOf(const std::exception_ptr& thrown) {
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "not a standard exception";
  }
}

}  // namespace

Task<> Sleep(asio::io_context& loop, Duration duration) {
  asio::steady_timer timer(loop, ToSteadyDuration(duration));
  ErrorCode ignored;  // the timer is never cancelled
  co_await timer.async_wait(Into(ignored));
}

void Spawn(asio::io_context& loop, Task<> task) {
  Spawn(loop, std::move(task), [](std::string_view reason) {
    WriteFatal(reason);
    std::abort();
  });
}

void Spawn(asio::io_context& loop,
           Task<> task,
           std::function<void(std::string_view)> on_failure) {
  asio::co_spawn(
      loop, std::move(task),
      [failed = std::move(on_failure)](const std::exception_ptr& thrown) {
        if (thrown) {
          failed(TextOf(thrown));
        }
      });
}

}  // namespace celerykeel
