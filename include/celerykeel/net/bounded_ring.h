#pragma once

#include <condition_variable>  // for std::condition_variable
#include <cstddef>             // for size_t
#include <mutex>               // for std::mutex
#include <optional>            // for std::optional
#include <utility>             // for std::move
#include <vector>              // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief A queue of fixed capacity between two threads' duties. A full ring
/// refuses; a closed ring refuses and lets the reader finish what is in it.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(size_t capacity) : slots(capacity) {}

  /// @brief Adds `item`; false if the ring is full or closed.
  bool Push(T item) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->count == this->slots.size()) {
        return false;
      }
      this->slots[(this->first + this->count) % this->slots.size()] =
          std::move(item);
      ++this->count;
    }
    this->changed.notify_one();
    return true;
  }

  /// @brief Takes the oldest item, if there is one.
  std::optional<T> TryPop() {
    const std::lock_guard lock(this->mutex);
    return this->PopLocked();
  }

  /// @brief Waits up to `timeout` for an item; nothing when it passes or the
  /// ring is closed and empty.
  std::optional<T> Pop(Duration timeout) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, timeout,
                           [this] { return this->count > 0 || this->closed; });
    return this->PopLocked();
  }

  void Close() {
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->changed.notify_all();
  }

  size_t Size() const {
    const std::lock_guard lock(this->mutex);
    return this->count;
  }

  bool Closed() const {
    const std::lock_guard lock(this->mutex);
    return this->closed;
  }

 private:
  std::optional<T> PopLocked() {
    if (this->count == 0) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(this->slots[this->first]));
    this->slots[this->first] = T{};
    this->first = (this->first + 1) % this->slots.size();
    --this->count;
    return item;
  }

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::vector<T> slots;
  size_t first = 0;
  size_t count = 0;
  bool closed = false;
};

}  // namespace celerykeel
