#include <doctest/doctest.h>

#include "celerykeel/gate/gate_fixture_unittest.h"  // for GateFixture
#include "celerykeel/gate/route_match.h"            // for IsAmbiguousPath

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using testing::Accepted;
using testing::Eventually;
using testing::GateFixture;
using testing::kChat;
using testing::kStreamedChat;
using testing::ProblemType;
using testing::RawConnection;

std::string RawChat(std::string_view headers, std::string_view body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer " +
         std::string(testing::kKeyText) + "\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

TEST_CASE("a body that is no chat is refused as a bad request") {
  GateFixture fixture;
  for (const char* body :
       {"", "{", "[]", "7", R"({"model":"plum-7b"})",
        R"({"messages":[{"role":"user"}]})",
        R"({"model":7,"messages":[{"role":"user"}]})",
        R"({"model":"plum-7b","messages":[]})",
        R"({"model":"plum-7b","messages":["hi"]})",
        R"({"model":"plum-7b","messages":[{}],"stream":"yes"})",
        "{\"model\":\"plum-7b\",\"messages\":[{\"content\":\"\xff\"}]}"}) {
    CAPTURE(body);
    const auto result = fixture.PostChat({}, body);
    REQUIRE(result);
    CHECK(result->status == 400);
    CHECK(ProblemType(result) == "bad-request");
  }
  CHECK(fixture.scheduler.Seen().empty());
}

TEST_CASE("a deeply nested body does not exhaust the stack") {
  GateFixture fixture;
  const std::string nested(200'000, '[');
  CHECK(fixture.PostChat({}, nested.c_str())->status == 400);
  const std::string closed = R"({"model":"plum-7b","messages":[{"a":)" +
                             nested + std::string(200'000, ']') + "}]}";
  CHECK(fixture.PostChat({}, closed.c_str())->status == 400);
}

TEST_CASE("program headers that do not parse are refused") {
  GateFixture fixture;
  const std::vector<httplib::Headers> cases = {
      {{"Program-Id", "a"}},
      {{"Program-Id", "a"}, {"Program-Call", "x"}},
      {{"Program-Id", "a"}, {"Program-Call", "0"}},
      {{"Program-Id", "a"}, {"Program-Call", "-1"}},
      {{"Program-Id", "a"}, {"Program-Call", "4294967296"}},
      {{"Program-Call", "1"}},
      {{"Program-Parent", "a"}},
      {{"Program-Id", "a b"}, {"Program-Call", "1"}},
      {{"Program-Id", "a//b"}, {"Program-Call", "1"}},
      {{"Program-Id", "a/calls/1"}, {"Program-Call", "1"}},
      {{"Program-Id", std::string(257, 'a')}, {"Program-Call", "1"}},
      {{"Program-Id", "a"}, {"Program-Call", "1"}, {"Program-Parent", "/"}},
      {{"Program-Budget", "tokens"}},
      {{"Program-Budget", "tokens=-1"}},
      {{"Program-Budget", "calls=99999999999"}},
      {{"Program-Budget", "apples=1"}},
      {{"Program-History", "some"}},
      {{"Program-Id", "a"}, {"Program-Id", "b"}, {"Program-Call", "1"}},
      {{"Idempotency-Key", std::string(257, 'k')}},
  };
  for (const httplib::Headers& headers : cases) {
    const auto result = fixture.PostChat(headers);
    REQUIRE(result);
    CHECK(result->status == 400);
    CHECK(ProblemType(result) == "bad-request");
  }
  CHECK(fixture.scheduler.Seen().empty());
}

TEST_CASE("an unknown model, path, method or route is refused as such") {
  GateFixture fixture;
  const auto model =
      fixture.PostChat({}, R"({"model":"fig","messages":[{"role":"user"}]})");
  CHECK(model->status == 404);
  CHECK(ProblemType(model) == "unknown-model");
  CHECK(ProblemType(fixture.client.Get("/v1/chat/completions")) ==
        "unknown-route");
  CHECK(ProblemType(fixture.client.Get("/nowhere")) == "unknown-route");
  CHECK(ProblemType(fixture.client.Get("/services/booking/payouts")) ==
        "unknown-route");
  CHECK(ProblemType(fixture.client.Get("/services/ledger/slots")) ==
        "unknown-route");
  CHECK(fixture.scheduler.Seen().empty());
}

TEST_CASE("a body over the limit is refused as a problem") {
  GateServerOptions options;
  options.limits.max_body_bytes = 2000;
  GateFixture fixture(testing::AnswerChat, options);
  const auto result = fixture.PostChat({}, std::string(3000, ' ').c_str());
  REQUIRE(result);
  CHECK(result->status == 413);
  CHECK(ProblemType(result) == "body-too-large");
  CHECK(nlohmann::json::parse(result->body).at("ran") == "no");
}

TEST_CASE("what a refused caller sent is lost for no other") {
  GateFixture fixture;
  for (const std::string_view junk :
       {"\x16\x03\x01\x02", "GET\r\n\r\n", "POST / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nNo colon\r\n\r\n", "\r\n\r\n\r\n"}) {
    RawConnection connection(fixture.gate_address);
    connection.Send(junk);
  }
  CHECK(fixture.PostChat()->status == 200);
}

TEST_CASE("paths that an endpoint could read otherwise are ambiguous") {
  for (const std::string_view path :
       {"a", "/a/../b", "/a/./b", "/a//b", "/a%2fb", "/a%2E%2e/b", "/a\\b",
        "/a%5cb", "/a%252e", "/a#b", "/a b", "/a\x80", "/..;/b", "/a/.."}) {
    CAPTURE(path);
    CHECK(IsAmbiguousPath(path));
  }
  for (const std::string_view path :
       {"/", "/a", "/a/", "/a.b/c%20d", "/a..b"}) {
    CAPTURE(path);
    CHECK_FALSE(IsAmbiguousPath(path));
  }
}

bool SawCancel(const testing::FakeScheduler& scheduler) {
  for (const pb::CallMessage& message : scheduler.Seen()) {
    if (message.has_cancel()) {
      return true;
    }
  }
  return false;
}

std::vector<pb::CallReply> AcceptOnly(const pb::CallMessage& message) {
  return {Accepted(message.request().id())};
}

TEST_CASE("a call that nobody can ask for again ends with its caller") {
  GateFixture fixture(AcceptOnly);
  {
    RawConnection caller(fixture.gate_address);
    caller.Send(RawChat("", kChat));
    REQUIRE(Eventually([&] { return !fixture.scheduler.Seen().empty(); }));
  }
  CHECK(Eventually([&] { return SawCancel(fixture.scheduler); }));
}

TEST_CASE("a call of a program goes on when its caller goes away") {
  GateFixture fixture([](const pb::CallMessage& message) {
    return std::vector{Accepted(message.request().id()),
                       testing::Chunk(message.request().id(), "data: 1\n\n")};
  });
  {
    RawConnection caller(fixture.gate_address);
    caller.Send(RawChat("Program-Id: a\r\nProgram-Call: 1\r\n", kStreamedChat));
    CHECK(caller.ReadUntil("data: 1").find("data: 1") != std::string::npos);
  }
  // The gate lets go of the caller's thread, and says nothing to the owner.
  CHECK(Eventually([&] { return fixture.server->OpenConnections() == 0; }));
  CHECK_FALSE(SawCancel(fixture.scheduler));
}

}  // namespace
}  // namespace celerykeel
