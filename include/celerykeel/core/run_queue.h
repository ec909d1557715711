#pragma once

#include <deque>     // for std::deque
#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/call.h"  // for CallKey, CallWork
#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief A call that waits for an endpoint.
struct QueuedCall {
  CallKey key;
  std::shared_ptr<const CallWork> work;
  std::vector<std::string> avoid;  // endpoints that failed it
  Duration queued_at{};
  Duration not_before{};  // a retry waits for its backoff
};

/// @brief Calls that wait for an endpoint, in the order in which they are to
/// run: first come, first served.
struct RunQueue {
  std::deque<QueuedCall> calls;
};

void Push(RunQueue& queue, QueuedCall call);

/// @brief Takes a call out; false if it is not in the queue.
bool Remove(RunQueue& queue, const CallKey& key);

}  // namespace celerykeel
