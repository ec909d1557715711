#include "celerykeel/core/reader_choice.h"

#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

bool IsReader(const KnownFleet& fleet, Duration now) {
  constexpr std::string_view kSubject = "reader";
  const uint64_t own = RendezvousWeight(kSubject, fleet.self);
  size_t ahead = 0;
  for (const auto& [instance, member] : fleet.members) {
    if (HasRecentHeartbeat(member, now) && !member.leaving &&
        RendezvousWeight(kSubject, instance) > own) {
      ++ahead;
    }
  }
  return ahead < kReaderCount;
}

}  // namespace celerykeel
