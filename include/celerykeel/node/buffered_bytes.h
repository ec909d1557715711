#pragma once

#include <cstddef>  // for size_t

namespace celerykeel {

/// @brief Limit for one complete answer.
inline constexpr size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
/// @brief Limit for all complete answers being read at the same time: a quarter
/// of the memory of the smallest known instance, 88 MB.
inline constexpr size_t kMaxBufferedBytes = 22UL * 1024 * 1024;

/// @brief Counts the bytes of an answer that is being read, and includes them
/// in the total of all such answers during the lifetime of this object.
class BufferedBytes {
 public:
  explicit BufferedBytes(size_t& total_bytes) : total(total_bytes) {}
  ~BufferedBytes() { this->total -= this->own; }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  /// @return false if a limit is exceeded.
  bool Add(size_t bytes) {
    this->own += bytes;
    this->total += bytes;
    return this->own <= kMaxAnswerBytes && this->total <= kMaxBufferedBytes;
  }

 private:
  size_t& total;
  size_t own = 0;
};

}  // namespace celerykeel
