#pragma once

#include <cstdint>      // for uint32_t, uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <utility>      // for std::pair
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"             // for Duration
#include "celerykeel/standin/prefix_cache.h"  // for PrefixCache

namespace celerykeel {

struct EngineLimits {
  uint32_t slots = 16;  // requests that run at once
  Duration decode_per_token = std::chrono::milliseconds(10);
  double prefill_tokens_per_second = 20'000;
  uint32_t chunk_tokens = 512;  // of prompts, read in one step
  uint64_t cache_tokens = 65'536;
};

/// @brief A request, as far as the batcher must know it.
struct EngineWork {
  std::string id;
  std::string program;   // owner of the blocks that it leaves behind
  int64_t priority = 0;  // smaller first
  uint64_t prompt_tokens = 0;
  uint64_t answer_tokens = 0;     // at least 1
  std::vector<BlockHash> blocks;  // of the prompt and the answer
};

struct RunningWork {
  EngineWork work;
  uint64_t cached_tokens = 0;  // of the prompt, when it was admitted
  uint64_t read_tokens = 0;    // of the prompt, cached ones included
  uint64_t produced = 0;       // tokens of the answer
  uint64_t chunk = 0;          // tokens of the prompt that this step reads
  size_t pinned = 0;           // blocks
};

/// @brief Place in the queue: priority, then arrival.
using QueueKey = std::pair<int64_t, uint64_t>;

/// @brief Continuous batching: a step gives a token to each request whose
/// prompt is read, and reads chunks of the other prompts. It reads no clock.
///
///     Submit(batcher, work);
///     while (auto ends_at = BeginStep(batcher, now)) {
///       now = *ends_at;
///       Deliver(FinishStep(batcher, now));
///     }
struct EngineBatcher {
  EngineLimits limits;
  PrefixCache cache;
  std::map<QueueKey, EngineWork> waiting;
  std::map<QueueKey, RunningWork> running;
  uint64_t arrivals = 0;
  std::optional<Duration> step_ends_at;
  CacheChanges changes;  // since the last step ended
};

struct WorkProgress {
  std::string id;
  uint64_t produced = 0;
  uint64_t cached_tokens = 0;
  bool is_finished = false;
};

struct StepOutcome {
  std::vector<WorkProgress> progress;
  CacheChanges changes;
};

EngineBatcher MakeEngineBatcher(const EngineLimits& limits);

/// @brief Puts a request into the queue; it may run from the next step on.
void Submit(EngineBatcher& batcher, EngineWork work);

/// @brief Takes a request out, wherever it is; false if it is not there.
bool Cancel(EngineBatcher& batcher, std::string_view id, Duration now);

/// @brief Admits what fits and starts a step.
/// @return when it ends; nothing if there is nothing to run.
std::optional<Duration> BeginStep(EngineBatcher& batcher, Duration now);

/// @brief Ends the step begun last. `now` is not before its end.
StepOutcome FinishStep(EngineBatcher& batcher, Duration now);

}  // namespace celerykeel
