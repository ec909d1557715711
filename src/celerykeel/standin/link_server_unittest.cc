#include "celerykeel/standin/link_server.h"

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Client

#include <thread>   // for std::thread
#include <utility>  // for std::move

#include "celerykeel/standin/delayed_bytes.h"   // for DelayedBytes
#include "celerykeel/standin/service_server.h"  // for ServiceServer

namespace celerykeel {
namespace {

using std::chrono::seconds;

TEST_CASE("bytes are released in order, each after its delay") {
  DelayedBytes delayed;
  PushBytes(delayed, "one", seconds(2));
  PushBytes(delayed, "two", seconds(3));
  CHECK(ReleasedBytes(delayed, seconds(1)).empty());
  CHECK(NextRelease(delayed) == seconds(2));
  CHECK(ReleasedBytes(delayed, seconds(3)) == "one");
  DropBytes(delayed, 2);
  CHECK(ReleasedBytes(delayed, seconds(3)) == "e");
  DropBytes(delayed, 1);
  CHECK(ReleasedBytes(delayed, seconds(3)) == "two");
  CHECK(delayed.size == 3);
}

struct Fixture {
  std::unique_ptr<ServiceServer> service;
  std::unique_ptr<LinkServer> link;

  explicit Fixture(Duration delay = {})
      : service(std::move(
            *ServiceServer::Create({.listen = "127.0.0.1:0", .threads = 8}))),
        link(std::move(*LinkServer::Create(
            {.listen = "127.0.0.1:0",
             .to = "127.0.0.1:" + std::to_string(this->service->Port()),
             .control = "127.0.0.1:0",
             .delay = delay}))) {}

  void Cut(const std::string& query) const {
    httplib::Client client("127.0.0.1", this->link->ControlPort());
    CHECK(client.Post("/control/cut?" + query)->status == 200);
  }

  bool Reaches() const {
    httplib::Client client("127.0.0.1", this->link->Port());
    const auto result = client.Post("/echo", std::string(300'000, 'x'), "");
    return result && result->status == 200;
  }
};

TEST_CASE("a link forwards, is cut and healed") {
  const Fixture fixture(std::chrono::milliseconds(2));
  CHECK(fixture.Reaches());
  fixture.Cut("on=1");
  CHECK_FALSE(fixture.Reaches());
  fixture.Cut("on=0");
  CHECK(fixture.Reaches());
}

TEST_CASE("a cut closes connections that are open") {
  const Fixture fixture;
  httplib::Client client("127.0.0.1", fixture.link->Port());
  client.set_keep_alive(true);
  CHECK(client.Get("/one"));
  fixture.Cut("on=1");
  CHECK_FALSE(client.Get("/two"));
}

TEST_CASE("what a hung link holds arrives when it is healed") {
  const Fixture fixture;
  fixture.Cut("on=1&mode=hang");
  std::thread caller([&fixture] { CHECK(fixture.Reaches()); });
  fixture.Cut("on=0");
  caller.join();
}

}  // namespace
}  // namespace celerykeel
