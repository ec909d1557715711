#pragma once

#include <string>  // for std::string
#include <vector>  // for std::vector

#include <nlohmann/json.hpp>  // for nlohmann::ordered_json

namespace celerykeel {

/// @brief What a command found: `text` for people, `data` for programs.
struct Report {
  int exit_status = 0;
  std::string text;
  nlohmann::ordered_json data;
};

using TableRow = std::vector<std::string>;

/// @brief Columns of equal width, two spaces apart, the header first. No cell
/// leaves spaces at the end of a line.
///
///     RenderTable({{"TEAM", "RATE"}, {"eidfjord-coop", "5"}});
std::string RenderTable(const std::vector<TableRow>& rows);

}  // namespace celerykeel
