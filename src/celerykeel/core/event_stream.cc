#include "celerykeel/core/event_stream.h"

#include <algorithm>  // for std::all_of
#include <charconv>   // for std::from_chars
#include <utility>    // for std::move

namespace celerykeel {

namespace {

std::string_view FieldValue(std::string_view line, size_t name_size) {
  line.remove_prefix(name_size + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

void ReadLine(StreamEvent& event, std::string_view line, bool& has_data) {
  if (line.starts_with("data:")) {
    if (has_data) {
      event.data += '\n';
    }
    event.data += FieldValue(line, 4);
    has_data = true;
  } else if (line.starts_with("id:")) {
    event.id = FieldValue(line, 2);
  }
}

StreamEvent ReadEvent(std::string_view raw) {
  StreamEvent event;
  event.raw = raw;
  bool has_data = false;
  while (!raw.empty()) {
    const size_t end = raw.find('\n');
    std::string_view line = raw.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    ReadLine(event, line, has_data);
    raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 1);
  }
  return event;
}

// Returns the position after the blank line that ends the first event; npos if
// no event is complete.
size_t FirstEventEnd(std::string_view bytes) {
  size_t at = bytes.find('\n');
  while (at != std::string_view::npos) {
    if (bytes.substr(at + 1).starts_with('\n')) {
      return at + 2;
    }
    if (bytes.substr(at + 1).starts_with("\r\n")) {
      return at + 3;
    }
    at = bytes.find('\n', at + 1);
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<StreamEvent> AddBytes(EventSplitter& splitter,
                                  std::string_view bytes) {
  splitter.partial += bytes;
  std::vector<StreamEvent> events;
  std::string_view rest = splitter.partial;
  for (size_t end = FirstEventEnd(rest); end != std::string_view::npos;
       end = FirstEventEnd(rest)) {
    events.push_back(ReadEvent(rest.substr(0, end)));
    rest.remove_prefix(end);
  }
  splitter.partial = std::string(rest);
  return events;
}

std::optional<uint64_t> EventNumber(std::string_view id) {
  constexpr size_t kMaxDigits = 19;  // fits in 64 bits
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (id.empty() || id.size() > kMaxDigits ||
      !std::all_of(id.begin(), id.end(), is_digit)) {
    return std::nullopt;
  }
  uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return number;
}

}  // namespace celerykeel
