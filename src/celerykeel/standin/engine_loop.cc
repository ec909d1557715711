#include <algorithm>  // for std::max
#include <chrono>     // for std::chrono::milliseconds

#include "celerykeel/base/clock.h"  // for Now, WallNow

#include "celerykeel/standin/engine_state.h"  // for EngineState

namespace celerykeel {

namespace {

constexpr Duration kIdleWait = std::chrono::milliseconds(100);
constexpr Duration kAbandonedCheckInterval = std::chrono::milliseconds(50);
// A thread that wakes a little late keeps the pace; after a longer pause the
// steps missed are not made up for.
constexpr Duration kLongestCatchUp = std::chrono::milliseconds(50);

void ApplyStep(EngineState& state, Duration now) {
  const StepOutcome outcome = FinishStep(state.batcher, now);
  for (const auto& [id, produced, cached_tokens, is_finished] :
       outcome.progress) {
    EngineRequest* const request = FindRequest(state.book, id);
    request->produced = produced;
    request->usage.cached_tokens = cached_tokens;
    if (is_finished) {
      EndRequest(state.book, id, RequestState::kFinished);
    }
  }
  PublishChanges(state, outcome.changes, now);
  state.progressed.notify_all();
}

void CancelAbandoned(EngineState& state, Duration now) {
  for (const std::string& id :
       AbandonedRequests(state.book, state.options.resume_grace, now)) {
    CancelRequest(state, id, now);
  }
}

}  // namespace

void PublishChanges(EngineState& state,
                    const CacheChanges& changes,
                    Duration now) {
  for (const auto& [key, change] : changes.by_program) {
    PublishEvent(state.events, change, now);
  }
  SetLagged(state.load,
            {.running = state.batcher.running.size(),
             .waiting = state.batcher.waiting.size(),
             .used_tokens = state.batcher.cache.blocks.size() * kBlockTokens,
             .measured_ms = WallNow()},
            now);
}

bool CancelRequest(EngineState& state, std::string_view id, Duration now) {
  if (!Cancel(state.batcher, id, now)) {
    return false;
  }
  EndRequest(state.book, id, RequestState::kCancelled);
  ++state.counts.cancelled;
  PublishChanges(state, {}, now);
  state.progressed.notify_all();
  return true;
}

void RunBatches(EngineState& state) {
  EngineLock lock(state.mutex);
  Duration check_at{};
  while (!state.stopping) {
    Duration now = Now();
    if (now >= check_at) {
      CancelAbandoned(state, now);
      check_at = now + kAbandonedCheckInterval;
    }
    auto& ends_at = state.batcher.step_ends_at;
    if (ends_at && now >= *ends_at) {
      now = now - *ends_at > kLongestCatchUp ? now : *ends_at;
      ApplyStep(state, now);
    }
    if (!ends_at) {
      BeginStep(state.batcher, now);
    }
    const Duration wait = ends_at ? *ends_at - Now() : kIdleWait;
    state.work_added.wait_for(lock, std::max(wait, Duration::zero()));
  }
}

}  // namespace celerykeel
