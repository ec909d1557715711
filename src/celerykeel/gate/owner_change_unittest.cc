#include <doctest/doctest.h>

#include <thread>  // for std::thread

#include "celerykeel/core/rendezvous.h"             // for OwnerOf
#include "celerykeel/gate/gate_fixture_unittest.h"  // for GateFixture

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using testing::Accepted;
using testing::Chunk;
using testing::Eventually;
using testing::FakeScheduler;
using testing::Finished;
using testing::FreeAddress;
using testing::GateFixture;
using testing::kStreamedChat;
using testing::ProblemType;

using Replies = std::vector<pb::CallReply>;

GateServerOptions ShortPatience() {
  GateServerOptions options;
  options.owner_patience = milliseconds(700);
  return options;
}

Replies Silent(const pb::CallMessage&) {
  return {};
}

std::string RanOf(const httplib::Result& result) {
  return nlohmann::json::parse(result->body).at("ran");
}

TEST_CASE("a scheduler that never answers does not hold its caller") {
  GateFixture fixture(Silent, ShortPatience());
  const auto result = fixture.PostChat();
  REQUIRE(result);
  CHECK(result->status == 503);
  CHECK(ProblemType(result) == "owner-unreachable");
  CHECK(result->has_header("Retry-After"));
  // It left for the owner, so nobody can say that it did not run.
  CHECK(RanOf(result) == "unknown");
}

TEST_CASE("without an owner the call provably did not run") {
  GateFixture fixture(Silent, ShortPatience());
  fixture.feed.Change([](FleetState& state) { state.members.clear(); });
  const auto result = fixture.PostChat();
  REQUIRE(result);
  CHECK(RanOf(result) == "no");
}

TEST_CASE("owners that all say they are not leave a call that did not run") {
  GateFixture fixture(
      [](const pb::CallMessage& message) {
        return Replies{
            testing::Refused(message.request().id(), pb::NOT_OWNER, pb::NO)};
      },
      ShortPatience());
  const auto result = fixture.PostChat();
  REQUIRE(result);
  CHECK(ProblemType(result) == "owner-unreachable");
  CHECK(RanOf(result) == "no");
  CHECK(fixture.scheduler.Seen().size() > 1);
}

TEST_CASE("a refusal after a lost owner is not certain any more") {
  const std::string second_address = FreeAddress();
  const FakeScheduler second(
      second_address, [](const pb::CallMessage& message) {
        return Replies{
            testing::Refused(message.request().id(), pb::OVERLOADED, pb::NO)};
      });
  GateFixture fixture(Silent);
  std::thread change([&] {
    CHECK(Eventually([&] { return !fixture.scheduler.Seen().empty(); }));
    fixture.feed.Change([](FleetState& state) { state.members.clear(); });
    fixture.feed.AddMember(2, second_address);
  });
  const auto result = fixture.PostChat();
  change.join();
  REQUIRE(result);
  CHECK(ProblemType(result) == "overloaded");
  CHECK(RanOf(result) == "unknown");
}

TEST_CASE("a call that waits follows its program to the new owner") {
  const std::string second_address = FreeAddress();
  const FakeScheduler second(second_address, testing::AnswerChat);
  GateFixture fixture(Silent);
  std::thread change([&] {
    CHECK(Eventually([&] { return !fixture.scheduler.Seen().empty(); }));
    fixture.feed.Change([](FleetState& state) { state.members.clear(); });
    fixture.feed.AddMember(2, second_address);
  });
  const auto result = fixture.PostChat();
  change.join();
  REQUIRE(result);
  CHECK(result->status == 200);
  REQUIRE(second.Seen().size() == 1);
  pb::CallRequest first = fixture.scheduler.Seen()[0].request();
  pb::CallRequest again = second.Seen()[0].request();
  CHECK(again.owner() == 2);
  CHECK(again.program().id() == first.program().id());
  CHECK(again.body() == first.body());
}

TEST_CASE("a broken connection sends the same call again") {
  const std::string address = FreeAddress();
  auto first = std::make_unique<FakeScheduler>(address, Silent);
  GateFixture fixture(Silent);
  fixture.feed.Change([](FleetState& state) { state.members.clear(); });
  fixture.feed.AddMember(1, address);
  std::unique_ptr<FakeScheduler> second;
  std::thread change([&] {
    CHECK(Eventually([&] { return !first->Seen().empty(); }));
    first.reset();
    second = std::make_unique<FakeScheduler>(address, testing::AnswerChat);
  });
  const auto result = fixture.PostChat();
  change.join();
  REQUIRE(result);
  CHECK(result->status == 200);
}

/// A stream whose owner goes after one event; `second` then answers.
std::string StreamOverChange(const FakeScheduler::Script& second_script) {
  const std::string second_address = FreeAddress();
  const FakeScheduler second(second_address, second_script);
  GateFixture fixture([](const pb::CallMessage& message) {
    return Replies{Accepted(message.request().id()),
                   Chunk(message.request().id(), "data: one\n\n")};
  });
  std::thread change([&] {
    CHECK(Eventually([&] { return !fixture.scheduler.Seen().empty(); }));
    fixture.feed.Change([](FleetState& state) { state.members.clear(); });
    fixture.feed.AddMember(2, second_address);
  });
  const auto result = fixture.PostChat({}, kStreamedChat);
  change.join();
  REQUIRE(result);
  return result->body;
}

TEST_CASE("a replayed answer goes on where the caller's stream stopped") {
  CHECK(StreamOverChange([](const pb::CallMessage& message) {
          const uint64_t id = message.request().id();
          return Replies{Accepted(id), Chunk(id, "data: one\n\ndata: t"),
                         Chunk(id, "wo\n\n"), Finished(id, "")};
        }) == "data: one\n\ndata: two\n\n");
}

TEST_CASE("another answer is not joined to the one that was begun") {
  const std::string text = StreamOverChange([](const pb::CallMessage& message) {
    const uint64_t id = message.request().id();
    return Replies{Accepted(id), Chunk(id, "data: ten\n\n"), Finished(id, "")};
  });
  CHECK(text.starts_with("data: one\n\ndata: {\"error\""));
  CHECK(text.find("outcome-unknown") != std::string::npos);
  CHECK(text.find("ten") == std::string::npos);
}

TEST_CASE("an answer shorter than what the caller has is refused") {
  const std::string text = StreamOverChange([](const pb::CallMessage& message) {
    const uint64_t id = message.request().id();
    return Replies{Accepted(id), Chunk(id, "data: o"), Finished(id, "")};
  });
  CHECK(text.starts_with("data: one\n\ndata: {\"error\""));
}

}  // namespace
}  // namespace celerykeel
