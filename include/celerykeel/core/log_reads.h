#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <map>       // for std::map
#include <optional>  // for std::optional

namespace celerykeel {

/// @brief The reads of the logs of several slots over one link. Reads that are
/// under way together are bounded by what the link carries in a short time, so
/// that each ends in time and other calls are not held up.
struct LogReads {
  double link_mbps = 0;  // 0: unknown, reads are not bounded
  // A record with its framing; a shorter read may bring nothing.
  size_t min_bytes = 0;
  // Part of the link that is used. Halved by each failed read, doubled by each
  // complete one, up to 1.
  double share = 1;
  // Bytes estimated to be left of the logs whose next read waits, by read.
  std::map<uint64_t, uint64_t> waiting;
  std::map<uint64_t, size_t> under_way;  // bytes requested, by read
  uint64_t next_read = 1;
};

/// @brief How far a log was read.
struct LogProgress {
  uint64_t records_read = 0;
  uint64_t bytes_read = 0;
  uint64_t records_left = 0;
};

/// @brief Estimates the bytes left of a log; 0 if nothing of it was read.
uint64_t EstimateBytesLeft(const LogProgress& progress);

/// @brief Returns how many bytes the next read may bring.
size_t BytesPerRead(const LogReads& reads);

/// @brief Queues the next read of a slot's log.
/// @return the number of the read.
uint64_t QueueRead(LogReads& reads, uint64_t bytes_left);

/// @brief Starts the next read, if the link has room for it: that of the log of
/// which the least is left. Logs of which nothing was read come first.
/// @return the number of the read.
std::optional<uint64_t> StartNextRead(LogReads& reads);

/// @brief Ends a read that was started.
/// @param is_complete false if it failed.
void EndRead(LogReads& reads, uint64_t read, bool is_complete);

}  // namespace celerykeel
