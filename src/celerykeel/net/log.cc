#include "celerykeel/net/log.h"

#include <fmt/format.h>  // for fmt::memory_buffer, fmt::format_to

#include <unistd.h>  // for write

#include <iterator>  // for std::back_inserter

namespace celerykeel {

namespace {

// A line holds one field per word, so a value with blanks or line ends is
// quoted and its control characters are replaced.
void AppendValue(fmt::memory_buffer& line, std::string_view value) {
  const bool quoted = value.empty() || value.find_first_of(" \t\r\n\"=") !=
                                           std::string_view::npos;
  auto out = std::back_inserter(line);
  if (!quoted) {
    fmt::format_to(out, "{}", value);
    return;
  }
  *out++ = '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      *out++ = '\\';
    }
    *out++ = static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  *out++ = '"';
}

}  // namespace

void Log(std::string_view part,
         std::string_view sentence,
         std::initializer_list<LogField> fields) {
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "[{}] {}", part, sentence);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), " {}=", field.name);
    AppendValue(line, field.value);
  }
  line.push_back('\n');
  // One write per line, so that lines of threads do not mix.
  [[maybe_unused]] const auto written =
      write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace celerykeel
