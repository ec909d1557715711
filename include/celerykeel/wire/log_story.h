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
  nlohmann::json fields;  // the complete JSON object of the line
};

/// @brief The log lines about one request, and the conclusion drawn from them.
struct LogStory {
  std::string id;
  std::vector<LogLine> steps;  // lines that name the request
  // Other lines of about that time, from its instances or about its endpoints.
  // They may explain the outcome.
  std::vector<LogLine> context;
  std::string conclusion;   // its outcome, and where to look next
  uint64_t unreadable = 0;  // lines that could not be parsed
};

/// @brief Parses a line. Skips text before the object, which log collectors
/// add. Returns nullopt if the line has no event.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// @brief Reads logs of several instances and finds the story of a request.
LogStory FindStory(std::istream& logs, const std::string& id);

/// @brief Renders the story as readable text, oldest step first.
std::string RenderStory(const LogStory& story);

}  // namespace celerykeel
