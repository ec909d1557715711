#pragma once

#include <cstddef>  // for size_t
#include <deque>    // for std::deque

#include "celerykeel/net/log_client.h"  // for LogEntry

namespace celerykeel {

/// @brief The newest records of the fleet stream as they stand in the log, for
/// readers that lag; a reader that lags further takes a snapshot.
struct RecordBuffer {
  std::deque<LogEntry> entries;  // consecutive
  size_t bytes = 0;
  size_t max_bytes = size_t{4} * 1024 * 1024;
};

/// @brief Adds the next record, and drops the oldest past the limit.
void Add(RecordBuffer& buffer, LogEntry entry);

void Clear(RecordBuffer& buffer);

/// @brief True if the buffer holds all that follows `offset` up to `end`.
bool Covers(const RecordBuffer& buffer, Offset offset, Offset end);

/// @brief Position in `entries` of the first record after `offset`; needs
/// Covers.
size_t PositionAfter(const RecordBuffer& buffer, Offset offset);

}  // namespace celerykeel
