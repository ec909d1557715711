#include <doctest/doctest.h>

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/edge_process.h"  // for EdgeProcess

namespace celerykeel::testing {
namespace {

// Memory of the smallest machine.
constexpr size_t kMachineMemory = 130'000'000;
constexpr size_t kRecordBytes = 250'000;  // 262,144 are allowed
constexpr int kRecords = 500;             // 125 MB of the 400 MB of a store

// Guards against a list that is kept whole before its first record is used.
TEST_CASE("a list of others' records doesn't exceed a machine's memory") {
  std::string topic;
  SUBCASE("operators") {
    topic = "keyed.op";
  }
  SUBCASE("endpoints") {
    topic = "keyed.servers";
  }
  CAPTURE(topic);
  EdgeProcess edge;
  REQUIRE(edge.WaitUntilServing());
  edge.Restart([&edge, &topic] {
    for (int i = 0; i < kRecords; ++i) {
      PutKeyed(edge.store, topic, fmt::format("a{}", 1000 + i),
               std::string(kRecordBytes, 'x'));
    }
  });
  CHECK(edge.WaitUntilServing());
  edge.WaitUntilIdle();
  CHECK(edge.IsAlive());
  CHECK(edge.Memory("VmHWM") < kMachineMemory);
  CHECK(edge.SendOrdinary() == 200);
}

}  // namespace
}  // namespace celerykeel::testing
