#pragma once

#include <cstddef>      // for size_t
#include <deque>        // for std::deque
#include <map>          // for std::map
#include <span>         // for std::span
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/identity.h"  // for Offset
#include "celerykeel/core/time.h"      // for WallMillis

namespace celerykeel {

struct StoredRecord {
  Offset offset = 0;
  WallMillis time_ms = 0;
  std::string payload;
};

struct LogStream {
  std::deque<StoredRecord> records;  // those still retained
  Offset next_offset = 1;
};

/// @brief The streams of an append-only log, each with offsets from 1.
struct LogStore {
  std::map<std::string, LogStream, std::less<>> streams;
};

struct LogPage {
  Offset earliest_offset = 1;  // the first offset still retained
  Offset next_offset = 1;
  std::vector<StoredRecord> records;
};

/// @brief Appends `payloads` at consecutive offsets.
/// @return the first of them, or the next offset if there are no payloads.
Offset AppendRecords(LogStore& store,
                     std::string_view stream,
                     std::span<const std::string> payloads,
                     WallMillis now);

/// @brief Reads at most `max` retained records from offset `from` on.
LogPage ReadRecords(const LogStore& store,
                    std::string_view stream,
                    Offset from,
                    size_t max);

/// @brief Drops records older than `retention_ms`, in all streams.
void ExpireByAge(LogStore& store, WallMillis retention_ms, WallMillis now);

/// @brief Drops the records of a stream whose offset is below `before`.
void ExpireBefore(LogStore& store, std::string_view stream, Offset before);

}  // namespace celerykeel
