#pragma once

#include <cstddef>      // for size_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel {

/// @brief One event of a text/event-stream.
struct StreamEvent {
  std::string raw;   // with the blank line that ends it
  std::string id;    // empty if it has none
  std::string data;  // the lines of its data, joined by line feeds
};

/// @brief Splits a stream into whole events; the rest waits for more bytes.
struct EventSplitter {
  std::string partial;
};

/// @brief An event of more bytes than this is none: an endpoint may send bytes
/// without end. Events of model engines have a few hundred bytes.
inline constexpr size_t kMostEventBytes = 256UL * 1024;

/// @brief Adds bytes and returns the events that they complete. Lines may end
/// in LF or CRLF.
std::vector<StreamEvent> AddBytes(EventSplitter& splitter,
                                  std::string_view bytes);

}  // namespace celerykeel
