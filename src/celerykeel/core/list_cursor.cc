#include "celerykeel/core/list_cursor.h"

#include <algorithm>    // for std::find_if, std::is_sorted
#include <string_view>  // for std::string_view
#include <utility>      // for std::exchange, std::move

namespace celerykeel {

namespace {

// What stands in a text for bytes that are not UTF-8. Such a key isn't the one
// that the store has.
constexpr std::string_view kReplacement = "\xEF\xBF\xBD";
// The highest code point, in UTF-8.
constexpr std::string_view kLastCodePoint = "\xF4\x8F\xBF\xBF";
constexpr char kLastBumped = '~';  // of ASCII

bool IsExact(std::string_view key) {
  return key.find(kReplacement) == std::string_view::npos;
}

// A key that sorts before all keys with the prefix and after almost all others.
std::string JustBefore(std::string_view prefix) {
  std::string key(prefix);
  --key.back();
  return key.append(kLastCodePoint);
}

// The lowest key above all that begin with `prefix`, shortened until its last
// character can be raised; empty if there is none.
std::string JustAbove(std::string prefix) {
  while (!prefix.empty() && (static_cast<unsigned char>(prefix.back()) >=
                             static_cast<unsigned char>(kLastBumped))) {
    prefix.pop_back();
  }
  if (!prefix.empty()) {
    ++prefix.back();
  }
  return prefix;
}

bool IsInOrder(const ListCursor& cursor, std::span<const KeyedRecord> records) {
  return records.front().key > cursor.after &&
         std::is_sorted(records.begin(), records.end(),
                        [](const KeyedRecord& a, const KeyedRecord& b) {
                          return a.key < b.key;
                        });
}

// @return true if the next page would begin where an earlier one began.
bool IsRepeated(ListCursor& cursor, const std::string& after) {
  if (cursor.anchor == after) {
    return true;
  }
  if (++cursor.pages_since_anchor >= cursor.anchor_lifetime) {
    cursor.anchor = after;
    cursor.anchor_lifetime *= 2;
    cursor.pages_since_anchor = 0;
  }
  return false;
}

// Returns the first of the wanted keys above `key`; null if there is none.
const std::string* NextWanted(const ListCursor& cursor,
                              const std::string& key) {
  const auto next = std::find_if(
      cursor.wanted.begin(), cursor.wanted.end(),
      [&key](const WantedKeys& wanted) { return wanted.key > key; });
  return next == cursor.wanted.end() ? nullptr : &next->key;
}

ListStep EndOf(const ListCursor& cursor) {
  return cursor.is_complete ? ListStep::kComplete : ListStep::kIncomplete;
}

// Seeks the next page by less and less of a key that leads nowhere.
ListStep Skip(ListCursor& cursor, const std::string& key) {
  cursor.is_complete = false;
  cursor.last_skipped = key;
  const std::string* wanted = NextWanted(cursor, key);
  while (cursor.skips < kMaxListSkips) {
    // A key of the list that holds replaced bytes is known up to these.
    const size_t exact = std::min(key.find(kReplacement), key.size());
    const size_t size = exact >> cursor.skip_level;
    ++cursor.skips;
    ++cursor.skip_level;
    std::string above = JustAbove(key.substr(0, size));
    if (wanted != nullptr && (above.empty() || *wanted <= above)) {
      above = JustBefore(*wanted);
    }
    if (above.empty()) {
      break;
    }
    if (above != cursor.after) {
      cursor.after = std::move(above);
      return ListStep::kNextPage;
    }
  }
  return ListStep::kIncomplete;
}

// The jump to a wanted key went wrong: reads all keys from before it.
ListStep UndoJump(ListCursor& cursor) {
  cursor.may_jump = false;
  cursor.after = *cursor.jumped_from;
  cursor.jumped_from.reset();
  return ListStep::kNextPage;
}

// True if wanted keys may follow `key` directly.
bool IsAmongWanted(const ListCursor& cursor, const std::string& key) {
  return std::any_of(cursor.wanted.begin(), cursor.wanted.end(),
                     [&key](const WantedKeys& wanted) {
                       return wanted.is_prefix && key.starts_with(wanted.key);
                     });
}

// Leaves out the keys up to the next wanted one.
void JumpTo(ListCursor& cursor, const std::string& wanted) {
  if (std::string before = JustBefore(wanted); before > cursor.after) {
    cursor.jumped_from = std::exchange(cursor.after, std::move(before));
  }
}

// A store that doesn't seek by any key answers with other keys than those that
// follow. No key at all is credible if an earlier jump led to keys.
bool HasJumpFailed(ListCursor& cursor, std::span<const KeyedRecord> records) {
  if (records.empty()) {
    return !cursor.has_jumped;
  }
  cursor.has_jumped = IsInOrder(cursor, records);
  return !cursor.has_jumped;
}

}  // namespace

ListStep Advance(ListCursor& cursor,
                 std::span<const KeyedRecord> records,
                 bool more) {
  if (cursor.jumped_from) {
    if (HasJumpFailed(cursor, records)) {
      return UndoJump(cursor);
    }
    cursor.jumped_from.reset();
  }
  if (!more) {
    return EndOf(cursor);
  }
  if (records.empty()) {
    return Skip(cursor, cursor.after);
  }
  const bool may_jump =
      cursor.may_jump && !cursor.wanted.empty() && IsInOrder(cursor, records);
  // Prefers a key that the store has, even if it repeats some records.
  const auto exact = std::find_if(
      records.rbegin(), records.rend(),
      [](const KeyedRecord& record) { return IsExact(record.key); });
  if (exact != records.rend() && exact->key != cursor.after) {
    cursor.after = exact->key;
  } else {
    cursor.after = records.back().key;
    cursor.is_complete = false;  // it may sort behind keys that are not read
  }
  if (IsRepeated(cursor, cursor.after)) {
    return Skip(cursor, cursor.after);
  }
  cursor.skip_level = 0;
  if (may_jump && !IsAmongWanted(cursor, cursor.after)) {
    const std::string* wanted = NextWanted(cursor, cursor.after);
    if (wanted == nullptr) {
      return EndOf(cursor);
    }
    JumpTo(cursor, *wanted);
  }
  return ListStep::kNextPage;
}

ListStep AdvancePastUnreadable(ListCursor& cursor) {
  if (cursor.jumped_from) {
    return UndoJump(cursor);
  }
  if (const std::string* wanted = NextWanted(cursor, cursor.after);
      wanted != nullptr && cursor.may_jump) {
    cursor.is_complete = false;
    JumpTo(cursor, *wanted);
    if (cursor.jumped_from) {
      return ListStep::kNextPage;
    }
  }
  return Skip(cursor, cursor.after);
}

}  // namespace celerykeel
