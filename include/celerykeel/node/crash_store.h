#pragma once

#include <map>     // for std::map
#include <string>  // for std::string

#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/node/asio.h"         // for Task
#include "celerykeel/node/keyed_topic.h"  // for KeyedTopic

namespace celerykeel {

struct Node;

/// @brief The crashes that the store keeps, for instances that start after the
/// loss of all. Only those of requests with several crashes: a single crash may
/// be forgotten.
struct CrashStore {
  struct Stored {
    bool others_missing = false;
    Duration seen_at{};
  };

  KeyedTopic topic{.name = "keyed.celerykeel-crashes"};
  std::map<std::string, Stored> stored;  // by key; written or read here
  bool is_writing = false;
};

/// @brief Reads the stored crashes once, as soon as the store answers.
Task<> ReadStoredCrashes(Node& node);

/// @brief Starts to write what the store lacks, and to delete what is not
/// needed any more. Does nothing without crashes.
void UpdateStoredCrashes(Node& node);

}  // namespace celerykeel
