#include "celerykeel/node/out_connection.h"

#include <doctest/doctest.h>

#include "celerykeel/base/clock.h"  // for Now

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

constexpr Duration kFresh = milliseconds(300);
constexpr Duration kAny = std::chrono::seconds(60);

// A pool with connections to a listening socket, which were idle for the given
// times.
struct Pool {
  explicit Pool(const std::vector<Duration>& idle_times) {
    this->pool.spared_idle = kFresh;
    const auto port = this->acceptor.local_endpoint().port();
    this->address = "127.0.0.1:" + std::to_string(port);
    std::vector<OutConnectionPtr> opened;
    for (size_t i = 0; i < idle_times.size(); ++i) {
      opened.push_back(this->Take(kAny));
    }
    AnswerHead head;
    head.keep_alive = true;
    head.idle_limit = kAny;
    for (size_t i = 0; i < idle_times.size(); ++i) {
      ReturnToPool(this->pool, this->address, opened[i], head);
      opened[i]->idle_since = Now() - idle_times[i];
    }
  }

  OutConnectionPtr Take(Duration max_idle) {
    OutConnectionPtr taken;
    asio::co_spawn(
        this->loop,
        [&]() -> Task<> {
          const auto connected = co_await Connect(
              this->loop, this->pool, this->address, max_idle, kAny);
          REQUIRE(connected.has_value());
          taken = *connected;
        },
        asio::detached);
    this->loop.run();
    this->loop.restart();
    return taken;
  }

  asio::io_context loop;
  Tcp::acceptor acceptor{this->loop, {asio::ip::make_address("127.0.0.1"), 0}};
  std::string address;
  OutPool pool;
};

// Guards against new connections for calls that may be repeated, since a call
// that may not closed the ones that were too old for itself.
TEST_CASE("a call that needs a fresh connection leaves the others idle") {
  Pool pool({milliseconds(2000), milliseconds(1000)});
  CHECK_FALSE(pool.Take(kFresh)->was_idle);
  CHECK(pool.Take(kAny)->was_idle);
  CHECK(pool.Take(kAny)->was_idle);
  CHECK(pool.pool.opened == 3);
}

// Guards against fresh connections that are used up by calls for which an older
// one would do.
TEST_CASE("a call that may be repeated takes an older connection") {
  Pool pool({milliseconds(1000), milliseconds(0)});
  CHECK(pool.Take(kAny)->was_idle);
  CHECK(pool.Take(kFresh)->was_idle);
  CHECK(pool.pool.opened == 2);
}

// Guards against a pool that is full of old connections and closes fresh ones,
// which calls that may not be repeated need.
TEST_CASE("a full pool closes the connection that is idle longest") {
  Pool pool({milliseconds(1000), milliseconds(500)});
  const OutConnectionPtr fresh = pool.Take(milliseconds(1));
  AnswerHead head;
  head.keep_alive = true;
  head.idle_limit = kAny;
  ReturnToPool(pool.pool, pool.address, fresh, head, 1);
  CHECK(pool.pool.idle[pool.address].size() == 1);
  CHECK(pool.Take(kFresh) == fresh);
}

}  // namespace
}  // namespace celerykeel
