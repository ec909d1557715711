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
};

/// @brief Notes what has come about since the last call. Logs one line when the
/// instance can serve all calls for the first time.
void UpdateStartRecord(Node& node);

}  // namespace celerykeel
