#include <doctest/doctest.h>

#include "celerykeel/testing/node_fleet.h"  // for NodeFleet

namespace celerykeel::testing {
namespace {

// Max bytes that endpoints may send in answer to one call, including those that
// only fill the socket buffers.
constexpr uint64_t kMaxReceivedBytes = 64UL * 1024 * 1024;

HeaderList Call(const std::string& id) {
  return {{"X-Attempt-Id", id},         {"Authorization", "Bearer k1"},
          {"X-Deadline-Ms", "900"},     {"X-Program-Id", id},
          {"X-Token-Usage", "100,100"}, {"X-Token-Budget", "9999"}};
}

// A failing endpoint may send bytes until the connection is closed. They must
// cost bounded memory and time, and never be relayed as a complete answer.
TEST_CASE("endless answers") {
  NodeFleet fleet(1);
  REQUIRE(fleet.WaitUntilServing());
  int sent = 0;
  // A turn that has ended is not admitted again, so each call has its own id.
  const auto send = [&](Endless where, const std::string& target) {
    for (EndpointStandin& endpoint : fleet.endpoints) {
      endpoint.endless = where;
      endpoint.endless_bytes = 0;
    }
    const std::string id = "c" + std::to_string(++sent);
    auto answer = fleet.Send(0, "POST", target, Call(id), "in");
    CHECK(fleet.endpoints[0].endless_bytes + fleet.endpoints[1].endless_bytes <
          kMaxReceivedBytes);
    return answer;
  };
  for (const std::string target : {"/pay/x", "/stream/kept/x"}) {
    CAPTURE(target);
    for (const Endless where :
         {Endless::kHead, Endless::kInterim, Endless::kChunkSize,
          Endless::kChunks, Endless::kTrailer}) {
      CAPTURE(static_cast<int>(where));
      const auto answer = send(where, target);
      CHECK((answer.status == 502 || answer.status == 504));
    }
  }

  // Bytes past the content length belong to no answer. If they arrive after the
  // connection was reused for the next call, that call's outcome is unknown.
  CHECK(send(Endless::kPastLength, "/pay/x").status == 200);
  for (int i = 0; i < 3; ++i) {
    const auto answer = send(Endless::kPastLength, "/pay/x");
    CHECK(((answer.status == 200 && answer.body == "ok") ||
           answer.status == 502));
  }

  // An endless event is never relayed.
  const auto stream = send(Endless::kEvent, "/stream/kept/x");
  CHECK((stream.status == 502 || stream.status == 504));

  // The instance still serves calls.
  for (EndpointStandin& endpoint : fleet.endpoints) {
    endpoint.endless = Endless::kNotEndless;
  }
  CHECK(fleet.Send(0, "POST", "/pay/x", Call("after"), "in").status == 200);
}

}  // namespace
}  // namespace celerykeel::testing
