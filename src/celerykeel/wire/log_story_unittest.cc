#include "celerykeel/wire/log_story.h"

#include <doctest/doctest.h>

#include <sstream>  // for std::istringstream

namespace celerykeel {
namespace {

// Monotonic clocks of instances (`ms`) are not comparable; wall clocks (`at`)
// are.
constexpr char kLogs[] = R"(
12.5 b {"at":2000,"ms":70,"instance":"b","event":"store regained"}
{"at":1000,"ms":9000,"instance":"a","event":"store lost","status":503}
{"at":1500,"ms":9500,"instance":"a","event":"refused","id":"t1","status":503,"reason":"not run: the store is away","tries":0}
{"at":1400,"ms":10,"instance":"b","event":"attempt","id":"p1","endpoint":"e1","status":0,"outcome":"no answer"}
{"at":1401,"ms":11,"instance":"b","event":"refused","id":"p1","status":502,"reason":"the endpoint broke off","tries":1}
{"at":1405,"ms":9405,"instance":"a","event":"endpoint seen","endpoint":"e2","leaving":true}
{"at":1410,"ms":9410,"instance":"a","event":"attempt","id":"s1","endpoint":"e2","status":200,"outcome":"answered"}
{"at":1450,"ms":9450,"instance":"a","event":"turn","id":"s1","endpoint":"e2","events":3,"outcome":"broken off"}
{"at":1451,"ms":9451,"instance":"a","event":"attempt","id":"other","endpoint":"e2","status":200}
not a line
)";

LogStory StoryOf(const std::string& id) {
  std::istringstream logs(kLogs);
  return FindStory(logs, id);
}

TEST_CASE("the story of a refused turn includes the outage before it") {
  const LogStory story = StoryOf("t1");
  REQUIRE(story.steps.size() == 1);
  REQUIRE(story.context.size() == 1);
  CHECK(story.context[0].event == "store lost");
  CHECK(story.conclusion.find("not run") != std::string::npos);
  CHECK(story.conclusion.find("lost the store") != std::string::npos);
}

TEST_CASE("a call without an answer may have run") {
  const LogStory story = StoryOf("p1");
  CHECK(story.steps.size() == 2);
  CHECK(story.conclusion.find("may have run") != std::string::npos);
}

TEST_CASE("the story of an aborted stream includes its endpoint's departure") {
  const LogStory story = StoryOf("s1");
  CHECK(story.steps.size() == 2);
  CHECK(story.conclusion.find("3 events") != std::string::npos);
  CHECK(story.conclusion.find("was leaving") != std::string::npos);
  const std::string text = RenderStory(story);
  CHECK(text.find("00:00:01.410  a  attempt") != std::string::npos);
  CHECK(text.find("other") == std::string::npos);
}

TEST_CASE("a request that appears in no log line is reported as such") {
  const LogStory story = StoryOf("nobody");
  CHECK(story.conclusion.starts_with("No line names it"));
  CHECK(story.unreadable == 2);  // the empty line and "not a line"
}

}  // namespace
}  // namespace celerykeel
