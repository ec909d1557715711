#pragma once

#include <cstdint>      // for uint64_t
#include <functional>   // for std::function
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/list_cursor.h"  // for ListCursor
#include "celerykeel/core/store_call.h"   // for KeyedRecord, StoreError
#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/node/asio.h"         // for Task

namespace celerykeel {

struct Node;

/// @brief A read of the newest record of each key that is under way.
struct KeyedList {
  ListCursor cursor;
  std::optional<uint64_t> end;  // of the topic, when the read began
  Duration began_at{};
  Duration logged_at{};     // time of the last log line on it
  Duration next_page_at{};  // a long list is read slowly
  uint64_t pages = 0;
  uint64_t records = 0;
  uint64_t bytes = 0;  // of keys and values
};

/// @brief Read position in a topic that keeps the newest record of each key.
struct KeyedTopic {
  std::string_view name;
  std::optional<uint64_t> next{};  // offset; nothing: read all keys first
  uint64_t end = 0;                // of the topic, at the last read of records
  // The records from `next` on are read all the time, so that a list must not
  // move it past some of them.
  bool is_followed = true;
  std::vector<WantedKeys> wanted{};  // see ListCursor
  std::optional<KeyedList> list{};   // under way
  // When a list that ended without all keys is read again.
  std::optional<Duration> list_again_at{};
};

/// @brief True if the list is under way or has to be read.
bool IsListDue(const KeyedTopic& topic);

using KeyedRecords = tl::expected<std::vector<KeyedRecord>, StoreError>;

enum class ListEnd {
  kComplete,    // each key was listed
  kIncomplete,  // it has ended, and keys may be missing
  kGoesOn,      // the time is up; the next call goes on there
};

using ListResult = tl::expected<ListEnd, StoreError>;

/// @brief True if the list has ended, with all keys or without some.
bool HasEnded(const ListResult& result);

/// @brief True if the list under way has had pages for `max_wait`: its reader
/// is to go on without the rest.
bool TakesLongerThan(const KeyedTopic& topic, Duration max_wait);

/// @brief Takes the records of one page.
using ApplyRecords = std::function<void(const std::vector<KeyedRecord>&)>;

/// @brief Reads the newest record of each key, one page after the other, and
/// passes each page to `apply`. Sets `topic.next`, with the first page, to
/// where ReadNewRecords continues; records that were written during the read
/// may be read again. After an error the next call goes on at the same page.
/// @param time after which no further page is read.
Task<ListResult> ReadList(Node& node,
                          KeyedTopic& topic,
                          Duration time,
                          ApplyRecords apply);

/// @brief Reads the records from `topic.next` on, which must be set; one call's
/// worth of them. Clears `topic.next` if the store has deleted records from
/// there on.
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
