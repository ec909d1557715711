#pragma once

#include <cstdint>      // for uint64_t
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/store_call.h"  // for KeyedRecord, StoreError
#include "celerykeel/node/asio.h"        // for Task

namespace celerykeel {

struct Node;

/// @brief How far a topic that keeps the newest record of each key was read.
struct KeyedTopic {
  std::string_view name;
  std::optional<uint64_t> next;  // offset; nothing: all keys come first
};

using KeyedRecords = tl::expected<std::vector<KeyedRecord>, StoreError>;

/// @brief Reads the newest record of each key; news go on from there.
Task<KeyedRecords> ReadAllKeys(Node& node, KeyedTopic& topic);

/// @brief Reads what was written since `topic.next`. If the store has dropped
/// that, `next` is cleared.
/// @param wait_ms for a record, if there is none.
Task<KeyedRecords> ReadNewRecords(Node& node,
                                  KeyedTopic& topic,
                                  uint64_t wait_ms);

/// @brief Writes a key's newest value; an empty one drops the key.
Task<tl::expected<AppendDone, StoreError>> WriteKey(Node& node,
                                                    std::string_view topic,
                                                    std::string_view key,
                                                    std::string value);

}  // namespace celerykeel
