#include "celerykeel/node/keyed_topic.h"

#include <algorithm>  // for std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/list_log.h"      // for RecordPage
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/store_client.h"  // for ReadNewest
#include "platform/store_calls.h"          // for platform::DecodeKeyed

namespace celerykeel {

namespace {

// Others write the lists, and all instances share the calls that the store
// takes, also when all start at once. The pauses between the pages of a long
// list grow.
constexpr uint64_t kPagesWithoutPause = 16;
constexpr Duration kPauseStep = std::chrono::milliseconds(2);
constexpr Duration kMaxPagePause = std::chrono::milliseconds(400);
// What kept keys from being read may pass.
constexpr Duration kListAgainInterval = std::chrono::seconds(10);
constexpr int kTooMany = 429;
constexpr int kServerError = 500;

Duration PauseAfter(uint64_t pages) {
  return pages < kPagesWithoutPause
             ? Duration::zero()
             : std::min(kMaxPagePause,
                        kPauseStep *
                            static_cast<int64_t>(pages - kPagesWithoutPause));
}

void BeginList(KeyedTopic& topic) {
  topic.list.emplace();
  topic.list->cursor.wanted = topic.wanted;
  topic.list->began_at = Now();
  topic.list_again_at.reset();
}

// The same call would get the same answer again.
bool IsUnreadable(const StoreError& error) {
  const auto* refused = std::get_if<StoreRefused>(&error);
  return std::holds_alternative<BadAnswer>(error) ||
         (refused != nullptr && refused->status < kServerError &&
          refused->status != kTooMany);
}

// Reads a page and moves the list's cursor on.
Task<tl::expected<ListStep, StoreError>> ReadPage(Node& node,
                                                  KeyedTopic& topic,
                                                  const ApplyRecords& apply) {
  KeyedList& list = *topic.list;
  const NewestRecordsCall call{.topic = std::string(topic.name),
                               .after = list.cursor.after};
  const auto page = co_await ReadNewest(node, call);
  if (!page) {
    RecordFailedPage(node, topic, page.error());
    const ListStep step = IsUnreadable(page.error())
                              ? AdvancePastUnreadable(list.cursor)
                              : ListStep::kNextPage;
    if (IsUnreadable(page.error()) &&
        (list.end || step == ListStep::kNextPage)) {
      co_return step;
    }
    if (!list.end) {
      // Nothing was read that a later call could go on from.
      topic.list.reset();
    }
    co_return tl::unexpected(page.error());
  }
  if (!list.end) {
    // A key that was written after its part was read is found from here on.
    list.end = page->end;
    topic.next = topic.is_followed
                     ? std::min(topic.next.value_or(page->end), page->end)
                     : page->end;
  }
  if (page->left_out > 0) {
    list.cursor.is_complete = false;
  }
  apply(page->records);
  const ListStep step = Advance(list.cursor, page->records, page->more);
  RecordPage(node, topic, page->records);
  list.next_page_at = Now() + PauseAfter(list.pages);
  co_return step;
}

}  // namespace

bool IsListDue(const KeyedTopic& topic) {
  return !topic.next || topic.list ||
         (topic.list_again_at && Now() >= *topic.list_again_at);
}

bool HasEnded(const ListResult& result) {
  return result && *result != ListEnd::kGoesOn;
}

bool TakesLongerThan(const KeyedTopic& topic, Duration max_wait) {
  return topic.list && topic.list->pages > 0 &&
         Now() >= topic.list->began_at + max_wait;
}

Task<ListResult> ReadList(Node& node,
                          KeyedTopic& topic,
                          Duration time,
                          ApplyRecords apply) {
  const Duration until = Now() + time;
  if (!topic.list) {
    BeginList(topic);
  }
  while (true) {
    if (topic.list->next_page_at >= until) {
      co_return ListEnd::kGoesOn;
    }
    if (const Duration pause = topic.list->next_page_at - Now();
        pause > Duration::zero()) {
      co_await Sleep(node.io, pause);
    }
    const auto step = co_await ReadPage(node, topic, apply);
    if (!step) {
      co_return tl::unexpected(step.error());
    }
    if (*step != ListStep::kNextPage) {
      const ListEnd end = *step == ListStep::kComplete ? ListEnd::kComplete
                                                       : ListEnd::kIncomplete;
      RecordListEnd(node, topic, end);
      topic.list.reset();
      if (end == ListEnd::kIncomplete) {
        topic.list_again_at = Now() + kListAgainInterval;
      }
      co_return end;
    }
    if (Now() >= until) {
      co_return ListEnd::kGoesOn;
    }
  }
}

Task<KeyedRecords> ReadNewRecords(Node& node,
                                  KeyedTopic& topic,
                                  uint64_t wait_ms) {
  const ReadCall read{.topic = std::string(topic.name),
                      .partition = 0,
                      .from = *topic.next,
                      .wait_ms = wait_ms};
  const auto done = co_await Read(node, read);
  if (!done) {
    if (std::holds_alternative<Expired>(done.error())) {
      topic.next.reset();
      topic.list.reset();
    }
    co_return tl::unexpected(done.error());
  }
  topic.end = done->end;
  std::vector<KeyedRecord> records;
  records.reserve(done->records.size());
  for (const std::string& bytes : done->records) {
    records.push_back(platform::DecodeKeyed(bytes, (*topic.next)++));
  }
  co_return records;
}

Task<tl::expected<AppendDone, StoreError>>
WriteKeys(Node& node, std::string_view topic, std::vector<KeyedValue> values) {
  AppendCall call{.topic = std::string(topic),
                  .partition = 0,
                  .stamp = std::nullopt,
                  .records = {}};
  for (const KeyedValue& one : values) {
    call.records.push_back(platform::EncodeKeyed(one.key, one.value));
  }
  co_return co_await Append(node, std::move(call));
}

Task<tl::expected<AppendDone, StoreError>> WriteKey(Node& node,
                                                    std::string_view topic,
                                                    std::string_view key,
                                                    std::string value) {
  std::vector<KeyedValue> values;
  values.push_back({.key = std::string(key), .value = std::move(value)});
  co_return co_await WriteKeys(node, topic, std::move(values));
}

}  // namespace celerykeel
