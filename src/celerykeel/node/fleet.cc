#include "celerykeel/node/fleet.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/core/peer_choice.h"      // for RankPeers
#include "celerykeel/node/capacity.h"         // for UpdateCapacity
#include "celerykeel/node/endpoint_feed.h"    // for KnownAnnouncements
#include "celerykeel/node/endpoint_speeds.h"  // for AssessEndpoints
#include "celerykeel/node/isolation.h"        // for ReportEndedIsolations
#include "celerykeel/node/keyed_topic.h"      // for ReadList, WriteKey
#include "celerykeel/node/node.h"             // for Node
#include "celerykeel/node/operator_feed.h"    // for KnownEvacuations
#include "celerykeel/node/rate_lending.h"     // for RewriteDriftedReserves
#include "celerykeel/node/rates.h"            // for ReportLoans
#include "celerykeel/node/slot_upkeep.h"      // for HandOverSlots
#include "celerykeel/node/suspect_run.h"      // for ForgetSuspectRuns
#include "celerykeel/node/zone_traffic.h"     // for UpdateZoneTraffic

namespace celerykeel {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
// A connection takes one round trip. A dial that gets no answer, for example
// from an instance without power, is retried after this timeout, because the
// kernel repeats its SYN only after a second.
constexpr Duration kDialTimeout = std::chrono::milliseconds(250);
constexpr Duration kLoopInterval = std::chrono::milliseconds(100);
// Loan requests of busy teams also report the use of loans. Reports at this
// interval are for the other teams.
constexpr Duration kLoanReportInterval = std::chrono::milliseconds(300);
// Heartbeats carry the state between connected instances. Entries in the store
// are for instances that receive heartbeats from too few peers.
constexpr Duration kMemberEntryInterval = std::chrono::milliseconds(2500);
// Used instead during kStartPhase after the start of this instance.
constexpr Duration kFirstMemberEntryInterval = std::chrono::milliseconds(250);
constexpr Duration kStartPhase = std::chrono::seconds(3);
// A member without a heartbeat and without a new entry for this long is
// removed.
constexpr Duration kForgetAfter = std::chrono::seconds(20);
// Of one call that reads the list; new entries are read between calls.
constexpr Duration kMemberListTime = std::chrono::milliseconds(400);
// Slots are claimed without the rest of a list that takes longer: each claim is
// fenced by its epoch, and without it nothing is served.
constexpr Duration kMaxMemberListWait = std::chrono::seconds(2);
// Several times the largest planned fleet.
constexpr size_t kMaxMembers = 2048;
constexpr std::string_view kMemberTopic = "keyed.celerykeel-members";

std::string PeerAddress(const Node& node) {
  return node.options.ip + ":" + std::to_string(node.options.peer_port);
}

template <typename Message>
void ListHeldSlots(const Node& node, Message& message) {
  for (const auto& [number, slot] : node.slots.held) {
    if (slot->active && !slot->lost) {
      pb::HeldSlot& held = *message.add_slots();
      held.set_slot(number);
      held.set_epoch(slot->epoch);
    }
  }
}

pb::NodeFrame Heartbeat(const Node& node) {
  pb::NodeFrame frame;
  pb::NodeHeartbeat& beat = *frame.mutable_heartbeat();
  beat.set_instance(node.options.instance);
  beat.set_incarnation(node.incarnation);
  beat.set_address(PeerAddress(node));
  beat.set_zone(node.options.zone);
  beat.set_deployment_version(
      node.deployment == nullptr ? 0 : node.deployment->version);
  beat.set_store_reached(!node.store.unavailable &&
                         node.store.last_answer_at.has_value());
  beat.set_leaving(node.stopping);
  beat.set_gives_deployment(true);
  beat.set_counts_covers(true);
  beat.set_opens_tunnels(!node.endpoint_path.is_cut_off && !node.stopping);
  if (node.endpoints_read_at) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now() - *node.endpoints_read_at);
    beat.set_endpoints_age_ms(static_cast<uint32_t>(age.count()));
  }
  beat.set_evacuations_digest(DigestOf(node.endpoints.evacuations));
  if (node.store.quick_append_at) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now() - *node.store.quick_append_at);
    beat.set_append_age_ms(static_cast<uint32_t>(age.count()));
  }
  beat.set_rate_protocol(1);
  beat.set_link_mbps(static_cast<float>(node.options.link_mbps));
  ListHeldSlots(node, beat);
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (endpoint.in_flight > 0) {
      pb::EndpointLoad& load = *beat.add_loads();
      load.set_endpoint(id);
      load.set_in_flight(endpoint.in_flight);
    }
  }
  AddSpeedNews(node, beat);
  for (const auto& [key, in_flight] : node.team_loads) {
    if (!NeedsTeamLoads(node, key.first)) {
      continue;
    }
    pb::TeamLoad& load = *beat.add_team_loads();
    load.set_service(key.first);
    load.set_team(key.second);
    load.set_in_flight(in_flight);
  }
  return frame;
}

Task<> MaintainLink(Node& node, PeerLinkPtr link) {
  link->dialing = true;
  std::function<void()> on_connected = [&node, link] {
    SendFrame(link->socket, Heartbeat(node));
    // Announcements are sent to the peers once, so a new peer, or one that was
    // cut off, has missed those until now.
    pb::NodeFrame known;
    *known.mutable_endpoint_news() = KnownAnnouncements(node);
    SendFrame(link->socket, known);
    if (!node.endpoints.evacuations.zones.empty()) {
      pb::NodeFrame evacuations;
      *evacuations.mutable_operator_news() = KnownEvacuations(node);
      SendFrame(link->socket, evacuations);
    }
  };
  co_await RunLink(node.io, link, kDialTimeout, std::move(on_connected));
  link->dialing = false;
  if (const auto member = node.fleet.members.find(link->instance);
      member != node.fleet.members.end()) {
    // The process may have ended with the link. If it has not, its next
    // heartbeat, over its own link, corrects both values; a failed dial also
    // updates `refused`.
    member->second.last_heartbeat_at.reset();
    member->second.refused = link->refused;
  }
}

void DialAll(Node& node) {
  for (auto& [instance, member] : node.fleet.members) {
    PeerLinkPtr& link = node.peers.links[instance];
    if (link == nullptr || link->address != member.address) {
      link = std::make_shared<PeerLink>();
      link->instance = instance;
      link->address = member.address;
    }
    if (!link->dialing && !member.leaving) {
      Spawn(node.io, MaintainLink(node, link));
    }
  }
}

void SendHeartbeats(Node& node) {
  SendToAll(node.peers, Heartbeat(node));
}

void SumLoads(Node& node) {
  for (auto& [id, endpoint] : node.endpoints.endpoints) {
    endpoint.in_flight_from_peers = 0;
  }
  for (const auto& [instance, state] : node.peer_states) {
    for (const auto& [id, in_flight] : state.loads) {
      if (const auto found = node.endpoints.endpoints.find(id);
          found != node.endpoints.endpoints.end()) {
        found->second.in_flight_from_peers += in_flight;
      }
    }
  }
}

void ForgetLostMembers(Node& node, Duration now) {
  const bool may_forget = MayForgetMembers(node.fleet, now);
  std::erase_if(node.fleet.members, [&](const auto& entry) {
    const FleetMember& member = entry.second;
    const bool in_store = member.store_entry_changed_at &&
                          now < *member.store_entry_changed_at + kForgetAfter;
    const bool heard = member.last_heartbeat_at &&
                       now < *member.last_heartbeat_at + kForgetAfter;
    if (in_store || heard || !may_forget) {
      return false;
    }
    node.peer_states.erase(entry.first);
    node.peers.links.erase(entry.first);
    return true;
  });
  for (auto& [instance, state] : node.peer_states) {
    if (const auto member = node.fleet.members.find(instance);
        member == node.fleet.members.end() ||
        !HasRecentHeartbeat(member->second, now)) {
      state = {};
    }
  }
}

void ClaimVacantSlots(Node& node, Duration now) {
  if (node.stopping) {
    return;
  }
  node.fleet.self_reaches_store = !node.store.unavailable;
  node.fleet.self_link_mbps = node.options.link_mbps;
  for (const uint32_t slot : SlotsToTake(node.fleet, now)) {
    if (!node.slots.held.contains(slot)) {
      Spawn(node.io, ClaimSlot(node, slot));
    }
  }
}

void ApplyMemberEntry(Node& node, const KeyedRecord& record, Duration now) {
  if (record.key.empty() || record.key == node.options.instance) {
    return;
  }
  if (record.dropped) {
    if (const auto found = node.fleet.members.find(record.key);
        found != node.fleet.members.end() &&
        !HasRecentHeartbeat(found->second, now)) {
      found->second.leaving = true;
    }
    return;
  }
  pb::MemberEntry entry;
  if (!entry.ParseFromString(record.value)) {
    WriteLog(node.log, LogLevel::kOrdinary, "member entry unreadable",
             {{"member", record.key}});
    return;
  }
  const bool known = node.fleet.members.contains(record.key);
  if (!known && node.fleet.members.size() >= kMaxMembers) {
    WriteLog(node.log, LogLevel::kOrdinary, "member left out",
             {{"member", record.key}, {"reason", "too many entries"}});
    return;
  }
  FleetMember& member = node.fleet.members[record.key];
  if (known && member.incarnation == entry.incarnation() &&
      entry.beat() <= member.beat) {
    return;
  }
  if (!HasRecentHeartbeat(member, now)) {
    member.instance = record.key;
    member.incarnation = entry.incarnation();
    member.address = entry.address();
    member.zone = entry.zone();
    member.leaving = entry.leaving();
  }
  member.beat = entry.beat();
  // The first entry read of a member may be old.
  const Duration age = std::chrono::milliseconds(
      std::max<WallMillis>(WallNow() - entry.written_at(), 0));
  member.store_entry_changed_at = now - age;
  for (const pb::HeldSlot& held : entry.slots()) {
    RecordHolder(node.fleet, held.slot(), {record.key, held.epoch()});
  }
}

Task<> WriteEntry(Node& node, uint64_t beat) {
  pb::MemberEntry entry;
  entry.set_incarnation(node.incarnation);
  entry.set_address(PeerAddress(node));
  entry.set_zone(node.options.zone);
  entry.set_beat(beat);
  entry.set_written_at(WallNow());
  entry.set_leaving(node.stopping);
  ListHeldSlots(node, entry);
  // A failure is ignored, because the next entry replaces this one.
  [[maybe_unused]] const auto done = co_await WriteKey(
      node, kMemberTopic, node.options.instance, entry.SerializeAsString());
}

void ApplyMemberEntries(Node& node, const std::vector<KeyedRecord>& records) {
  const Duration now = Now();
  node.fleet.entries_read_at = now;
  for (const KeyedRecord& record : records) {
    ApplyMemberEntry(node, record, now);
  }
}

Task<> ReadMemberList(Node& node, KeyedTopic& members) {
  const ApplyRecords apply = [&node](const auto& records) {
    ApplyMemberEntries(node, records);
  };
  const auto done = co_await ReadList(node, members, kMemberListTime, apply);
  if (!node.fleet.members_read_at &&
      (HasEnded(done) || TakesLongerThan(members, kMaxMemberListWait))) {
    node.fleet.members_read_at = Now();
  }
}

Task<> ReadMembers(Node& node, KeyedTopic& members) {
  if (IsListDue(members)) {
    co_await ReadMemberList(node, members);
    if (!members.next || !members.list) {
      co_return;
    }
  }
  if (const auto records = co_await ReadNewRecords(node, members, 0)) {
    ApplyMemberEntries(node, *records);
  }
}

}  // namespace

void AnnounceSoon(Node& node) {
  asio::post(node.io, [&node] { SendHeartbeats(node); });
}

PeerLinkPtr LinkToHolder(const Node& node, uint32_t slot) {
  const SlotHolder& holder = node.fleet.slots[slot];
  const auto link = node.peers.links.find(holder.instance);
  return link == node.peers.links.end() || link->second->socket == nullptr
             ? nullptr
             : link->second;
}

std::vector<std::string> RankConnectedPeers(
    const Node& node,
    uint64_t round,
    const std::function<bool(const PeerState&)>& is_candidate) {
  std::vector<PeerCandidate> candidates;
  for (const auto& [instance, link] : node.peers.links) {
    const auto state = node.peer_states.find(instance);
    const auto member = node.fleet.members.find(instance);
    if (link->socket != nullptr && state != node.peer_states.end() &&
        is_candidate(state->second)) {
      candidates.push_back(
          {.instance = instance,
           .is_same_zone = member != node.fleet.members.end() &&
                           member->second.zone == node.options.zone});
    }
  }
  return RankPeers(node.options.instance, round, std::move(candidates));
}

Task<> RunFleet(Node& node) {
  Duration heartbeat_at{};
  Duration report_at{};
  while (true) {
    const Duration now = Now();
    TickSpeeds(node.speeds, now);
    DialAll(node);
    if (now >= heartbeat_at) {
      heartbeat_at = now + kHeartbeatInterval;
      SendHeartbeats(node);
      SumLoads(node);
      AssessEndpoints(node);
      UpdateZoneTraffic(node);
      UpdateCapacity(node);
      ForgetLostMembers(node, now);
      DropLapsed(node.endpoints, now);
      ForgetEndedLimits(node);
      CloseExpiredIdle(node.endpoint_pool, now);
      CloseExpiredIdle(node.store.pool, now);
      ReviewCrashes(node);
      ForgetSuspectRuns(node);
      ExpireSlots(node);
      AbandonTurns(node);
      ConfirmSlots(node);
      DropUnusedSpent(node.spent_programs, now);
    }
    UpdateStoredCrashes(node);
    ReportEndedIsolations(node);
    HandOverSlots(node);
    MaintainCovers(node);
    ClaimVacantSlots(node, now);
    UpdateStartRecord(node);
    RewriteDriftedReserves(node);
    if (now >= report_at) {
      report_at = now + kLoanReportInterval;
      ReportLoans(node);
    }
    FlushLog(node.log);
    co_await Sleep(node.io, kLoopInterval);
  }
}

Task<> RunMembership(Node& node) {
  KeyedTopic members{.name = kMemberTopic};
  uint64_t beat = 0;
  const Duration started = Now();
  while (true) {
    beat += 1;
    co_await WriteEntry(node, beat);
    co_await ReadMembers(node, members);
    co_await Sleep(node.io, Now() < started + kStartPhase
                                ? kFirstMemberEntryInterval
                                : kMemberEntryInterval);
  }
}

// No other instance can take the slots while the store is unavailable, so this
// one first waits for the store, up to half of the stop time.
Task<> LeaveFleet(Node& node) {
  co_await AwaitStore(node, node.options.stop_time / 2);
  co_await ReleaseSlots(node);
  SendHeartbeats(node);
  // If this fails, the entry stays in the store, and the other instances remove
  // this one from their tables after kForgetAfter.
  [[maybe_unused]] const auto done =
      co_await WriteKey(node, kMemberTopic, node.options.instance, "");
}

}  // namespace celerykeel
