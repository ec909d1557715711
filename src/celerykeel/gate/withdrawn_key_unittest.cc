#include <doctest/doctest.h>

#include "celerykeel/gate/gate_fixture_unittest.h"  // for GateFixture

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using testing::Accepted;
using testing::Chunk;
using testing::GateFixture;
using testing::kStreamedChat;
using testing::ProblemType;

std::vector<pb::CallReply> StreamWithoutEnd(const pb::CallMessage& message) {
  const uint64_t id = message.request().id();
  return {Accepted(id), Chunk(id, "data: 1\n\n")};
}

/// Reads a stream; runs `then` once its first event is there.
std::string ReadStream(GateFixture& fixture,
                       const std::function<void()>& then) {
  std::string text;
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.body = kStreamedChat;
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    if (text.empty()) {
      then();
    }
    text.append(data, size);
    return true;
  };
  const auto result = fixture.client.send(request);
  CHECK(result);
  return text;
}

TEST_CASE("a withdrawn key ends its open streams, and no other's") {
  GateFixture fixture(StreamWithoutEnd);
  const std::string text = ReadStream(fixture, [&fixture] {
    fixture.feed.Change([](FleetState& state) {
      state.in_force.keys["plum"].withdrawn = true;
    });
    fixture.link->WakeAll();
  });
  CHECK(text.starts_with("data: 1\n\n"));
  CHECK(text.find("key-withdrawn") != std::string::npos);
}

TEST_CASE("a stream ends when its instance can no longer tell") {
  GateServerOptions options;
  options.config_patience = milliseconds(4000);
  GateFixture fixture(StreamWithoutEnd, options);
  const std::string text = ReadStream(
      fixture, [&fixture] { fixture.feed.SetAge(milliseconds(5000)); });
  CHECK(text.find("configuration-stale") != std::string::npos);
}

TEST_CASE("a removed key, a moved key and a removed team end a stream too") {
  const std::vector<std::function<void(FleetState&)>> changes = {
      [](FleetState& state) { state.in_force.keys.erase("plum"); },
      [](FleetState& state) { state.in_force.keys["plum"].team = "cellar"; },
      [](FleetState& state) { state.in_force.teams.erase("orchard"); }};
  for (const auto& change : changes) {
    GateFixture fixture(StreamWithoutEnd);
    const std::string text =
        ReadStream(fixture, [&] { fixture.feed.Change(change); });
    CHECK(text.find("key-withdrawn") != std::string::npos);
  }
}

TEST_CASE("a kept-alive connection of a withdrawn key gets 401") {
  GateFixture fixture;
  fixture.client.set_keep_alive(true);
  CHECK(fixture.PostChat()->status == 200);
  fixture.feed.Change(
      [](FleetState& state) { state.in_force.keys["plum"].withdrawn = true; });
  const auto result = fixture.PostChat();
  REQUIRE(result);
  CHECK(result->status == 401);
  CHECK(ProblemType(result) == "key-withdrawn");
}

TEST_CASE("a stale instance serves open routes only") {
  GateFixture fixture([](const pb::CallMessage& message) {
    return std::vector{testing::Finished(message.request().id(), "open")};
  });
  fixture.feed.SetAge(milliseconds(4500));
  const auto keyed = fixture.PostChat();
  REQUIRE(keyed);
  CHECK(keyed->status == 503);
  CHECK(ProblemType(keyed) == "configuration-stale");
  CHECK(keyed->has_header("Retry-After"));
  CHECK(fixture.client.Get("/services/booking/days/1")->body == "open");
  fixture.feed.SetAge(milliseconds(0));
  CHECK(fixture.PostChat()->status == 200);
}

}  // namespace
}  // namespace celerykeel
