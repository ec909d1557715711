#include <fmt/core.h>  // for fmt::print

#include "celerykeel/ctl/commands.h"  // for RunCommand
#include "celerykeel/ctl/options.h"   // for CtlUsage, ReadCtlOptions
#include "celerykeel/net/settings.h"  // for SettingsReader

namespace celerykeel {

namespace {

int Main(int argc, const char* const* argv) {
  auto reader = SettingsReader::Parse(CtlUsage(), argc, argv);
  if (!reader) {
    return ReportExit(reader.error());
  }
  const CtlOptions options = ReadCtlOptions(*reader);
  if (!reader->Mistakes().empty()) {
    return ReportMistakes("ctl", *reader);
  }
  const Report report = RunCommand(options);
  if (options.json) {
    fmt::print("{}\n", report.data.dump(2));
  } else {
    fmt::print(report.exit_status == kExitDone ? stdout : stderr, "{}",
               report.text);
  }
  return report.exit_status;
}

}  // namespace

}  // namespace celerykeel

int main(int argc, char** argv) {
  return celerykeel::Main(argc, argv);
}
