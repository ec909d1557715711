#include <doctest/doctest.h>

#include <random>  // for std::mt19937

#include "celerykeel/core/placement.h"   // for Place, ExpectedCost
#include "celerykeel/core/prefix_map.h"  // for PrefixMap
#include "celerykeel/core/run_rank.h"    // for LevelOf, RankOf

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PromptShape Prompt(const std::string& program, uint64_t own) {
  return {program, 7, 100, 100 + own};
}

PlacementRequest Request(const std::string& program, uint64_t own) {
  return {Prompt(program, own), 0, seconds(1)};
}

std::vector<EndpointEstimate> Books(size_t count, uint64_t capacity) {
  std::vector<EndpointEstimate> books(count);
  for (EndpointEstimate& book : books) {
    book.held.capacity = capacity;
  }
  return books;
}

uint64_t SumOfHeldTokens(const PrefixMap& map) {
  uint64_t held = 0;
  for (const auto& [id, prefix] : map.programs) {
    held += prefix.unshared_tokens;
  }
  for (const auto& [hash, shared] : map.shared) {
    held += shared.tokens;
  }
  return held;
}

TEST_CASE("a sent prompt is held, and other programs share its first part") {
  PrefixMap map{.capacity = 10'000};
  RecordUsedPrompt(map, Prompt("a", 500), seconds(1));
  CHECK(HeldTokens(map, Prompt("a", 800)) == 600);
  CHECK(HeldTokens(map, Prompt("b", 800)) == 100);
  Forget(map, "a");
  CHECK(HeldTokens(map, Prompt("b", 800)) == 0);
  CHECK(map.held == 0);
}

TEST_CASE("the least recently used program is evicted first, from its end") {
  PrefixMap map{.capacity = 1000};
  RecordUsedPrompt(map, Prompt("a", 500), seconds(1));
  RecordUsedPrompt(map, Prompt("b", 300), seconds(2));
  RecordUsedPrompt(map, Prompt("c", 300), seconds(3));
  CHECK(map.held == 1000);
  CHECK(HeldTokens(map, Prompt("a", 500)) == 400);
  CHECK(HeldTokens(map, Prompt("b", 300)) == 400);
}

TEST_CASE("a report lowers the estimate unless it precedes the last use") {
  PrefixMap map{.capacity = 1000};
  RecordUsedPrompt(map, Prompt("a", 500), seconds(5));
  ApplyCacheReport(map, "a", 200, seconds(4));
  CHECK(HeldTokens(map, Prompt("a", 500)) == 600);
  ApplyCacheReport(map, "a", 200, seconds(6));
  CHECK(HeldTokens(map, Prompt("a", 500)) == 200);
  ApplyCacheReport(map, "a", 0, seconds(6));
  CHECK(map.programs.empty());
  CHECK(map.held == 0);
}

TEST_CASE("the eviction charge decreases with the age of the last use") {
  PrefixMap map{.capacity = 600};
  RecordUsedPrompt(map, Prompt("a", 500), seconds(0));
  CHECK(EvictionCharge(map, 0, seconds(30), seconds(0)) == 0);
  CHECK(EvictionCharge(map, 300, seconds(30), seconds(0)) == 300);
  CHECK(EvictionCharge(map, 300, seconds(30), seconds(30)) == 150);
}

TEST_CASE("held tokens equal the sum of all parts after random operations") {
  std::mt19937 random(11);
  PrefixMap map{.capacity = 900};
  Duration now{};
  for (int i = 0; i < 20'000; ++i) {
    now += seconds(1);
    const uint32_t step = random() % 256;
    const std::string program = "p" + std::to_string(step % 4);
    if (step % 5 == 0) {
      Forget(map, program);
    } else if (step % 5 == 1) {
      ApplyCacheReport(map, program, step, now);
    } else {
      RecordUsedPrompt(map, {program, step % 2, 50, 50 + 2 * step}, now);
    }
    REQUIRE(SumOfHeldTokens(map) == map.held);
    REQUIRE(map.held <= map.capacity);
    REQUIRE(map.by_use.size() == map.programs.size());
  }
}

TEST_CASE("a call is placed on the endpoint that holds its prefix") {
  auto books = Books(4, 100'000);
  RecordSentCall(books[2], Request("a", 5000), seconds(1));
  const auto placement = Place(books, Request("a", 5200), {}, 0, seconds(2));
  REQUIRE(placement);
  CHECK(placement->endpoint == 2);
  CHECK(placement->costs.size() == 4);
  CHECK_FALSE(Place({}, Request("a", 1), {}, 0, seconds(2)));
}

TEST_CASE(
    "a full endpoint is passed over if its wait exceeds prefill elsewhere") {
  auto books = Books(2, 1'000'000);
  for (int i = 0; i < 40; ++i) {
    RecordSentCall(books[0], Request("p" + std::to_string(i), 100), seconds(1));
  }
  CHECK(Place(books, Request("p0", 200), {}, 0, seconds(2))->endpoint == 1);
  PlacementOptions unbounded;
  unbounded.bounded_load = 0;
  PlacementRequest urgent = Request("p0", 100'000);
  RecordUsedPrompt(books[0].held, urgent.prompt, seconds(2));
  urgent.call_time = milliseconds(100);
  CHECK(Place(books, urgent, unbounded, 0, seconds(2))->endpoint == 0);
}

TEST_CASE("waiting calls of a higher rank do not count as ahead") {
  EndpointEstimate book;
  book.held.capacity = 1'000'000;
  for (int i = 0; i < 48; ++i) {
    PlacementRequest other = Request("p" + std::to_string(i), 1);
    other.rank = 3;
    RecordSentCall(book, other, seconds(1));
  }
  PlacementRequest request = Request("a", 1);
  const double first = ExpectedCost(book, request, {}, 0, seconds(2)).wait;
  request.rank = 4;
  CHECK(first < ExpectedCost(book, request, {}, 0, seconds(2)).wait);
}

TEST_CASE("ended calls release their load and keep their held tokens") {
  EndpointEstimate book;
  book.held.capacity = 10'000;
  const PlacementRequest request = Request("a", 400);
  const SentCall sent = RecordSentCall(book, request, seconds(1));
  RecordEndedCall(book, sent, Prompt("a", 450), seconds(2));
  CHECK(book.outstanding[0] == 0);
  CHECK(book.read_until < seconds(2));
  CHECK(book.pinned_tokens == 0);
  CHECK(HeldTokens(book.held, Prompt("a", 500)) == 550);
}

TEST_CASE("the newest report determines the calls of other schedulers") {
  auto books = Books(2, 1'000'000);
  RecordLoadReport(books[0], 40, 0, seconds(5));
  RecordLoadReport(books[0], 0, 0, seconds(4));
  CHECK(books[0].others == 40);
  CHECK(Place(books, Request("a", 100), {}, 0, seconds(5))->endpoint == 1);
  RecordLoadReport(books[1], 39, 0, seconds(5));
  CHECK(Place(books, Request("a", 100), {}, 0, seconds(5))->endpoint == 1);
  RecordSentCall(books[1], Request("b", 100), seconds(5));
  RecordSentCall(books[1], Request("c", 100), seconds(5));
  CHECK(Place(books, Request("d", 100), {}, 0, seconds(60))->endpoint == 0);
  RecordLoadReport(books[0], 3, 5, seconds(6));
  CHECK(books[0].others == 0);
}

TEST_CASE("the level of a program increases with its attained service") {
  const RankOptions options;
  CHECK(LevelOf(options, Duration{}) == 0);
  CHECK(LevelOf(options, options.first_level) == 1);
  CHECK(LevelOf(options, options.first_level * 3) == 2);
  CHECK(LevelOf(options, std::chrono::hours(5)) == options.levels - 1);
  CHECK(RankOf(options, Duration{}, 1) == 0);
  CHECK(RankOf(options, Duration{}, options.max_share_ratio) == 0);
  CHECK(RankOf(options, Duration{}, options.max_share_ratio + 0.01) ==
        options.levels);
  CHECK(2 * options.levels <= kMaxRanks);
}

TEST_CASE(
    "the share ratio accounts for weights and the decay of older service") {
  const RankOptions options;
  TeamShares shares;
  shares.teams["large"].weight = 3;
  shares.teams["small"].weight = 1;
  RecordService(shares, options, "large", seconds(6), seconds(0));
  RecordService(shares, options, "small", seconds(2), seconds(0));
  CHECK(ShareRatio(shares, options, "large", seconds(0)) == doctest::Approx(1));
  RecordService(shares, options, "small", seconds(6), seconds(60));
  CHECK(ShareRatio(shares, options, "small", seconds(60)) ==
        doctest::Approx(2.8));
  CHECK(ShareRatio(shares, options, "other", seconds(60)) == 0);
}

}  // namespace
}  // namespace celerykeel
