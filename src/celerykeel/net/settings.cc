#include "celerykeel/net/settings.h"

#include <arpa/inet.h>  // for inet_pton

#include <charconv>   // for std::from_chars
#include <cstdlib>    // for std::getenv
#include <exception>  // for std::exception
#include <optional>   // for std::optional

#include <docopt/docopt.h>  // for docopt::docopt_parse
#include <fmt/core.h>       // for fmt::print, fmt::format

#include "celerykeel/net/log.h"  // for Log

#ifndef CELERYKEEL_VERSION
#define CELERYKEEL_VERSION "0"
#endif
#ifndef CELERYKEEL_COMMIT
#define CELERYKEEL_COMMIT "unknown"
#endif

namespace celerykeel {

namespace {

constexpr uint64_t kHighestPort = 65'535;

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  if (const auto [stop, error] = std::from_chars(text.data(), end, number);
      error != std::errc() || stop != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  in_addr number{};
  const auto port = ParseNumber(text.substr(colon + 1));
  return inet_pton(AF_INET, host.c_str(), &number) == 1 && port &&
         *port <= kHighestPort;
}

std::string EnvironmentName(std::string_view flag) {
  std::string name = "CELERYKEEL_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

std::string ToText(const docopt::value& value) {
  if (value.isBool()) {
    return value.asBool() ? "true" : "";
  }
  if (value.isLong()) {
    return std::to_string(value.asLong());
  }
  return value.isString() ? value.asString() : "";
}

}  // namespace

tl::expected<SettingsReader, SettingsExit> SettingsReader::Parse(
    std::string_view usage,
    int argc,
    const char* const* argv) {
  const std::string text(usage);
  try {
    SettingsReader reader;
    for (const auto& [name, value] : docopt::docopt_parse(
             text, {argv + 1, argv + argc}, true, true, false)) {
      if (std::string found = ToText(value); !found.empty()) {
        reader.values[name] = std::move(found);
      }
    }
    return reader;
  } catch (const docopt::DocoptExitHelp&) {
    return tl::unexpected(SettingsExit{kExitDone, text});
  } catch (const docopt::DocoptExitVersion&) {
    return tl::unexpected(
        SettingsExit{kExitDone, std::string(VersionText()) + "\n"});
  } catch (const std::exception& error) {
    return tl::unexpected(
        SettingsExit{kExitUsage, fmt::format("{}\n\n{}", error.what(), text)});
  }
}

std::string SettingsReader::Find(std::string_view flag) const {
  if (const auto given = this->values.find("--" + std::string(flag));
      given != this->values.end()) {
    return given->second;
  }
  const char* const found = std::getenv(EnvironmentName(flag).c_str());
  return found == nullptr ? "" : found;
}

void SettingsReader::AddMistake(std::string_view flag,
                                std::string_view found,
                                std::string_view wanted) {
  this->mistakes.push_back(
      {std::string(flag), std::string(found), std::string(wanted)});
}

std::string SettingsReader::OptionalText(std::string_view flag) {
  return this->Find(flag);
}

std::string SettingsReader::Text(std::string_view flag,
                                 std::string_view fallback) {
  std::string found = this->Find(flag);
  if (found.empty()) {
    found = fallback;
  }
  if (found.empty()) {
    this->AddMistake(flag, "nothing", "a value");
  }
  return found;
}

uint64_t SettingsReader::Number(std::string_view flag,
                                uint64_t fallback,
                                uint64_t lowest,
                                uint64_t highest) {
  const std::string found = this->Find(flag);
  if (found.empty()) {
    return fallback;
  }
  const auto number = ParseNumber(found);
  if (!number || *number < lowest || *number > highest) {
    this->AddMistake(flag, found,
                     fmt::format("a number from {} to {}", lowest, highest));
    return fallback;
  }
  return *number;
}

Duration SettingsReader::Millis(std::string_view flag,
                                uint64_t fallback,
                                uint64_t lowest,
                                uint64_t highest) {
  return std::chrono::milliseconds(
      this->Number(flag, fallback, lowest, highest));
}

std::string SettingsReader::Address(std::string_view flag,
                                    std::string_view fallback) {
  std::string found = this->Find(flag);
  if (found.empty()) {
    found = fallback;
  }
  if (!IsAddress(found)) {
    this->AddMistake(flag, found.empty() ? "nothing" : found,
                     "an IP number and a port, as in 127.0.0.1:8080");
  }
  return found;
}

bool SettingsReader::Switch(std::string_view flag) {
  const std::string found = this->Find(flag);
  if (!found.empty() && found != "1" && found != "0" && found != "true" &&
      found != "false") {
    this->AddMistake(flag, found, "true or false");
  }
  return found == "1" || found == "true";
}

std::string SettingsReader::Argument(std::string_view name) const {
  const auto given = this->values.find(std::string(name));
  return given == this->values.end() ? "" : given->second;
}

const std::vector<SettingsMistake>& SettingsReader::Mistakes() const {
  return this->mistakes;
}

int ReportMistakes(std::string_view part, const SettingsReader& reader) {
  for (const auto& [flag, found, wanted] : reader.Mistakes()) {
    Log(part, "setting refused",
        {{"flag", "--" + flag},
         {"environment", EnvironmentName(flag)},
         {"found", found},
         {"wanted", wanted}});
  }
  return kExitUsage;
}

int ReportExit(const SettingsExit& exit) {
  fmt::print(exit.status == kExitDone ? stdout : stderr, "{}", exit.text);
  return exit.status;
}

std::string_view VersionText() {
  return "celerykeel " CELERYKEEL_VERSION " (" CELERYKEEL_COMMIT ")";
}

}  // namespace celerykeel
