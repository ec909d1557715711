#include "celerykeel/node/keyed_topic.h"

#include <iterator>  // for std::make_move_iterator
#include <utility>   // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/list_log.h"      // for RecordPage
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/store_client.h"  // for ReadNewest
#include "platform/store_calls.h"          // for platform::DecodeKeyed

namespace celerykeel {

Task<KeyedRecords> ReadAllKeys(Node& node, KeyedTopic& topic) {
  NewestRecordsCall call{.topic = std::string(topic.name), .after = {}};
  std::vector<KeyedRecord> all;
  std::optional<uint64_t> next;
  topic.list.emplace();
  topic.list->began_at = Now();
  while (true) {
    auto done = co_await ReadNewest(node, call);
    if (!done) {
      RecordFailedPage(node, topic, done.error());
      co_return tl::unexpected(done.error());
    }
    // A key that was written after its part was read is found from here on.
    next = next.value_or(done->end);
    RecordPage(node, topic, done->records);
    all.insert(all.end(), std::make_move_iterator(done->records.begin()),
               std::make_move_iterator(done->records.end()));
    if (!done->more || done->records.empty()) {
      RecordListEnd(node, topic);
      topic.list.reset();
      topic.next = next;
      co_return all;
    }
    call.after = all.back().key;
    topic.list->after = call.after;
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
    }
    co_return tl::unexpected(done.error());
  }
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
