#pragma once

#include <cstdint>      // for int64_t
#include <istream>      // for std::istream
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {

/// @brief One line of an instance's log.
struct LogLine {
  std::string instance;
  std::string event;
  int64_t wall_ms = 0;    // Unix milliseconds, by the instance's clock
  nlohmann::json fields;  // all of the line's object
};

/// @brief What logs say of one request.
struct LogStory {
  std::string id;
  std::vector<LogLine> steps;    // lines that name the request
  std::vector<LogLine> context;  // what else the instances noted around them
  std::string conclusion;        // what became of it, and where to look next
  uint64_t unreadable = 0;       // lines that are no log lines
};

/// @brief Reads a line; text before the object, as collectors add it, is
/// skipped. Nothing if there is no event.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// @brief Reads logs of several instances and finds the story of a request.
LogStory FindStory(std::istream& logs, const std::string& id);

/// @brief The story for a person, oldest step first.
std::string RenderStory(const LogStory& story);

}  // namespace celerykeel
