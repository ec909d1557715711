#include <doctest/doctest.h>

#include <initializer_list>  // for std::initializer_list

#include "celerykeel/core/connection_limits.h"  // for ConnectionLimitsOf

namespace celerykeel {
namespace {

// Load: callers that open connections without an end, on the instance with the
// fewest descriptors. Endpoints, peers, the store and files keep theirs.
TEST_CASE("callers' connections leave descriptors for everything else") {
  const ConnectionLimits limits = ConnectionLimitsOf(3075);
  CHECK(limits.total < 3075 - 200 - 900);
  CHECK(limits.total > 1800);
  const ConnectionLimits none = ConnectionLimitsOf(0);
  CHECK(none.total > 0);
  CHECK(none.per_address > 0);
}

// Callers inside the limits may come from few addresses: an address is limited
// only while descriptors are scarce.
TEST_CASE("an address is limited only while connections are scarce") {
  const ConnectionLimits limits = ConnectionLimitsOf(3075);
  CHECK(JudgeConnection(limits, {limits.scarce - 1, limits.scarce - 1}) ==
        ConnectionVerdict::kAccept);
  CHECK(JudgeConnection(limits, {limits.scarce, limits.scarce}) ==
        ConnectionVerdict::kReplaceIdleOfAddress);
  CHECK(JudgeConnection(limits, {limits.scarce, 1}) ==
        ConnectionVerdict::kAccept);
  CHECK(JudgeConnection(limits, {limits.total, 1}) ==
        ConnectionVerdict::kReplaceIdle);
}

// Load: calls that need a fresh connection each open one, and the older ones
// stay idle. 11 instances kept 16 each to an endpoint that accepts 100, which
// closed every further one; after a loss of all instances it still counted the
// old ones.
TEST_CASE("idle connections leave half of an endpoint's for calls") {
  for (const size_t instances : {1, 11, 83, 300}) {
    for (const uint32_t accepted : {100, 380, 490}) {
      const size_t idle = IdleConnectionsPerEndpoint(accepted, instances);
      CHECK(idle >= 1);
      CHECK(idle <= kMaxIdleConnections);
      if (instances * 2 <= accepted) {
        CHECK(idle * instances <= accepted / 2);
      }
    }
  }
  CHECK(IdleConnectionsPerEndpoint(100, 11) == 4);
  CHECK(IdleConnectionsPerEndpoint(0, 0) == 1);
}

}  // namespace
}  // namespace celerykeel
