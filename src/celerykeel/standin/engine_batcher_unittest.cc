#include "celerykeel/standin/engine_batcher.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

EngineLimits Limits() {
  return {.slots = 2,
          .decode_per_token = milliseconds(10),
          .prefill_tokens_per_second = 1000,
          .chunk_tokens = 32,
          .cache_tokens = 160};
}

// A chain of blocks that no other `first` shares.
std::vector<BlockHash> Chain(BlockHash first, size_t count) {
  std::vector<BlockHash> chain;
  for (size_t i = 0; i < count; ++i) {
    chain.push_back(first * 1000 + i);
  }
  return chain;
}

EngineWork Work(const std::string& id, BlockHash first, int64_t priority = 0) {
  return {.id = id,
          .program = "program-" + std::to_string(first),
          .priority = priority,
          .prompt_tokens = 40,
          .answer_tokens = 10,
          .blocks = Chain(first, 3)};
}

struct Finish {
  std::string id;
  Duration at{};
  uint64_t cached_tokens = 0;
};

std::vector<Finish> RunAll(EngineBatcher& batcher, Duration now) {
  std::vector<Finish> finishes;
  while (const auto ends_at = BeginStep(batcher, now)) {
    now = *ends_at;
    for (const auto& progress : FinishStep(batcher, now).progress) {
      if (progress.is_finished) {
        finishes.push_back({progress.id, now, progress.cached_tokens});
      }
    }
  }
  return finishes;
}

TEST_CASE("a prompt is read in chunks, then each step gives a token") {
  EngineBatcher batcher = MakeEngineBatcher(Limits());
  Submit(batcher, Work("a", 1));
  CHECK(BeginStep(batcher, Duration{}) == milliseconds(32));
  CHECK(FinishStep(batcher, milliseconds(32)).progress.empty());
  CHECK(BeginStep(batcher, milliseconds(32)) == milliseconds(40));
  const StepOutcome first = FinishStep(batcher, milliseconds(40));
  REQUIRE(first.progress.size() == 1);
  CHECK(first.progress[0].produced == 1);
  const auto finishes = RunAll(batcher, milliseconds(40));
  REQUIRE(finishes.size() == 1);
  CHECK(finishes[0].at == milliseconds(130));
}

TEST_CASE("the queue goes by priority, then arrival, and slots bound it") {
  EngineBatcher batcher = MakeEngineBatcher(Limits());
  Submit(batcher, Work("low", 1, 5));
  Submit(batcher, Work("first", 2, 1));
  Submit(batcher, Work("second", 3, 1));
  REQUIRE(BeginStep(batcher, Duration{}));
  CHECK(batcher.running.size() == 2);
  REQUIRE(batcher.waiting.size() == 1);
  CHECK(batcher.waiting.begin()->second.id == "low");
  FinishStep(batcher, milliseconds(32));
  const auto finishes = RunAll(batcher, milliseconds(32));
  REQUIRE(finishes.size() == 3);
  CHECK(finishes[0].id == "first");
  CHECK(finishes[2].id == "low");
}

TEST_CASE("a held prefix is not read again") {
  EngineBatcher batcher = MakeEngineBatcher(Limits());
  Submit(batcher, Work("a", 1));
  RunAll(batcher, Duration{});
  CHECK(HeldTokens(batcher.cache).at("program-1") == 48);
  Submit(batcher, Work("b", 1));
  const auto finishes = RunAll(batcher, milliseconds(1000));
  REQUIRE(finishes.size() == 1);
  CHECK(finishes[0].cached_tokens == 39);
  CHECK(finishes[0].at == milliseconds(1000 + 1 + 90));
}

TEST_CASE("a cancelled request leaves nothing pinned") {
  EngineBatcher batcher = MakeEngineBatcher(Limits());
  Submit(batcher, Work("a", 1));
  Submit(batcher, Work("b", 2));
  REQUIRE(BeginStep(batcher, Duration{}));
  FinishStep(batcher, milliseconds(32));
  CHECK(Cancel(batcher, "a", milliseconds(32)));
  CHECK_FALSE(Cancel(batcher, "a", milliseconds(32)));
  RunAll(batcher, milliseconds(32));
  CHECK(batcher.cache.evictable.size() == batcher.cache.blocks.size());
}

TEST_CASE("a request waits for memory that running ones hold") {
  EngineLimits limits = Limits();
  limits.cache_tokens = 64;  // 4 blocks
  EngineBatcher batcher = MakeEngineBatcher(limits);
  Submit(batcher, Work("a", 1));
  REQUIRE(BeginStep(batcher, Duration{}));
  FinishStep(batcher, milliseconds(32));
  Submit(batcher, Work("b", 2));
  REQUIRE(BeginStep(batcher, milliseconds(32)));
  CHECK(batcher.waiting.size() == 1);
  FinishStep(batcher, milliseconds(40));
  CHECK(RunAll(batcher, milliseconds(40)).size() == 2);
  CHECK(batcher.cache.blocks.size() <= 4);
}

}  // namespace
}  // namespace celerykeel
