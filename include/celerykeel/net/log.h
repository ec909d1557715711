#pragma once

#include <fmt/core.h>  // for fmt::format

#include <initializer_list>  // for std::initializer_list
#include <string>            // for std::string
#include <string_view>       // for std::string_view

namespace celerykeel {

/// @brief One `name=value` at the end of a log line. Never a key, a prompt or
/// an answer.
struct LogField {
  template <typename T>
  LogField(std::string_view field_name, const T& field_value)
      : name(field_name), value(fmt::format("{}", field_value)) {}

  std::string_view name;
  std::string value;
};

/// @brief Writes one line to standard error: the part's prefix, a short
/// sentence, and the fields.
///
///     Log("gate", "key withdrawn, streams closed", {{"team", team}});
///     // [gate] key withdrawn, streams closed team=eidfjord-coop
void Log(std::string_view part,
         std::string_view sentence,
         std::initializer_list<LogField> fields = {});

}  // namespace celerykeel
