#include "celerykeel/standin/platform_server.h"

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Client

#include <thread>   // for std::thread
#include <utility>  // for std::move

#include "celerykeel/platform.pb.h"  // for pb::LogAppendRequest

namespace celerykeel {
namespace {

constexpr char kRecords[] = "/streams/fleet/records";

struct Fixture {
  std::unique_ptr<PlatformServer> server;
  httplib::Client client;

  explicit Fixture(PlatformOptions options = {})
      : server(Start(std::move(options))),
        client("127.0.0.1", this->server->Port()) {
    this->client.set_default_headers({{"Client", "utne-1"}});
  }

  static std::unique_ptr<PlatformServer> Start(PlatformOptions options) {
    options.listen = "127.0.0.1:0";
    options.threads = 8;
    auto created = PlatformServer::Create(options);
    REQUIRE(created.has_value());
    return std::move(*created);
  }

  httplib::Result Append(const std::string& payload) {
    pb::LogAppendRequest request;
    request.add_payloads(payload);
    return this->client.Post(kRecords, request.SerializeAsString(),
                             "application/x-protobuf");
  }

  // Appends under an outage that ends once the append is held.
  httplib::Result AppendWhileHeld(const std::string& payload) {
    std::thread mender([this] {
      httplib::Client watcher("127.0.0.1", this->server->Port());
      while (watcher.Get("/witness")->body.find(R"("held":1)") ==
             std::string::npos) {
        std::this_thread::yield();
      }
      this->Control("outage?on=0");
    });
    auto result = this->Append(payload);
    mender.join();
    return result;
  }

  pb::LogReadReply Read(const std::string& query) {
    pb::LogReadReply reply;
    const auto result = this->client.Get(std::string(kRecords) + query);
    REQUIRE(result);
    REQUIRE(result->status == 200);
    REQUIRE(reply.ParseFromString(result->body));
    return reply;
  }

  void Control(const std::string& action) {
    // A connection of its own: another may be held by a fault.
    httplib::Client control("127.0.0.1", this->server->Port());
    const auto result = control.Post("/control/" + action);
    REQUIRE(result);
    CHECK(result->status == 200);
  }
};

TEST_CASE("a reader waits for the next record") {
  Fixture fixture;
  std::thread writer([&fixture] {
    httplib::Client client("127.0.0.1", fixture.server->Port());
    pb::LogAppendRequest request;
    request.add_payloads("late");
    client.Post(kRecords, request.SerializeAsString(), "");
  });
  const pb::LogReadReply reply = fixture.Read("?from=1&wait_ms=5000");
  writer.join();
  REQUIRE(reply.records_size() == 1);
  CHECK(reply.records(0).payload() == "late");
}

TEST_CASE("a lost answer leaves its record") {
  Fixture fixture;
  fixture.Control("lose-answers?count=1&client=utne-1");
  CHECK_FALSE(fixture.Append("kept"));
  CHECK(fixture.Append("next"));
  CHECK(fixture.Read("?from=1").records_size() == 2);
}

TEST_CASE("an outage refuses, and ends a wait under way") {
  Fixture fixture;
  std::thread breaker([&fixture] { fixture.Control("outage?on=1"); });
  const auto waiting =
      fixture.client.Get("/streams/fleet/records?from=1&wait_ms=5000");
  breaker.join();
  REQUIRE(waiting);
  CHECK(waiting->status == 503);
  CHECK(fixture.Append("no")->status == 503);
  fixture.Control("outage?on=0");
  CHECK(fixture.Append("yes")->status == 200);
}

TEST_CASE("a request held by an outage has no effect, or a late one") {
  Fixture fixture;
  fixture.Control("outage?mode=hang");
  CHECK_FALSE(fixture.AppendWhileHeld("lost"));
  CHECK(fixture.Read("?from=1").records_size() == 0);
  fixture.Control("outage?mode=late");
  const auto result = fixture.AppendWhileHeld("late");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(fixture.Read("?from=1").records_size() == 1);
}

TEST_CASE("a cut client alone gets no answer") {
  Fixture fixture;
  fixture.Control("cut?client=utne-1&on=1");
  CHECK_FALSE(fixture.Append("no"));
  fixture.client.set_default_headers({{"Client", "utne-2"}});
  CHECK(fixture.Append("yes")->status == 200);
}

TEST_CASE("appends above the rate are refused with a time to come back") {
  PlatformOptions options;
  options.append_rate = 1;
  Fixture fixture(options);
  CHECK(fixture.Append("one")->status == 200);
  const auto refused = fixture.Append("two");
  REQUIRE(refused);
  CHECK(refused->status == 429);
  CHECK(refused->get_header_value("Retry-After") == "1");
}

TEST_CASE("expired records are gone, and weights come whole") {
  Fixture fixture;
  fixture.Append("one");
  fixture.Append("two");
  fixture.Control("expire?stream=fleet&before=2");
  CHECK(fixture.Read("?from=1").earliest_offset() == 2);
  const auto weights = fixture.client.Get("/weights/m?bytes=200000");
  REQUIRE(weights);
  CHECK(weights->body.size() == 200'000);
}

}  // namespace
}  // namespace celerykeel
