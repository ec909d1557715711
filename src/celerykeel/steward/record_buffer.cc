#include "celerykeel/steward/record_buffer.h"

#include <utility>  // for std::move

namespace celerykeel {

void Add(RecordBuffer& buffer, LogEntry entry) {
  buffer.bytes += entry.payload.size();
  buffer.entries.push_back(std::move(entry));
  while (buffer.bytes > buffer.max_bytes && buffer.entries.size() > 1) {
    buffer.bytes -= buffer.entries.front().payload.size();
    buffer.entries.pop_front();
  }
}

void Clear(RecordBuffer& buffer) {
  buffer.entries.clear();
  buffer.bytes = 0;
}

bool Covers(const RecordBuffer& buffer, Offset offset, Offset end) {
  if (offset >= end) {
    return true;
  }
  return !buffer.entries.empty() && buffer.entries.front().offset <= offset + 1;
}

size_t PositionAfter(const RecordBuffer& buffer, Offset offset) {
  if (buffer.entries.empty()) {
    return 0;
  }
  const Offset first = buffer.entries.front().offset;
  return offset < first ? 0 : static_cast<size_t>(offset - first + 1);
}

}  // namespace celerykeel
