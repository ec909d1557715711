#include "celerykeel/core/event_sequence.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

// The id of a stream's first event. Streams that begin with another id, or
// count in other steps, get their first event later.
constexpr uint64_t kUsualFirst = 1;

bool IsComment(const StreamEvent& event) {
  return event.id.empty() && event.data.empty();
}

bool IsExpected(const EventSequence& sequence, uint64_t number) {
  return sequence.last ? number == *sequence.last + sequence.step
                       : number == kUsualFirst;
}

void Release(EventSequence& sequence,
             StreamEvent event,
             std::vector<StreamEvent>& released) {
  if (const auto number = EventNumber(event.id)) {
    sequence.last = number;
    sequence.last_id = event.id;
    sequence.has_gap = false;
  } else if (!IsComment(event)) {
    sequence.has_gap = true;
  }
  sequence.has_released = sequence.has_released || !IsComment(event);
  released.push_back(std::move(event));
}

// Releases the held event, which the next one confirms. Two equal steps show in
// which steps the endpoint counts.
void ReleaseHeld(EventSequence& sequence,
                 std::optional<uint64_t> next,
                 std::vector<StreamEvent>& released) {
  if (!sequence.held) {
    return;
  }
  StreamEvent held = std::move(*sequence.held);
  sequence.held.reset();
  const auto number = EventNumber(held.id);
  if (const uint64_t before = sequence.last.value_or(0);
      number && next && *next - *number == *number - before) {
    sequence.step = *next - *number;
  }
  Release(sequence, std::move(held), released);
}

// @return false if the event's id can't follow the ones before it.
bool Check(EventSequence& sequence,
           StreamEvent event,
           std::vector<StreamEvent>& released) {
  if (IsComment(event)) {
    Release(sequence, std::move(event), released);
    return true;
  }
  const auto number = EventNumber(event.id);
  if (!number && !event.id.empty()) {
    return false;
  }
  auto newest = sequence.held ? EventNumber(sequence.held->id) : std::nullopt;
  newest = newest ? newest : sequence.last;
  if (number && newest && *number <= *newest) {
    return false;
  }
  ReleaseHeld(sequence, number, released);
  // After one event without an id, the stream may have none.
  const bool is_sure =
      number ? IsExpected(sequence, *number) : sequence.has_gap;
  if (is_sure) {
    Release(sequence, std::move(event), released);
  } else {
    sequence.held = std::move(event);
  }
  return true;
}

}  // namespace

EventSequence BeginSequence(const std::string& resumed_after) {
  EventSequence sequence;
  sequence.last = EventNumber(resumed_after);
  return sequence;
}

CheckedEvents CheckEvents(EventSequence& sequence,
                          std::vector<StreamEvent> events) {
  CheckedEvents checked;
  for (StreamEvent& event : events) {
    if (!Check(sequence, std::move(event), checked.events)) {
      checked.is_spoiled = true;
      break;
    }
  }
  return checked;
}

std::vector<StreamEvent> CompleteSequence(EventSequence& sequence) {
  std::vector<StreamEvent> released;
  ReleaseHeld(sequence, std::nullopt, released);
  return released;
}

void BreakSequence(EventSequence& sequence) {
  sequence.held.reset();
}

bool CanResume(const EventSequence& sequence) {
  return !sequence.has_released ||
         (!sequence.last_id.empty() && !sequence.has_gap);
}

}  // namespace celerykeel
