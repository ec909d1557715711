#include "celerykeel/standin/engine_batcher.h"

#include <algorithm>  // for std::min, std::ranges::find_if
#include <chrono>     // for std::chrono::duration
#include <utility>    // for std::exchange, std::move

namespace celerykeel {

namespace {

bool IsReading(const RunningWork& running) {
  return running.read_tokens < running.work.prompt_tokens;
}

// The last token of a prompt is always computed, as it gives the first one of
// the answer.
uint64_t CachedTokens(const EngineWork& work, size_t matched) {
  const uint64_t most = work.prompt_tokens == 0 ? 0 : work.prompt_tokens - 1;
  return std::min<uint64_t>(matched * kBlockTokens, most);
}

// The request at the head waits for memory rather than letting others pass, so
// that a large one is not starved; one alone runs whatever its size.
bool Fits(const EngineBatcher& batcher, const EngineWork& work) {
  if (batcher.running.empty()) {
    return true;
  }
  const size_t matched = MatchPrefix(batcher.cache, work.blocks);
  return batcher.running.size() < batcher.limits.slots &&
         work.blocks.size() - matched <= RoomFor(batcher.cache);
}

void Admit(EngineBatcher& batcher, Duration now) {
  while (!batcher.waiting.empty() &&
         Fits(batcher, batcher.waiting.begin()->second)) {
    auto first = batcher.waiting.extract(batcher.waiting.begin());
    RunningWork running;
    running.work = std::move(first.mapped());
    const size_t matched = MatchPrefix(batcher.cache, running.work.blocks);
    running.pinned =
        PinBlocks(batcher.cache, running.work.program, running.work.blocks, 0,
                  matched, now, batcher.changes);
    running.cached_tokens = CachedTokens(running.work, matched);
    running.read_tokens = running.cached_tokens;
    batcher.running.emplace(first.key(), std::move(running));
  }
}

// Stores the blocks that are full by now.
void StoreBlocks(EngineBatcher& batcher, RunningWork& running, Duration now) {
  const uint64_t full = (running.read_tokens + running.produced) / kBlockTokens;
  const size_t to = std::min<size_t>(full, running.work.blocks.size());
  if (to > running.pinned) {
    running.pinned =
        PinBlocks(batcher.cache, running.work.program, running.work.blocks,
                  running.pinned, to, now, batcher.changes);
  }
}

void Unpin(EngineBatcher& batcher, const RunningWork& running, Duration now) {
  UnpinBlocks(batcher.cache,
              std::span(running.work.blocks).first(running.pinned), now);
}

}  // namespace

EngineBatcher MakeEngineBatcher(const EngineLimits& limits) {
  EngineBatcher batcher;
  batcher.limits = limits;
  batcher.cache.capacity = limits.cache_tokens / kBlockTokens;
  return batcher;
}

void Submit(EngineBatcher& batcher, EngineWork work) {
  const QueueKey key(work.priority, batcher.arrivals++);
  batcher.waiting.emplace(key, std::move(work));
}

bool Cancel(EngineBatcher& batcher, std::string_view id, Duration now) {
  const auto waiting = std::ranges::find_if(
      batcher.waiting,
      [&](const auto& entry) { return entry.second.id == id; });
  if (waiting != batcher.waiting.end()) {
    batcher.waiting.erase(waiting);
    return true;
  }
  const auto running = std::ranges::find_if(
      batcher.running,
      [&](const auto& entry) { return entry.second.work.id == id; });
  if (running == batcher.running.end()) {
    return false;
  }
  Unpin(batcher, running->second, now);
  batcher.running.erase(running);
  return true;
}

std::optional<Duration> BeginStep(EngineBatcher& batcher, Duration now) {
  Admit(batcher, now);
  if (batcher.running.empty()) {
    return std::nullopt;
  }
  uint64_t left = batcher.limits.chunk_tokens;
  bool decodes = false;
  for (auto& [key, running] : batcher.running) {
    decodes = decodes || !IsReading(running);
    running.chunk =
        std::min(left, running.work.prompt_tokens - running.read_tokens);
    left -= running.chunk;
  }
  const std::chrono::duration<double> prefill(
      static_cast<double>(batcher.limits.chunk_tokens - left) /
      batcher.limits.prefill_tokens_per_second);
  const Duration decode =
      decodes ? batcher.limits.decode_per_token : Duration::zero();
  batcher.step_ends_at =
      now + decode + std::chrono::duration_cast<Duration>(prefill);
  return batcher.step_ends_at;
}

StepOutcome FinishStep(EngineBatcher& batcher, Duration now) {
  StepOutcome outcome;
  batcher.step_ends_at.reset();
  for (auto next = batcher.running.begin(); next != batcher.running.end();) {
    const auto current = next++;
    RunningWork& running = current->second;
    running.read_tokens += running.chunk;
    running.chunk = 0;
    if (!IsReading(running)) {
      ++running.produced;
      const bool is_finished = running.produced >= running.work.answer_tokens;
      outcome.progress.push_back({running.work.id, running.produced,
                                  running.cached_tokens, is_finished});
    }
    StoreBlocks(batcher, running, now);
    if (running.produced >= running.work.answer_tokens) {
      Unpin(batcher, running, now);
      batcher.running.erase(current);
    }
  }
  outcome.changes = std::exchange(batcher.changes, {});
  return outcome;
}

}  // namespace celerykeel
