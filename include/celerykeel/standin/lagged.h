#pragma once

#include <deque>    // for std::deque
#include <utility>  // for std::move

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief A value that readers see as it was some time ago.
template <typename T>
struct Lagged {
  struct Version {
    Duration set_at{};
    T value;
  };

  Duration lag{};
  T oldest{};                    // before the first of `versions`
  std::deque<Version> versions;  // by time
};

/// @brief The value set last at least `lag` before `now`.
template <typename T>
const T& ReadLagged(Lagged<T>& lagged, Duration now) {
  while (!lagged.versions.empty() &&
         lagged.versions.front().set_at + lagged.lag <= now) {
    lagged.oldest = std::move(lagged.versions.front().value);
    lagged.versions.pop_front();
  }
  return lagged.oldest;
}

template <typename T>
void SetLagged(Lagged<T>& lagged, T value, Duration now) {
  lagged.versions.push_back({now, std::move(value)});
  ReadLagged(lagged, now);  // drops what nobody can read any more
}

/// @brief The value set last, whatever its age.
template <typename T>
const T& NewestOf(const Lagged<T>& lagged) {
  return lagged.versions.empty() ? lagged.oldest : lagged.versions.back().value;
}

}  // namespace celerykeel
