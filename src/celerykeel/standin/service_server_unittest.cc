#include "celerykeel/standin/service_server.h"

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Client

#include <utility>  // for std::move

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {
namespace {

using nlohmann::json;

struct Fixture {
  std::unique_ptr<ServiceServer> server;
  httplib::Client client;

  explicit Fixture(bool checks_fencing = false)
      : server(std::move(
            *ServiceServer::Create({.listen = "127.0.0.1:0",
                                    .threads = 8,
                                    .checks_fencing = checks_fencing}))),
        client("127.0.0.1", this->server->Port()) {}

  httplib::Result Book(const std::string& call, const std::string& fence) {
    const httplib::Headers headers = {
        {"Idempotency-Key", call}, {"Program", "p"}, {"Fence", fence}};
    return this->client.Post("/book", headers, "{}", "application/json");
  }

  void Control(const std::string& action) {
    CHECK(this->client.Post("/control/" + action)->status == 200);
  }

  json Witness() { return json::parse(this->client.Get("/witness")->body); }
};

TEST_CASE("runs are counted by call, and by path without one") {
  Fixture fixture;
  fixture.Book("c1", "1");
  fixture.Book("c1", "1");
  fixture.client.Get("/days?token=x");
  CHECK(fixture.Witness()["calls"] == json({{"c1", 2}, {"/days", 1}}));
  CHECK(fixture.Witness()["paths"]["/book"] == 2);
  CHECK(fixture.Witness()["credentials"] == 1);
}

TEST_CASE("a connection closed before or after the call ran looks the same") {
  Fixture fixture;
  fixture.Control("die-before?count=1");
  CHECK_FALSE(fixture.Book("c1", "1"));
  CHECK(fixture.Witness()["calls"].empty());
  fixture.Control("die-after?count=1");
  CHECK_FALSE(fixture.Book("c1", "1"));
  CHECK(fixture.Witness()["calls"]["c1"] == 1);
}

TEST_CASE("a call that fails has not run") {
  Fixture fixture;
  fixture.Control("fail?count=1");
  CHECK(fixture.Book("c1", "1")->status == 500);
  CHECK(fixture.Book("c1", "1")->status == 200);
  CHECK(fixture.Witness()["calls"]["c1"] == 1);
}

TEST_CASE("an older fence is refused only where it is checked") {
  for (const bool checks : {true, false}) {
    Fixture fixture(checks);
    CHECK(fixture.Book("c1", "7")->status == 200);
    CHECK(fixture.Book("c2", "6")->status == (checks ? 409 : 200));
    CHECK(fixture.Witness()["fences"]["p"] == 7);
    CHECK(fixture.Witness()["calls"].contains("c2") != checks);
  }
}

}  // namespace
}  // namespace celerykeel
