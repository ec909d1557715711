#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/node/keyed_topic.h"  // for KeyedTopic, ListEnd

namespace celerykeel {

struct Node;

/// @brief What an instance has read of a topic's list of keys, for metrics and
/// for the log of a start that waits.
struct ListReads {
  std::optional<Duration> since;  // begin of the read under way
  uint64_t pages = 0;             // since the start of the instance
  uint64_t records = 0;
  uint64_t bytes = 0;  // of keys and values
  uint64_t failed_pages = 0;
  uint64_t skips = 0;       // pages that didn't lead to a next one
  uint64_t incomplete = 0;  // lists that ended without all keys
};

using ListReadsByTopic = std::map<std::string, ListReads, std::less<>>;

/// @brief Notes a page of the list, and logs a line if the list has taken long
/// or a page led nowhere.
void RecordPage(Node& node,
                KeyedTopic& topic,
                const std::vector<KeyedRecord>& records);

/// @brief Notes that a page got no answer or can't be read.
void RecordFailedPage(Node& node, KeyedTopic& topic, const StoreError& error);

/// @brief Notes the end of a list; one of several pages gets a log line.
void RecordListEnd(Node& node, const KeyedTopic& topic, ListEnd end);

}  // namespace celerykeel
