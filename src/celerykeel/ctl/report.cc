#include "celerykeel/ctl/report.h"

#include <algorithm>  // for std::max

namespace celerykeel {

namespace {

constexpr size_t kGap = 2;  // spaces between columns

std::vector<size_t> WidthsOf(const std::vector<TableRow>& rows) {
  std::vector<size_t> widths;
  for (const TableRow& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

}  // namespace

std::string RenderTable(const std::vector<TableRow>& rows) {
  const std::vector<size_t> widths = WidthsOf(rows);
  std::string text;
  for (const TableRow& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace celerykeel
