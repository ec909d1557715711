#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <optional>  // for std::optional
#include <span>      // for std::span
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/store_call.h"  // for KeyedRecord

namespace celerykeel {

/// @brief One key, or all keys with a prefix.
struct WantedKeys {
  std::string key;
  bool is_prefix = false;
};

/// @brief A reader's place in a list of keys that comes page by page, each page
/// with the keys after a given one. Others write the keys: they may be any
/// bytes, their number has no bound, and the key of a page's end may not lead
/// to the next page.
struct ListCursor {
  std::string after;  // where the next page begins; empty: the first one

  // The keys that the reader needs, in ascending order; empty: all keys. Keys
  // between them are not read if the pages are in order.
  std::vector<WantedKeys> wanted;
  std::optional<std::string> jumped_from;  // last key before a jump
  bool may_jump = true;                    // false: a jump went wrong
  bool has_jumped = false;                 // the last jump led to keys

  // Cycle detection after Brent: a last key that is compared with those of the
  // following pages, and is replaced after `anchor_lifetime` of them.
  std::optional<std::string> anchor;
  uint64_t anchor_lifetime = 1;
  uint64_t pages_since_anchor = 0;

  uint32_t skips = 0;        // times that the pages didn't advance
  uint32_t skip_level = 0;   // of these, since a page that did
  bool is_complete = true;   // false: keys may have been left out
  std::string last_skipped;  // key that didn't lead to the next page
};

enum class ListStep {
  kNextPage,    // read the page after `after`
  kComplete,    // the list has ended
  kIncomplete,  // nothing leads further; keys may be missing
};

/// @brief Moves on after a page.
/// @param records the page's records, in its order.
/// @param more the store says that other keys follow.
ListStep Advance(ListCursor& cursor,
                 std::span<const KeyedRecord> records,
                 bool more);

/// @brief Moves on after a page that can't be read.
ListStep AdvancePastUnreadable(ListCursor& cursor);

/// @brief Most skips in a list. Each in a row halves the part of the key that
/// the next page is sought by, so a key of 255 bytes takes nine.
inline constexpr uint32_t kMaxListSkips = 16;

}  // namespace celerykeel
