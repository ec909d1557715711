#include "celerykeel/core/event_sequence.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

StreamEvent Event(const std::string& id, const std::string& data = "d") {
  return {.raw = "raw", .id = id, .data = data};
}

// Returns the ids that are released after each of `ids`, "-" for an event
// without one, and "!" if the stream is spoiled.
std::vector<std::string> Feed(EventSequence& sequence,
                              const std::vector<std::string>& ids) {
  std::vector<std::string> released;
  for (const std::string& id : ids) {
    const CheckedEvents checked = CheckEvents(sequence, {Event(id)});
    std::string text;
    for (const StreamEvent& event : checked.events) {
      text += event.id.empty() ? "-" : event.id;
      text += ' ';
    }
    released.push_back(text + (checked.is_spoiled ? "!" : ""));
  }
  return released;
}

using Texts = std::vector<std::string>;

TEST_CASE("events with consecutive ids are released as they come") {
  EventSequence sequence = BeginSequence("");
  CHECK(Feed(sequence, {"1", "2", "3"}) == Texts{"1 ", "2 ", "3 "});
  CHECK(sequence.last_id == "3");
  EventSequence resumed = BeginSequence("7");
  CHECK(Feed(resumed, {"8", "9"}) == Texts{"8 ", "9 "});
}

// Guards against pieces that come twice: the stream went on after an id below
// those that were relayed.
TEST_CASE("an id that does not increase spoils the stream") {
  EventSequence sequence = BeginSequence("");
  CHECK(Feed(sequence, {"1", "2", "0"}) == Texts{"1 ", "2 ", "!"});
  CHECK(sequence.last_id == "2");
  CHECK(CanResume(sequence));
  EventSequence resumed = BeginSequence("7");
  CHECK(Feed(resumed, {"1"}) == Texts{"!"});
  for (const char* unreadable : {"x", "-2", "2x"}) {
    EventSequence other = BeginSequence("");
    CHECK(Feed(other, {"1", unreadable}) == Texts{"1 ", "!"});
  }
}

// Guards against missing pieces: the stream went on after an id above those
// that were to follow.
TEST_CASE("an id that leaves numbers out waits for the next one") {
  for (const char* wrong : {"3", "92", "999999"}) {
    EventSequence sequence = BeginSequence("");
    CHECK(Feed(sequence, {"1", wrong}) == Texts{"1 ", ""});
    BreakSequence(sequence);
    CHECK(sequence.last_id == "1");
    CHECK(Feed(sequence, {"2", "3"}) == Texts{"2 ", "3 "});
  }
  EventSequence first = BeginSequence("");
  CHECK(Feed(first, {"5", "2"}) == Texts{"", "!"});
  CHECK(CanResume(first));
  EventSequence taken_up = BeginSequence("7");
  CHECK(Feed(taken_up, {"9", "9"}) == Texts{"", "!"});
}

TEST_CASE("endpoints may count from another number and in other steps") {
  EventSequence zero = BeginSequence("");
  CHECK(Feed(zero, {"0", "1", "2"}) == Texts{"", "0 1 ", "2 "});
  EventSequence tens = BeginSequence("");
  CHECK(Feed(tens, {"20", "40", "60"}) == Texts{"", "20 40 ", "60 "});
  EventSequence uneven = BeginSequence("");
  CHECK(Feed(uneven, {"1", "4", "9", "11"}) == Texts{"1 ", "", "4 ", "9 "});
  const auto last = CompleteSequence(uneven);
  REQUIRE(last.size() == 1);
  CHECK(last[0].id == "11");
}

// Guards against a stream that begins anew behind events without an id.
TEST_CASE("a stream is not resumed behind an event without an id") {
  EventSequence sequence = BeginSequence("");
  CHECK(Feed(sequence, {"1", ""}) == Texts{"1 ", ""});
  BreakSequence(sequence);
  CHECK(CanResume(sequence));
  CHECK(Feed(sequence, {"", ""}) == Texts{"", "- - "});
  CHECK_FALSE(CanResume(sequence));
  CHECK(Feed(sequence, {"4", "5"}) == Texts{"", "4 5 "});
  CHECK(CanResume(sequence));
  EventSequence none = BeginSequence("");
  CHECK(Feed(none, {"", "", ""}) == Texts{"", "- - ", "- "});
  CHECK_FALSE(CanResume(none));
}

TEST_CASE("comments are released and change nothing") {
  EventSequence sequence = BeginSequence("");
  Feed(sequence, {"1", "92"});
  CHECK(CheckEvents(sequence, {Event("", "")}).events.size() == 1);
  CHECK(sequence.held.has_value());
}

}  // namespace
}  // namespace celerykeel
