#include "celerykeel/steward/steward.h"

#include "celerykeel/net/log.h"          // for Log
#include "celerykeel/net/settings.h"     // for SettingsReader
#include "celerykeel/net/stop_signal.h"  // for WaitForStopSignal

namespace celerykeel {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(50);

std::string_view AddressOf(const StewardError& error) {
  return std::visit(
      [](const auto& kind) { return std::string_view(kind.address); }, error);
}

int Main(int argc, const char* const* argv) {
  auto reader = SettingsReader::Parse(StewardUsage(), argc, argv);
  if (!reader) {
    return ReportExit(reader.error());
  }
  StewardOptions options = ReadStewardOptions(*reader);
  if (!reader->Mistakes().empty()) {
    return ReportMistakes("steward", *reader);
  }
  BlockStopSignals();
  auto steward = Steward::Create(std::move(options));
  if (!steward) {
    Log("steward", "address can't be listened on; free it or choose another",
        {{"address", AddressOf(steward.error())}});
    return kExitFailed;
  }
  while (!WaitForStopSignal(kPoll)) {
  }
  (*steward)->Drain();
  while (!(*steward)->HasLeft()) {
    WaitForStopSignal(kPoll);
  }
  return kExitDone;
}

}  // namespace

}  // namespace celerykeel

int main(int argc, char** argv) {
  return celerykeel::Main(argc, argv);
}
