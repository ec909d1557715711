#include "celerykeel/core/list_cursor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>  // for std::map
#include <set>  // for std::set

#include "celerykeel/testing/property.h"  // for CheckProperty

namespace celerykeel {
namespace {

constexpr size_t kMaxPages = 100'000;

// A list that a store pages by byte order, as the platform's page has it.
struct PagedList {
  std::set<std::string> keys;
  size_t page_size = 3;
  bool ignores_after = false;
  bool seeks_own_keys_only = false;  // any other key leads to the first page
  std::map<std::string, std::string> shown_as{};  // keys that JSON can't hold

  std::vector<KeyedRecord> Page(const std::string& after, bool& more) const {
    auto at = keys.begin();
    if (!ignores_after && (!seeks_own_keys_only || keys.contains(after))) {
      at = keys.upper_bound(after);
    }
    std::vector<KeyedRecord> records;
    for (; at != keys.end() && records.size() < page_size; ++at) {
      const auto shown = shown_as.find(*at);
      records.push_back({.key = shown == shown_as.end() ? *at : shown->second,
                         .value = "v",
                         .dropped = false,
                         .offset = 0});
    }
    more = at != keys.end();
    return records;
  }
};

struct ReadResult {
  ListStep end = ListStep::kNextPage;  // unless the list never ended
  size_t pages = 0;
  std::set<std::string> keys;
};

ReadResult ReadAll(const PagedList& list, std::vector<WantedKeys> wanted) {
  ListCursor cursor;
  cursor.wanted = std::move(wanted);
  ReadResult result;
  while (result.end == ListStep::kNextPage && result.pages < kMaxPages) {
    bool more = false;
    const auto records = list.Page(cursor.after, more);
    for (const KeyedRecord& record : records) {
      result.keys.insert(record.key);
    }
    ++result.pages;
    result.end = Advance(cursor, records, more);
  }
  return result;
}

PagedList OfForeignKeys(size_t count, const std::string& prefix) {
  PagedList list;
  for (size_t i = 0; i < count; ++i) {
    list.keys.insert(prefix + std::to_string(100'000 + i));
  }
  return list;
}

const std::vector<WantedKeys> kWanted = {
    {.key = "config"},
    {.key = "evacuate/", .is_prefix = true}};

TEST_CASE("all keys of a list are read, whatever their bytes") {
  CHECK(CheckProperty(
      60, [](const std::set<std::string>& keys, uint8_t page_size) {
        PagedList list{.keys = keys, .page_size = size_t{page_size} % 7 + 1};
        list.keys.erase("");
        const ReadResult result = ReadAll(list, {});
        RC_ASSERT(result.end == ListStep::kComplete);
        RC_ASSERT(result.keys == list.keys);
      }));
}

// Guards against a start that takes as long as others' keys are many.
TEST_CASE("a wanted key is found after few pages of any number") {
  for (const std::string prefix : {"a", "con", "configs", "d", "z", "\x01"}) {
    PagedList list = OfForeignKeys(30'000, prefix);
    for (const std::string key : {"config", "evacuate/a", "evacuate/b"}) {
      list.keys.insert(key);
    }
    const ReadResult result = ReadAll(list, kWanted);
    CAPTURE(prefix);
    CHECK(result.end == ListStep::kComplete);
    CHECK(result.keys.contains("config"));
    CHECK(result.keys.contains("evacuate/a"));
    CHECK(result.keys.contains("evacuate/b"));
    CHECK(result.pages <= 8);
  }
}

TEST_CASE("a list without one of the wanted keys ends after few pages") {
  PagedList list = OfForeignKeys(30'000, "a");
  CHECK(ReadAll(list, kWanted).pages <= 30'000 / 3 + 2);
  list.keys.insert("config");
  const ReadResult result = ReadAll(list, kWanted);
  CHECK(result.end == ListStep::kComplete);
  CHECK(result.pages <= 4);
}

TEST_CASE("a store that seeks only the keys it has is read page by page") {
  PagedList list = OfForeignKeys(3'000, "a");
  list.keys.insert("config");
  list.keys.insert("evacuate/a");
  list.seeks_own_keys_only = true;
  const ReadResult result = ReadAll(list, kWanted);
  CHECK(result.end == ListStep::kComplete);
  CHECK(result.keys == list.keys);
}

// Guards against a reader that asks for the same page for ever.
TEST_CASE("a list whose pages come again ends") {
  for (const size_t size : {1, 3, 50}) {
    PagedList list = OfForeignKeys(100, "a05&b=");
    list.page_size = size;
    list.ignores_after = true;
    for (const auto& wanted : {std::vector<WantedKeys>(), kWanted}) {
      const ReadResult result = ReadAll(list, wanted);
      CHECK(result.end == ListStep::kIncomplete);
      CHECK(result.pages <= 2 * kMaxListSkips + 4);
    }
  }
  ListCursor cursor;
  CHECK(Advance(cursor, {}, true) == ListStep::kIncomplete);
}

// Guards against keys that aren't UTF-8: the store lists them in another form,
// which sorts elsewhere, so a page may lead to itself.
TEST_CASE("keys that the store can't show don't hide those after them") {
  const std::string replaced = "\xEF\xBF\xBD";
  for (const std::string prefix : {"", "a", "i-"}) {
    for (const std::string byte : {"\x80", "\xc3", "\xff"}) {
      PagedList list;
      list.keys = {"config", "i-1", "i-2", "j"};
      for (int i = 0; i < 20; ++i) {
        const std::string rest = std::to_string(10 + i);
        const std::string key = std::string(prefix).append(byte).append(rest);
        list.keys.insert(key);
        list.shown_as[key] = std::string(prefix).append(replaced).append(rest);
      }
      CAPTURE(prefix);
      CAPTURE(int(static_cast<unsigned char>(byte[0])));
      const ReadResult result = ReadAll(list, {});
      CHECK(result.end != ListStep::kNextPage);
      CHECK(result.pages <= 60);
      for (const std::string key : {"config", "i-1", "i-2", "j"}) {
        CHECK(result.keys.contains(key));
      }
    }
  }
}

// Guards against evacuations that are revoked, as a page that was left out did
// not list them.
TEST_CASE("a list of wanted keys with a page left out isn't complete") {
  const auto records_of = [](const std::vector<std::string>& keys) {
    std::vector<KeyedRecord> records;
    records.reserve(keys.size());
    for (const std::string& key : keys) {
      records.push_back(
          {.key = key, .value = "v", .dropped = false, .offset = 0});
    }
    return records;
  };
  ListCursor cursor;
  cursor.wanted = kWanted;
  CHECK(Advance(cursor, records_of({"config", "evacuate/a"}), true) ==
        ListStep::kNextPage);
  SUBCASE("it can't be read") {
    CHECK(AdvancePastUnreadable(cursor) == ListStep::kNextPage);
  }
  SUBCASE("it has no keys") {
    CHECK(Advance(cursor, {}, true) == ListStep::kNextPage);
  }
  CHECK(Advance(cursor, records_of({"x1", "x2"}), true) ==
        ListStep::kIncomplete);
}

// Guards against a key that is stuck at a list's end after others were passed.
TEST_CASE("each place that leads nowhere is passed for itself") {
  ListCursor cursor;
  for (const std::string key : {"a0000001", "b0000001", "c0000001"}) {
    cursor.after = key;
    CHECK(Advance(cursor, {}, true) == ListStep::kNextPage);
    CHECK(cursor.after.substr(0, 7) == key.substr(0, 7));
    const KeyedRecord record{
        .key = key + "1", .value = "v", .dropped = false, .offset = 0};
    CHECK(Advance(cursor, {&record, 1}, true) == ListStep::kNextPage);
  }
}

TEST_CASE("a page that can't be read is passed") {
  ListCursor cursor;
  cursor.wanted = kWanted;
  CHECK(AdvancePastUnreadable(cursor) == ListStep::kNextPage);
  CHECK(cursor.after > "confif");
  CHECK(cursor.after < "config");
  ListCursor all;
  CHECK(AdvancePastUnreadable(all) == ListStep::kIncomplete);
  all.after = "a05";
  all.skip_level = 0;
  CHECK(AdvancePastUnreadable(all) == ListStep::kNextPage);
  CHECK(all.after == "a06");
  CHECK_FALSE(all.is_complete);
}

}  // namespace
}  // namespace celerykeel
