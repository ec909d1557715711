#include "celerykeel/standin/platform_faults.h"

#include "celerykeel/standin/fault_count.h"  // for TakeOne

namespace celerykeel {

std::optional<FaultMode> ParseFaultMode(std::string_view text) {
  if (text == "refuse") {
    return FaultMode::kRefuse;
  }
  if (text == "close") {
    return FaultMode::kClose;
  }
  if (text == "hang") {
    return FaultMode::kHang;
  }
  if (text == "late") {
    return FaultMode::kLate;
  }
  return std::nullopt;
}

std::optional<FaultMode> FindFault(const PlatformFaults& faults,
                                   std::string_view client) {
  if (const auto cut = faults.cuts.find(client); cut != faults.cuts.end()) {
    return cut->second;
  }
  return faults.outage;
}

bool TakeLostAnswer(PlatformFaults& faults, std::string_view client) {
  for (const std::string_view name : {client, std::string_view()}) {
    if (const auto found = faults.lost.find(name);
        found != faults.lost.end() && TakeOne(found->second)) {
      return true;
    }
  }
  return false;
}

}  // namespace celerykeel
