#include <doctest/doctest.h>

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

}  // namespace
}  // namespace celerykeel
