#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel {

/// @brief One event of a text/event-stream.
struct StreamEvent {
  std::string raw;   // including the terminating blank line
  std::string id;    // empty if it has none
  std::string data;  // the lines of its data, joined by line feeds
};

/// @brief Splits a stream into complete events and buffers the remaining bytes.
struct EventSplitter {
  std::string partial;
};

/// @brief Max size of an incomplete event in bytes, as an endpoint may send an
/// endless one. Callers of AddBytes check it. Events of model engines have a
/// few hundred bytes.
inline constexpr size_t kMaxEventBytes = 256UL * 1024;

/// @brief Adds bytes and returns the events that are now complete. Lines may
/// end in LF or CRLF.
std::vector<StreamEvent> AddBytes(EventSplitter& splitter,
                                  std::string_view bytes);

/// @brief Returns the number of an event id; nothing if it is no decimal
/// number of at most 19 digits. Ids of resumable streams increase, so they are
/// numbers.
std::optional<uint64_t> EventNumber(std::string_view id);

}  // namespace celerykeel
