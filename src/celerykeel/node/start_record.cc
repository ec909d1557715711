#include "celerykeel/node/start_record.h"

#include <algorithm>  // for std::all_of

#include "celerykeel/base/clock.h"      // for Now
#include "celerykeel/node/fleet.h"      // for LinkToHolder
#include "celerykeel/node/node.h"       // for Node
#include "celerykeel/node/slot_host.h"  // for ActiveSlot

namespace celerykeel {

namespace {

bool HasEachSlotAHolder(const Node& node) {
  for (uint32_t slot = 0; slot < node.fleet.slots.size(); ++slot) {
    if (ActiveSlot(node, slot) == nullptr &&
        LinkToHolder(node, slot) == nullptr) {
      return false;
    }
  }
  return true;
}

void NoteFirst(std::optional<Duration>& at, bool has_come) {
  if (!at && has_come) {
    at = Now();
  }
}

}  // namespace

void UpdateStartRecord(Node& node) {
  StartRecord& start = node.start;
  if (start.is_logged) {
    return;
  }
  NoteFirst(start.configuration_at, node.deployment != nullptr);
  NoteFirst(start.endpoints_at, !node.endpoints.endpoints.empty());
  NoteFirst(start.members_at, node.fleet.members_read_at.has_value());
  NoteFirst(start.slots_held_at, HasEachSlotAHolder(node));
  if (!IsReady(node) || !start.slots_held_at) {
    return;
  }
  start.is_logged = true;
  const auto after = [&start](const std::optional<Duration>& at) {
    return at ? *at - start.started_at : Duration::zero();
  };
  WriteLog(node.log, LogLevel::kUnusual, "serving",
           {{"configuration_ms", after(start.configuration_at)},
            {"endpoints_ms", after(start.endpoints_at)},
            {"members_ms", after(start.members_at)},
            {"first_claim_ms", after(start.first_claim_at)},
            {"slots_ms", after(start.slots_held_at)},
            {"longest_replay_ms", start.longest_replay},
            {"slots_held", static_cast<uint64_t>(node.slots.held.size())},
            {"members", static_cast<uint64_t>(node.fleet.members.size())},
            {"after_ms", Now() - start.started_at}});
}

}  // namespace celerykeel
