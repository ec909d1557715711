#pragma once

#include <cstdint>     // for uint32_t
#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/net/log_client.h"  // for LogClient, LogPage, LogError

namespace celerykeel {

/// @brief A request for part of an incarnation's journal.
struct JournalRequest {
  Incarnation incarnation = 0;
  Offset from = 0;
  uint32_t max = 0;
  std::function<void(const tl::expected<LogPage, LogError>&)> done;
};

/// @brief The thread that reads journals. `done` runs on it.
class JournalReader {
 public:
  static std::unique_ptr<JournalReader> Create(LogClientOptions options);
  ~JournalReader();

  /// @brief Queues a request, from any thread.
  /// @return false if too many wait; `done` does not run then.
  bool Read(JournalRequest request);

 private:
  struct State;
  explicit JournalReader(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
