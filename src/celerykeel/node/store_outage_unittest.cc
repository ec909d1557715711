#include <doctest/doctest.h>

#include "celerykeel/node/calls_unittest.h"  // for ToolHeaders

namespace celerykeel::testing {
namespace {

// Guards against an instance that answers 404 by an old version for as long as
// its own connections to the store are silent: it waited for the end of its own
// reads, and relayed reads of a peer that had lost the store as well.
TEST_CASE("an instance copies a newer configuration from a peer") {
  NodeFleet fleet(4);
  REQUIRE(fleet.WaitUntilServing());
  for (size_t i = 1; i < 4; ++i) {
    fleet.store_access[i].is_silent = true;
  }
  // The only instance that reads it loses the store right after that.
  fleet.AddRoutes(8);
  REQUIRE(fleet.WaitUntilInForce(0, 8));
  fleet.store.mode = StoreMode::kSilent;
  for (size_t i = 0; i < 4; ++i) {
    CHECK(fleet.WaitUntilInForce(i, 8));
    CHECK(
        fleet.Send(i, "GET", "/added/1999/x", ToolHeaders("tool"), "").status ==
        200);
  }
  CHECK(fleet.MetricsOf(0).find("configurations_copied\"} 0") !=
        std::string::npos);
}

// As on the users' platform after an outage: the connections that were open
// stay silent for good, and only new ones are served.
TEST_CASE("a configuration arrives although all connections are silent") {
  NodeFleet fleet(3);
  REQUIRE(fleet.WaitUntilServing());
  for (auto& access : fleet.store_access) {
    ++access.generation;
  }
  fleet.AddRoutes(8);
  for (size_t i = 0; i < 3; ++i) {
    CHECK(fleet.WaitUntilInForce(i, 8));
    CHECK(fleet.Send(i, "GET", "/added/0/x", ToolHeaders("tool"), "").status ==
          200);
  }
}

// Guards against probes that use one silent connection after the other before
// one of them opens a new connection.
TEST_CASE("one silent connection to the store condemns the idle ones") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  REQUIRE(fleet.CallStore(0, 12) == 12);  // leaves 12 idle connections
  ++fleet.store_access[0].generation;
  CHECK(fleet.CallStore(0, 1) == 0);
  CHECK(fleet.CallStore(0, 1) == 1);
}

}  // namespace
}  // namespace celerykeel::testing
