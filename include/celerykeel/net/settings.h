#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitRefused = 3;  // by the system, with its reason

/// @brief One setting that does not hold, and what would.
struct SettingsMistake {
  std::string flag;
  std::string found;
  std::string wanted;
};

/// @brief Why a program ends before it starts: help, version or usage.
struct SettingsExit {
  int status = kExitDone;
  std::string text;  // for standard output when `status` is 0, else error
};

/// @brief Reads a program's settings from its flags and, where a flag is not
/// given, from the environment: `--listen-port` is CELERYKEEL_LISTEN_PORT.
/// Mistakes are gathered, so that all are reported at once.
///
///     auto reader = SettingsReader::Parse(kUsage, argc, argv);
///     options.listen = reader->Address("listen", "127.0.0.1:8080");
///     if (!reader->Mistakes().empty()) return ReportMistakes("gate", *reader);
class SettingsReader {
 public:
  /// @param usage docopt text; it names no defaults with [default: ...], since
  /// a default would hide the environment.
  static tl::expected<SettingsReader, SettingsExit>
  Parse(std::string_view usage, int argc, const char* const* argv);

  /// @brief A text; a mistake if it is empty and `fallback` is too.
  std::string Text(std::string_view flag, std::string_view fallback);
  /// @brief A text that may be empty.
  std::string OptionalText(std::string_view flag);
  /// @brief A whole number within [lowest, highest].
  uint64_t Number(std::string_view flag,
                  uint64_t fallback,
                  uint64_t lowest,
                  uint64_t highest);
  /// @brief Milliseconds within [lowest, highest].
  Duration Millis(std::string_view flag,
                  uint64_t fallback,
                  uint64_t lowest,
                  uint64_t highest);
  /// @brief `<IP number>:<port>`.
  std::string Address(std::string_view flag, std::string_view fallback);
  /// @brief A flag without a value; in the environment "1" or "true".
  bool Switch(std::string_view flag);
  /// @brief A positional argument or a command word of the usage, such as
  /// "<file>" or "ticket" (words give "true" or "").
  std::string Argument(std::string_view name) const;

  /// @brief Adds a mistake that only the program itself can see, such as an
  /// unknown name.
  void AddMistake(std::string_view flag,
                  std::string_view found,
                  std::string_view wanted);

  const std::vector<SettingsMistake>& Mistakes() const;

 private:
  std::string Find(std::string_view flag) const;

  std::map<std::string, std::string> values;  // flags and arguments given
  std::vector<SettingsMistake> mistakes;
};

/// @brief Writes every mistake to standard error, a line each.
/// @return kExitUsage.
int ReportMistakes(std::string_view part, const SettingsReader& reader);

/// @brief Prints why Parse ended, where it belongs.
/// @return the exit status.
int ReportExit(const SettingsExit& exit);

/// @brief "celerykeel <version> (<commit>)".
std::string_view VersionText();

}  // namespace celerykeel
