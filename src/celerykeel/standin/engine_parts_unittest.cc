#include <doctest/doctest.h>

#include "celerykeel/standin/cache_events.h"   // for CacheEventLog
#include "celerykeel/standin/chat.h"           // for ParseChat
#include "celerykeel/standin/engine_orders.h"  // for EngineOrders
#include "celerykeel/standin/request_book.h"   // for RequestBook
#include "celerykeel/standin/tokens.h"         // for SplitTokens

namespace celerykeel {
namespace {

using std::chrono::seconds;

TEST_CASE("tokens are of up to four bytes and split no character") {
  CHECK(SplitTokens("abcdefg") == std::vector<std::string>{"abcd", "efg"});
  CHECK(SplitTokens("abcčč") == std::vector<std::string>{"abc", "čč"});
  CHECK(CountTokens("abcčč") == 2);
}

TEST_CASE("a longer text keeps the blocks of its start") {
  const std::string start(64, 'a');
  const auto of_start = HashBlocks(start);
  const auto of_more = HashBlocks(start + std::string(100, 'b'));
  REQUIRE(of_start.size() == 1);
  REQUIRE(of_more.size() == 2);
  CHECK(of_start[0] == of_more[0]);
  CHECK(HashBlocks(std::string(64, 'b'))[0] != of_start[0]);
}

TEST_CASE("the next prompt extends the last one and its answer") {
  const auto first =
      ParseChat(R"({"messages":[{"role":"user","content":"one"}]})");
  REQUIRE(first.has_value());
  const auto second =
      ParseChat(R"({"messages":[{"role":"user","content":"one"},)"
                R"({"role":"assistant","content":"ANSWER"},)"
                R"({"role":"user","content":"two"}],"max_tokens":3})");
  REQUIRE(second.has_value());
  CHECK(second->prompt.starts_with(first->prompt + "ANSWER"));
  CHECK(MakeAnswer(*second, "r").tokens.size() == 3);
  CHECK(MakeAnswer(*second, "r").finish_reason == "length");
  CHECK_FALSE(ParseChat("{").has_value());
  CHECK_FALSE(ParseChat(R"({"messages":[]})").has_value());
}

TEST_CASE("cache events come late, and a lost one leaves a gap") {
  CacheEventLog log;
  log.lag = seconds(1);
  log.loss_permille = 500;
  log.random = 7;
  for (uint64_t i = 0; i < 100; ++i) {
    PublishEvent(log, {}, seconds(10));
  }
  CHECK(ReadEvents(log, 1, 1000, seconds(10)).empty());
  const auto events = ReadEvents(log, 1, 1000, seconds(11));
  CHECK(events.size() > 20);
  CHECK(events.size() < 80);
  CHECK(ReadEvents(log, events.back().sequence, 9, seconds(11)).size() == 1);
}

TEST_CASE("a request that nobody reads is abandoned after the grace") {
  RequestBook book{.capacity = 1, .requests = {}, .ended = {}};
  book.requests["a"] = {};
  AddReader(book, "a");
  CHECK(AbandonedRequests(book, seconds(1), seconds(9)).empty());
  RemoveReader(book, "a", seconds(9));
  CHECK(AbandonedRequests(book, seconds(1), seconds(9)).empty());
  CHECK(AbandonedRequests(book, seconds(1), seconds(10)).size() == 1);
  EndRequest(book, "a", RequestState::kCancelled);
  CHECK(AbandonedRequests(book, seconds(1), seconds(10)).empty());
  book.requests["b"] = {};
  EndRequest(book, "b", RequestState::kFinished);
  CHECK(FindRequest(book, "a") == nullptr);
  CHECK(FindRequest(book, "b") != nullptr);
}

TEST_CASE("a request started anew is kept while it is under way") {
  RequestBook book{.capacity = 1, .requests = {}, .ended = {}};
  StartRecord(book, "a", {}, seconds(1));
  CHECK(AbandonedRequests(book, seconds(1), seconds(1)).empty());
  EndRequest(book, "a", RequestState::kCancelled);
  StartRecord(book, "a", {}, seconds(2));
  StartRecord(book, "b", {}, seconds(2));
  EndRequest(book, "b", RequestState::kFinished);
  CHECK(FindRequest(book, "a") != nullptr);
}

TEST_CASE("an order with an older fence is refused only where it is checked") {
  for (const bool checks : {true, false}) {
    EngineOrders orders;
    orders.checks_fencing = checks;
    orders.load_time = seconds(2);
    CHECK(CarryOut(orders, {7, OrderKind::kLoad, "m2"}, seconds(1)));
    CHECK_FALSE(IsServed(orders, "m2", seconds(2)));
    CHECK(CarryOut(orders, {7, OrderKind::kLoad, "m2"}, seconds(3)));
    CHECK(IsServed(orders, "m2", seconds(3)));
    CHECK(CarryOut(orders, {6, OrderKind::kUnload, "m2"}, seconds(4))
              .has_value() != checks);
    CHECK(IsServed(orders, "m2", seconds(4)) == checks);
  }
}

}  // namespace
}  // namespace celerykeel
