#include "celerykeel/standin/log_store.h"

#include <algorithm>  // for std::ranges::lower_bound
#include <utility>    // for std::move

namespace celerykeel {

Offset AppendRecords(LogStore& store,
                     std::string_view stream,
                     std::span<const std::string> payloads,
                     WallMillis now) {
  auto& [records, next_offset] = store.streams[std::string(stream)];
  const Offset first = next_offset;
  for (const std::string& payload : payloads) {
    records.push_back({next_offset, now, payload});
    ++next_offset;
  }
  return first;
}

LogPage ReadRecords(const LogStore& store,
                    std::string_view stream,
                    Offset from,
                    size_t max) {
  const auto found = store.streams.find(stream);
  if (found == store.streams.end()) {
    return {};
  }
  const auto& [records, next_offset] = found->second;
  LogPage page{
      .earliest_offset = records.empty() ? next_offset : records.front().offset,
      .next_offset = next_offset,
      .records = {}};
  auto record =
      std::ranges::lower_bound(records, from, {}, &StoredRecord::offset);
  for (; record != records.end() && page.records.size() < max; ++record) {
    page.records.push_back(*record);
  }
  return page;
}

void ExpireByAge(LogStore& store, WallMillis retention_ms, WallMillis now) {
  for (auto& [name, stream] : store.streams) {
    while (!stream.records.empty() &&
           stream.records.front().time_ms < now - retention_ms) {
      stream.records.pop_front();
    }
  }
}

void ExpireBefore(LogStore& store, std::string_view stream, Offset before) {
  const auto found = store.streams.find(stream);
  if (found == store.streams.end()) {
    return;
  }
  auto& records = found->second.records;
  while (!records.empty() && records.front().offset < before) {
    records.pop_front();
  }
}

}  // namespace celerykeel
