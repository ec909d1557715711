#pragma once

#include <cstdint>      // for uint64_t
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/store_call.h"  // for KeyedRecord, StoreError
#include "celerykeel/core/time.h"        // for Duration
#include "celerykeel/node/asio.h"        // for Task

namespace celerykeel {

struct Node;

/// @brief A read of the newest record of each key that is under way.
struct KeyedList {
  std::string after;  // key after which the next page begins
  Duration began_at{};
  Duration logged_at{};  // time of the last log line on it
  uint64_t pages = 0;
  uint64_t records = 0;
  uint64_t bytes = 0;  // of keys and values
};

/// @brief Read position in a topic that keeps the newest record of each key.
struct KeyedTopic {
  std::string_view name;
  std::optional<uint64_t> next{};   // offset; nothing: read all keys first
  std::optional<KeyedList> list{};  // under way
};

using KeyedRecords = tl::expected<std::vector<KeyedRecord>, StoreError>;

/// @brief Reads the newest record of each key, and sets `topic.next` to where
/// ReadNewRecords continues. Records that were written during the read may be
/// read again.
Task<KeyedRecords> ReadAllKeys(Node& node, KeyedTopic& topic);

/// @brief Reads the records from `topic.next` on, which must be set. Clears
/// `topic.next` if the store has deleted records from there on.
/// @param wait_ms longest wait in the store for a record if there is none.
Task<KeyedRecords> ReadNewRecords(Node& node,
                                  KeyedTopic& topic,
                                  uint64_t wait_ms);

struct KeyedValue {
  std::string key;
  std::string value;  // empty: deletes the key
};

/// @brief Writes the newest values of keys, all or none.
Task<tl::expected<AppendDone, StoreError>>
WriteKeys(Node& node, std::string_view topic, std::vector<KeyedValue> values);

/// @brief Writes a key's newest value; an empty value deletes the key.
Task<tl::expected<AppendDone, StoreError>> WriteKey(Node& node,
                                                    std::string_view topic,
                                                    std::string_view key,
                                                    std::string value);

}  // namespace celerykeel
