#pragma once

#include <optional>  // for std::optional

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

struct Node;

/// @brief What an instance waited for after its start, for the log.
struct StartRecord {
  Duration started_at{};
  std::optional<Duration> configuration_at;  // the first one in force
  std::optional<Duration> endpoints_at;      // the first one known
  std::optional<Duration> members_at;        // their entries were read
  std::optional<Duration> first_claim_at;
  std::optional<Duration> slots_held_at;  // each slot has a holder
  Duration longest_replay{};              // of a slot
  bool is_logged = false;
  Duration reported_at{};  // when a log line last named what it waits for
};

/// @brief Notes what has come about since the last call. Logs one line when the
/// instance can serve all calls for the first time, and before, every few
/// seconds, what it waits for.
void UpdateStartRecord(Node& node);

/// @brief What an instance needs before it can serve all calls, in the order in
/// which the log names them.
struct StartNeeds {
  bool configuration = false;  // true: it is still missing
  bool evacuations = false;
  bool endpoints = false;
  bool members = false;
  size_t slots = 0;  // without a holder that can be reached
};

/// @brief Returns what is missing now.
StartNeeds MissingAtStart(const Node& node);

}  // namespace celerykeel
