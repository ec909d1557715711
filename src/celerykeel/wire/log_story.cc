#include "celerykeel/wire/log_story.h"

#include <algorithm>  // for std::sort
#include <array>      // for std::array
#include <ctime>      // for gmtime_r, std::strftime
#include <set>        // for std::set

namespace celerykeel {

namespace {

using nlohmann::json;

// An outage is logged once, at its start. The context therefore includes lines
// from well before the request. The newest lines are shown if there are more
// than the maximum.
constexpr int64_t kContextBeforeMs = 30'000;
constexpr int64_t kContextAfterMs = 1'000;
constexpr size_t kMaxContextLines = 40;  // lines

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

bool IsContext(const LogLine& line,
               const std::set<std::string>& instances,
               const std::set<std::string>& endpoints) {
  if (line.event == "endpoint seen" || line.event == "endpoint limit") {
    return endpoints.contains(line.fields.value("endpoint", ""));
  }
  if (line.event == "attempt") {
    return false;
  }
  constexpr std::array<std::string_view, 9> kEvents = {
      "store lost", "store regained", "slot lost", "slot taken",
      "started",    "stopping",       "stopped",   "configuration in force",
      "member seen"};
  return instances.contains(line.instance) &&
         std::find(kEvents.begin(), kEvents.end(), line.event) != kEvents.end();
}

std::string TimeText(int64_t wall_ms) {
  constexpr int64_t kMillisPerSecond = 1000;
  const std::time_t seconds = wall_ms / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%H:%M:%S", &parts);
  std::string millis = std::to_string(wall_ms % kMillisPerSecond);
  millis.insert(0, 3 - std::min<size_t>(millis.size(), 3), '0');
  return std::string(text.data()) + "." + millis;
}

void AddLine(const LogLine& line, std::string& text) {
  text +=
      "  " + TimeText(line.wall_ms) + "  " + line.instance + "  " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    if (name != "ms" && name != "at" && name != "instance" && name != "event" &&
        name != "id") {
      text += "  " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  text += "\n";
}

bool HasContext(const LogStory& story, std::string_view event) {
  return std::any_of(
      story.context.begin(), story.context.end(),
      [event](const LogLine& line) { return line.event == event; });
}

std::string ConcludeRefusal(const LogStory& story, const json& refusal) {
  const int status = refusal.value("status", 0);
  const std::string reason = refusal.value("reason", "");
  if (status == kBadGateway || status == kGatewayTimeout) {
    return "It was sent " + std::to_string(refusal.value("tries", 0)) +
           " times and got no whole answer (" + reason +
           "): it may have run. Ask the service by its id; other attempts at "
           "the same endpoint show whether the endpoint failed.";
  }
  std::string text = "Refused: " + reason + ".";
  if (reason.find("store") != std::string::npos) {
    text += HasContext(story, "store lost")
                ? " The instance had lost the store, see below."
                : " No instance here logged that it lost the store: look at "
                  "the slot's holder.";
  }
  return text;
}

std::string ConcludeTurn(const LogStory& story, const json& turn) {
  const std::string outcome = turn.value("outcome", "");
  const std::string after =
      " after " + std::to_string(turn.value("events", 0)) + " events";
  if (outcome == "whole") {
    return "Answered whole" + after + ".";
  }
  if (outcome == "broken off") {
    const bool leaving = std::any_of(
        story.context.begin(), story.context.end(), [](const LogLine& line) {
          return line.event == "endpoint seen" &&
                 line.fields.value("leaving", false);
        });
    return "The endpoint's stream ended" + after +
           (leaving ? "; the endpoint was leaving." : ".") +
           " The caller's connection was closed, so the answer does not look "
           "complete.";
  }
  if (outcome == "not durable in time") {
    return "All events went out, and the turn's record did not become durable "
           "before the deadline: it does not count. See the store and the slot "
           "below.";
  }
  return "The stream ended (" + outcome + ")" + after + ".";
}

std::string Conclude(const LogStory& story) {
  for (auto step = story.steps.rbegin(); step != story.steps.rend(); ++step) {
    if (step->event == "refused") {
      return ConcludeRefusal(story, step->fields);
    }
    if (step->event == "turn") {
      return ConcludeTurn(story, step->fields);
    }
  }
  if (story.steps.empty()) {
    return "No line names it: it did not reach these instances, or its lines "
           "were left out (see left_out and dropped).";
  }
  return "An endpoint's answer was passed on.";
}

void SortByTime(std::vector<LogLine>& lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.wall_ms < b.wall_ms; });
}

}  // namespace

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const size_t begin = text.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  json fields = json::parse(text.substr(begin), nullptr, false);
  if (!fields.is_object() || !fields.contains("event") ||
      !fields["event"].is_string()) {
    return std::nullopt;
  }
  LogLine line;
  line.event = fields["event"];
  if (fields.contains("instance") && fields["instance"].is_string()) {
    line.instance = fields["instance"];
  }
  if (fields.contains("at") && fields["at"].is_number_integer()) {
    line.wall_ms = fields["at"];
  }
  line.fields = std::move(fields);
  return line;
}

LogStory FindStory(std::istream& logs, const std::string& id) {
  LogStory story;
  story.id = id;
  std::vector<LogLine> others;
  std::set<std::string> instances;
  std::set<std::string> endpoints;
  for (std::string text; std::getline(logs, text);) {
    auto line = ParseLogLine(text);
    if (!line) {
      ++story.unreadable;
      continue;
    }
    if (const auto named = line->fields.find("id");
        named != line->fields.end() && *named == id) {
      instances.insert(line->instance);
      if (const auto endpoint = line->fields.find("endpoint");
          endpoint != line->fields.end() && endpoint->is_string()) {
        endpoints.insert(*endpoint);
      }
      story.steps.push_back(std::move(*line));
    } else if (line->event != "attempt" && line->event != "turn" &&
               line->event != "refused") {
      others.push_back(std::move(*line));
    }
  }
  SortByTime(story.steps);
  if (!story.steps.empty()) {
    const int64_t from = story.steps.front().wall_ms - kContextBeforeMs;
    const int64_t until = story.steps.back().wall_ms + kContextAfterMs;
    for (LogLine& line : others) {
      if (line.wall_ms >= from && line.wall_ms <= until &&
          IsContext(line, instances, endpoints)) {
        story.context.push_back(std::move(line));
      }
    }
    SortByTime(story.context);
    if (story.context.size() > kMaxContextLines) {
      story.context.erase(
          story.context.begin(),
          story.context.end() - static_cast<std::ptrdiff_t>(kMaxContextLines));
    }
  }
  story.conclusion = Conclude(story);
  return story;
}

std::string RenderStory(const LogStory& story) {
  std::string text = "request " + story.id + "\n";
  for (const LogLine& line : story.steps) {
    AddLine(line, text);
  }
  text += story.conclusion + "\n";
  if (!story.context.empty()) {
    text += "around it\n";
    for (const LogLine& line : story.context) {
      AddLine(line, text);
    }
  }
  if (story.unreadable > 0) {
    text += std::to_string(story.unreadable) + " lines could not be read\n";
  }
  return text;
}

}  // namespace celerykeel
