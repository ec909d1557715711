#include "celerykeel/gate/gate_server.h"

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Client

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/gate/fakes_unittest.h"  // for FakeFeed, FakeScheduler
#include "celerykeel/net/http_guard.h"       // for SplitAddress

namespace celerykeel {
namespace {

using testing::Accepted;
using testing::Chunk;
using testing::FakeFeed;
using testing::FakeScheduler;
using testing::Finished;
using testing::FreeAddress;

constexpr char kChat[] =
    R"({"model":"plum-7b","messages":[{"role":"user","content":"hi"}]})";
constexpr char kStreamedChat[] =
    R"({"model":"plum-7b","stream":true,"messages":[{"role":"user"}]})";

std::vector<pb::CallReply> AnswerChat(const pb::CallMessage& message) {
  const pb::CallRequest& request = message.request();
  if (!request.stream()) {
    return {Accepted(request.id()), Finished(request.id(), "{\"answer\":1}")};
  }
  return {Accepted(request.id(), false),
          Chunk(request.id(), "data: {\"a\":1}\n\n"),
          Chunk(request.id(), "data: [DONE]\n\n"), Finished(request.id(), "")};
}

/// A gate between a client and one fake scheduler.
struct Fixture {
  explicit Fixture(FakeScheduler::Script script = AnswerChat,
                   GateServerOptions options = {})
      : scheduler_address(FreeAddress()),
        scheduler(scheduler_address, std::move(script)),
        link(OwnerLink::Create().value()),
        gate_address(FreeAddress()),
        client(SplitAddress(gate_address).host,
               SplitAddress(gate_address).port) {
    this->feed.AddMember(1, this->scheduler_address);
    options.listen = this->gate_address;
    this->server =
        GateServer::Create(options, {.view = [this] { return feed.View(); },
                                     .link = this->link.get()})
            .value();
    this->client.set_bearer_token_auth(testing::kKeyText);
    this->client.set_read_timeout(20, 0);
  }

  httplib::Result PostChat(const httplib::Headers& headers = {},
                           const char* body = kChat) {
    return this->client.Post("/v1/chat/completions", headers, body,
                             "application/json");
  }

  FakeFeed feed;
  std::string scheduler_address;
  FakeScheduler scheduler;
  std::unique_ptr<OwnerLink> link;
  std::string gate_address;
  httplib::Client client;
  std::unique_ptr<GateServer> server;
};

std::string ProblemType(const httplib::Result& result) {
  CHECK(result->get_header_value("Content-Type") == "application/problem+json");
  return nlohmann::json::parse(result->body).at("type");
}

TEST_CASE("a whole answer comes back, with the program's id") {
  Fixture fixture;
  const auto result =
      fixture.PostChat({{"Program-Id", "hotel"},
                        {"Program-Call", "3"},
                        {"Program-Parent", "trip-7"},
                        {"Program-Budget", "tokens=50000, seconds=60"},
                        {"Program-History", "whole"}});
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->body == "{\"answer\":1}");
  CHECK(result->get_header_value("Program-Id") == "trip-7/hotel");
  REQUIRE(fixture.scheduler.Seen().size() == 1);
  const pb::CallRequest request = fixture.scheduler.Seen()[0].request();
  CHECK(request.program().team() == "orchard");
  CHECK(request.program().id() == "trip-7/hotel");
  CHECK(request.call() == 3);
  CHECK(request.budget().tokens() == 50000);
  CHECK(request.budget().seconds() == 60);
  CHECK(request.whole_history());
  CHECK(request.owner() == 1);
  CHECK(request.model() == "plum-7b");
}

TEST_CASE("a streamed answer comes as server-sent events") {
  Fixture fixture;
  const auto result = fixture.PostChat({}, kStreamedChat);
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->get_header_value("Content-Type") == "text/event-stream");
  CHECK(result->get_header_value("Program-Durable") == "no");
  CHECK(result->body == "data: {\"a\":1}\n\ndata: [DONE]\n\n");
}

TEST_CASE("a missing, a wrong and a withdrawn key are refused") {
  Fixture fixture;
  fixture.client.set_bearer_token_auth("");
  CHECK(ProblemType(fixture.PostChat()) == "no-key");
  fixture.client.set_bearer_token_auth(
      std::string(testing::kKeyText).replace(8, 1, "1"));
  CHECK(ProblemType(fixture.PostChat()) == "wrong-key");
  fixture.feed.Change(
      [](FleetState& state) { state.in_force.keys["plum"].withdrawn = true; });
  fixture.client.set_bearer_token_auth(testing::kKeyText);
  const auto withdrawn = fixture.PostChat();
  CHECK(withdrawn->status == 401);
  CHECK(ProblemType(withdrawn) == "key-withdrawn");
  CHECK(fixture.scheduler.Seen().empty());
}

TEST_CASE("a program's name belongs to the team of the key") {
  Fixture fixture([](const pb::CallMessage& message) {
    pb::CallReply reply;
    reply.set_id(message.program_query().id());
    pb::ProgramReport& report = *reply.mutable_report();
    report.set_found(message.program_query().program().team() == "orchard");
    *report.mutable_state()->mutable_program() =
        message.program_query().program();
    return std::vector{reply};
  });
  const auto own = fixture.client.Get("/v1/programs/trip-7/hotel");
  REQUIRE(own);
  CHECK(own->status == 200);
  CHECK(nlohmann::json::parse(own->body).at("id") == "trip-7/hotel");
  fixture.client.set_bearer_token_auth(testing::kOtherKeyText);
  const auto other = fixture.client.Get("/v1/programs/trip-7/hotel");
  CHECK(other->status == 404);
  CHECK(ProblemType(other) == "unknown-program");
}

TEST_CASE("a call of a program is asked for by its number") {
  Fixture fixture([](const pb::CallMessage& message) {
    pb::CallReply reply;
    reply.set_id(message.program_query().id());
    reply.mutable_report()->set_found(true);
    pb::CallRecord& call = *reply.mutable_report()->mutable_call();
    call.set_state(pb::DONE);
    call.set_status(200);
    call.set_answer("call " + std::to_string(message.program_query().call()));
    return std::vector{reply};
  });
  CHECK(fixture.client.Get("/v1/programs/a/b/calls/12")->body == "call 12");
  CHECK(fixture.client.Get("/v1/programs/a/calls/x")->status == 400);
}

TEST_CASE("a program is deleted without a body") {
  Fixture fixture([](const pb::CallMessage& message) {
    pb::CallReply reply;
    reply.set_id(message.program_delete().id());
    reply.mutable_report()->set_found(true);
    return std::vector{reply};
  });
  CHECK(fixture.client.Delete("/v1/programs/trip-7")->status == 200);
  REQUIRE(fixture.scheduler.Seen().size() == 1);
  CHECK(fixture.scheduler.Seen()[0].program_delete().program().id() ==
        "trip-7");
}

TEST_CASE("a service gets method, path and body, and no credential") {
  Fixture fixture([](const pb::CallMessage& message) {
    return std::vector{Finished(message.request().id(), "booked")};
  });
  const auto result = fixture.client.Put(
      "/services/booking/slots/7?day=2&api_key=ck_x_y&to%6ben=1&note=ck_a_b",
      {{"Cookie", "session=1"}, {"X-Api-Key", "k"}}, "a=1&b=2",
      "application/x-www-form-urlencoded");
  REQUIRE(result);
  CHECK(result->body == "booked");
  REQUIRE(fixture.scheduler.Seen().size() == 1);
  const pb::CallRequest request = fixture.scheduler.Seen()[0].request();
  CHECK(request.method() == "PUT");
  CHECK(request.path() == "/slots/7?day=2");
  CHECK(request.body() == "a=1&b=2");
  CHECK(request.content_type() == "application/x-www-form-urlencoded");
  CHECK(request.service() == "booking");
  CHECK(request.route() == "book");
}

TEST_CASE("only a route that is open to all is served without a key") {
  Fixture fixture([](const pb::CallMessage& message) {
    return std::vector{Finished(message.request().id(), "open")};
  });
  fixture.client.set_bearer_token_auth("");
  CHECK(fixture.client.Get("/services/booking/days/1")->body == "open");
  CHECK(fixture.client.Get("/services/booking/slots/1")->status == 401);
  CHECK(fixture.client.Get("/services/booking/days/../slots/1")->status == 400);
  CHECK(fixture.client.Get("/services/booking/days/%2e%2e/slots")->status ==
        400);
  CHECK(fixture.client.Get("/services/booking/daysoff")->status == 401);
}

}  // namespace
}  // namespace celerykeel
