#include <doctest/doctest.h>

#include "celerykeel/gate/gate_fixture_unittest.h"  // for GateFixture

namespace celerykeel {
namespace {

using testing::Finished;
using testing::GateFixture;
using testing::kStreamedChat;
using testing::ProblemType;

TEST_CASE("a whole answer comes back, with the program's id") {
  GateFixture fixture;
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
  GateFixture fixture;
  const auto result = fixture.PostChat({}, kStreamedChat);
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->get_header_value("Content-Type") == "text/event-stream");
  CHECK(result->get_header_value("Program-Durable") == "no");
  CHECK(result->body == "data: {\"a\":1}\n\ndata: [DONE]\n\n");
}

TEST_CASE("a missing, a wrong and a withdrawn key are refused") {
  GateFixture fixture;
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
  GateFixture fixture([](const pb::CallMessage& message) {
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
  GateFixture fixture([](const pb::CallMessage& message) {
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
  GateFixture fixture([](const pb::CallMessage& message) {
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
  GateFixture fixture([](const pb::CallMessage& message) {
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
  GateFixture fixture([](const pb::CallMessage& message) {
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
