#include <doctest/doctest.h>

#include "celerykeel/testing/node_fleet.h"  // for NodeFleet

namespace celerykeel::testing {
namespace {

// Guards against a departure that the readers find in the complete list and
// keep to themselves: the others rely on them, and look only now and then.
TEST_CASE("readers tell what they find in the complete list") {
  NodeFleet fleet(5);  // more than there are readers
  REQUIRE(fleet.WaitUntilServing());
  // The others may find a change themselves, but not each one.
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.PutStateCompacted(0, i % 2 == 0 ? "draining" : "ready"));
  }
  const std::string logs = fleet.Logs();
  CHECK(logs.find(R"("event":"endpoint seen")") != std::string::npos);
  CHECK(logs.find(R"("source":"a peer")") != std::string::npos);
}

}  // namespace
}  // namespace celerykeel::testing
