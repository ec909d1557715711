#include "celerykeel/core/run_queue.h"

#include <utility>  // for std::move

namespace celerykeel {

void Push(RunQueue& queue, QueuedCall call) {
  queue.calls.push_back(std::move(call));
}

bool Remove(RunQueue& queue, const CallKey& key) {
  return std::erase_if(queue.calls, [&](const QueuedCall& call) {
           return call.key == key;
         }) != 0;
}

}  // namespace celerykeel
