#include "celerykeel/node/start_record.h"

#include <algorithm>  // for std::max

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/fleet.h"         // for LinkToHolder
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/slot_host.h"     // for ActiveSlot
#include "celerykeel/node/store_client.h"  // for IsStoreAvailable

namespace celerykeel {

namespace {

// Sound starts take less.
constexpr Duration kReportInterval = std::chrono::seconds(3);

size_t CountSlotsWithoutHolder(const Node& node) {
  size_t count = 0;
  for (uint32_t slot = 0; slot < node.fleet.slots.size(); ++slot) {
    count +=
        ActiveSlot(node, slot) == nullptr && LinkToHolder(node, slot) == nullptr
            ? 1
            : 0;
  }
  return count;
}

// Names what a start waits for; the lists that are being read have lines of
// their own.
void ReportWait(Node& node, const StartNeeds& needs) {
  StartRecord& start = node.start;
  const Duration now = Now();
  if (now < std::max(start.reported_at, start.started_at) + kReportInterval) {
    return;
  }
  start.reported_at = now;
  WriteLog(node.log, LogLevel::kUnusual, "not serving yet",
           {{"waits_for_configuration", needs.configuration},
            {"waits_for_evacuations", needs.evacuations},
            {"waits_for_endpoints", needs.endpoints},
            {"waits_for_members", needs.members},
            {"slots_without_holder", static_cast<uint64_t>(needs.slots)},
            {"slot_logs_being_read",
             static_cast<uint64_t>(node.slots.replays.waiting.size() +
                                   node.slots.replays.reads.under_way.size())},
            {"store_reached", IsStoreAvailable(node)},
            {"store_calls", node.store.calls},
            {"after_ms", now - start.started_at}});
}

void NoteFirst(std::optional<Duration>& at, bool has_come) {
  if (!at && has_come) {
    at = Now();
  }
}

}  // namespace

StartNeeds MissingAtStart(const Node& node) {
  return {.configuration = node.deployment == nullptr,
          .evacuations = !node.endpoints.evacuations.read_at,
          .endpoints = node.endpoints.endpoints.empty(),
          .members = !node.fleet.members_read_at,
          .slots = CountSlotsWithoutHolder(node)};
}

void UpdateStartRecord(Node& node) {
  StartRecord& start = node.start;
  if (start.is_logged) {
    return;
  }
  const StartNeeds needs = MissingAtStart(node);
  NoteFirst(start.configuration_at, !needs.configuration);
  NoteFirst(start.endpoints_at, !needs.endpoints);
  NoteFirst(start.members_at, !needs.members);
  NoteFirst(start.slots_held_at, needs.slots == 0);
  if (!IsReady(node) || !start.slots_held_at) {
    ReportWait(node, needs);
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
