#pragma once

#include <deque>     // for std::deque
#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/call.h"  // for CallKey, CallWork
#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief A call waiting for an endpoint.
struct QueuedCall {
  CallKey key;
  std::shared_ptr<const CallWork> work;
  std::vector<std::string> avoid;  // endpoints at which the call failed
  Duration queued_at{};
  Duration not_before{};  // end of a retry's backoff
};

/// @brief Calls waiting for an endpoint, in first-in, first-out order.
struct RunQueue {
  std::deque<QueuedCall> calls;
};

void Push(RunQueue& queue, QueuedCall call);

/// @brief Removes a call from the queue.
/// @return false if the call is not in the queue.
bool Remove(RunQueue& queue, const CallKey& key);

}  // namespace celerykeel
