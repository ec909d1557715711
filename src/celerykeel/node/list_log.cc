#include "celerykeel/node/list_log.h"

#include <algorithm>  // for std::max

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/node.h"   // for Node

namespace celerykeel {

namespace {

// Lists of calm days are read within milliseconds. A line at this interval says
// how far a longer one has come.
constexpr Duration kLogInterval = std::chrono::seconds(2);

void LogList(Node& node,
             const KeyedTopic& topic,
             std::string_view event,
             std::string_view reason) {
  const KeyedList& list = *topic.list;
  WriteLog(node.log, LogLevel::kUnusual, event,
           {{"topic", topic.name},
            {"pages", list.pages},
            {"records", list.records},
            {"bytes", list.bytes},
            {"after", list.cursor.after},
            {"skips", list.cursor.skips},
            {"after_ms", Now() - list.began_at},
            {"reason", reason}});
}

// Logs at most one line each kLogInterval, the first one after that time.
void LogLongList(Node& node, KeyedTopic& topic, std::string_view reason) {
  KeyedList& list = *topic.list;
  const Duration now = Now();
  if (now >= std::max(list.logged_at, list.began_at) + kLogInterval) {
    list.logged_at = now;
    LogList(node, topic, "list being read", reason);
  }
}

}  // namespace

void RecordPage(Node& node,
                KeyedTopic& topic,
                const std::vector<KeyedRecord>& records) {
  KeyedList& list = *topic.list;
  ListReads& reads = node.list_reads[std::string(topic.name)];
  reads.since = reads.since.value_or(list.began_at);
  ++list.pages;
  ++reads.pages;
  for (const KeyedRecord& record : records) {
    const size_t bytes = record.key.size() + record.value.size();
    ++list.records;
    ++reads.records;
    list.bytes += bytes;
    reads.bytes += bytes;
  }
  LogLongList(node, topic, "pages follow");
}

void RecordFailedPage(Node& node, KeyedTopic& topic, const StoreError& error) {
  ListReads& reads = node.list_reads[std::string(topic.name)];
  reads.since = reads.since.value_or(topic.list->began_at);
  ++reads.failed_pages;
  LogLongList(node, topic, Describe(error));
}

void RecordListEnd(Node& node, const KeyedTopic& topic, ListEnd end) {
  ListReads& reads = node.list_reads[std::string(topic.name)];
  reads.since.reset();
  reads.skips += topic.list->cursor.skips;
  if (end == ListEnd::kIncomplete) {
    ++reads.incomplete;
    LogList(node, topic, "list incomplete",
            "no page follows " + topic.list->cursor.last_skipped);
  } else if (topic.list->pages > 1) {
    LogList(node, topic, "list read", "complete");
  }
}

}  // namespace celerykeel
