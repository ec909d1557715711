#include "celerykeel/core/log_reads.h"

#include <algorithm>  // for std::clamp, std::max, std::min_element
#include <numeric>    // for std::accumulate

#include "celerykeel/core/link_rate.h"  // for BytesWithin

namespace celerykeel {

namespace {

// The store's limit for one read.
constexpr size_t kMaxReadBytes = 1024UL * 1024;
constexpr Duration kReadTime = std::chrono::milliseconds(100);
// Of all reads that are under way. Answers to other calls wait this long at
// most. Two reads keep the link busy while one of them is requested.
constexpr Duration kLinkTime = 2 * kReadTime;
constexpr double kMinShare = 1.0 / 64;

}  // namespace

uint64_t EstimateBytesLeft(const LogProgress& progress) {
  return progress.records_read == 0
             ? 0
             : progress.bytes_read / progress.records_read *
                   progress.records_left;
}

size_t BytesPerRead(const LogReads& reads) {
  const size_t most = std::max(kMaxReadBytes, reads.min_bytes);
  if (reads.link_mbps <= 0) {
    return most;
  }
  return std::clamp(BytesWithin(reads.link_mbps * reads.share, kReadTime),
                    reads.min_bytes, most);
}

uint64_t QueueRead(LogReads& reads, uint64_t bytes_left) {
  const uint64_t read = reads.next_read++;
  reads.waiting[read] = bytes_left;
  return read;
}

// The shortest log first: its slot serves after the shortest time, and the
// others hardly later than if all logs were read at the same time.
std::optional<uint64_t> StartNextRead(LogReads& reads) {
  if (reads.waiting.empty()) {
    return std::nullopt;
  }
  const size_t bytes = BytesPerRead(reads);
  if (reads.link_mbps > 0 && !reads.under_way.empty()) {
    const size_t requested = std::accumulate(
        reads.under_way.begin(), reads.under_way.end(), bytes,
        [](size_t sum, const auto& entry) { return sum + entry.second; });
    if (requested > BytesWithin(reads.link_mbps * reads.share, kLinkTime)) {
      return std::nullopt;
    }
  }
  const auto next = std::min_element(
      reads.waiting.begin(), reads.waiting.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  const uint64_t read = next->first;
  reads.waiting.erase(next);
  reads.under_way[read] = bytes;
  return read;
}

void EndRead(LogReads& reads, uint64_t read, bool is_complete) {
  reads.under_way.erase(read);
  reads.share = std::clamp(is_complete ? 2 * reads.share : reads.share / 2,
                           kMinShare, 1.0);
}

}  // namespace celerykeel
