#pragma once

#include <functional>  // for std::function
#include <future>      // for std::promise

#include "celerykeel/node/asio.h"  // for asio::io_context

namespace celerykeel::testing {

/// @brief Runs `task` on a loop of another thread and waits for its end.
inline void RunOnLoop(asio::io_context& loop,
                      const std::function<void()>& task) {
  std::promise<void> done;
  asio::post(loop, [&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace celerykeel::testing
