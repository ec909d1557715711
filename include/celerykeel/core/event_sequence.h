#pragma once

#include <cstdint>   // for uint64_t
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/event_stream.h"  // for StreamEvent

namespace celerykeel {

/// @brief Checks the ids of a resumable stream, over all endpoints that send
/// parts of it. Ids increase, so one that doesn't is spoiled. One that leaves
/// numbers out may be spoiled too: its event is held back until the next one
/// confirms it, so that neither this instance nor a caller resumes the stream
/// after an event that was never sent.
struct EventSequence {
  // Of the last released event; before it, the one that the caller has named.
  std::optional<uint64_t> last;
  std::string last_id;  // of the last released event; empty: none
  uint64_t step = 1;    // between ids, as far as seen
  std::optional<StreamEvent> held;
  bool has_released = false;
  // Events were released after `last_id` that have no id.
  bool has_gap = false;
};

/// @brief Returns a sequence for a call.
/// @param resumed_after id after which the caller resumes; empty: none.
EventSequence BeginSequence(const std::string& resumed_after);

/// @brief Events that may be relayed.
struct CheckedEvents {
  std::vector<StreamEvent> events;
  bool is_spoiled = false;  // the stream must be broken off after them
};

/// @brief Checks the next events of an endpoint. Events without data have no
/// place in the sequence and are released with the others.
CheckedEvents CheckEvents(EventSequence& sequence,
                          std::vector<StreamEvent> events);

/// @brief Releases the event that is held back: the stream is complete.
std::vector<StreamEvent> CompleteSequence(EventSequence& sequence);

/// @brief Drops the event that is held back: the stream was broken off.
void BreakSequence(EventSequence& sequence);

/// @brief True if a further endpoint can go on with the stream: nothing was
/// relayed yet, or the last relayed event has an id.
bool CanResume(const EventSequence& sequence);

}  // namespace celerykeel
