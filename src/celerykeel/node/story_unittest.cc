#include <doctest/doctest.h>

#include <sstream>  // for std::istringstream

#include "celerykeel/node/calls_unittest.h"  // for TurnHeaders, ToolHeaders
#include "celerykeel/wire/log_story.h"       // for FindStory

namespace celerykeel::testing {
namespace {

// The cases of docs/OPERATIONS.md: the logs must contain the lines that the
// page shows, and these must suffice to find the cause.
TEST_CASE("logs show the cause of a failed request") {
  NodeFleet fleet(2);
  REQUIRE(fleet.WaitUntilServing());
  const auto story = [&fleet](const std::string& id) {
    std::istringstream logs(fleet.Logs());
    return FindStory(logs, id);
  };
  const auto concludes = [](const LogStory& found, std::string_view text) {
    return found.conclusion.find(text) != std::string::npos;
  };

  SUBCASE("a stream aborted because its endpoint was leaving") {
    for (EndpointStandin& endpoint : fleet.endpoints) {
      endpoint.close_after_events = 2;
    }
    fleet.Send(0, "POST", "/stream/kept/x", TurnHeaders("s1", "p", "", 9999),
               "in");
    // The endpoints' entries show that they are leaving only after the streams
    // were aborted.
    REQUIRE(fleet.Drain(0));
    REQUIRE(fleet.Drain(1));
    CHECK(concludes(story("s1"), "after 2 events; the endpoint was leaving"));
  }

  SUBCASE("a call's outcome is unknown") {
    fleet.endpoints[0].is_unresponsive = true;
    fleet.endpoints[1].is_unresponsive = true;
    CHECK(fleet.Send(1, "POST", "/pay/x", ToolHeaders("m1"), "x").status ==
          502);
    const LogStory found = story("m1");
    CHECK(found.steps.size() == 2);
    CHECK(concludes(found, "may have run"));
    CHECK(fleet.MetricsOf(1).find("celerykeel_refusals_total{reason=\"the "
                                  "endpoint broke off\",status=\"502\"} 1") !=
          std::string::npos);
  }

  SUBCASE("a turn refused during an outage of the store") {
    fleet.store.mode = StoreMode::kRefuses;
    const auto [answer, id] = SendUntilRefused(fleet);
    REQUIRE(answer.status == 503);
    const LogStory found = story(id);
    CHECK(concludes(found, "Refused: not run: the store is away"));
    CHECK(concludes(found, "The instance had lost the store"));
  }
}

}  // namespace
}  // namespace celerykeel::testing
