#pragma once

#include <cstdint>      // for uint32_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/identity.h"  // for Incarnation
#include "celerykeel/core/time.h"      // for Duration

namespace celerykeel {

/// @brief The holder of a slot. A higher epoch means a newer holder.
struct SlotHolder {
  std::string instance;  // empty: none, or not known yet
  uint64_t epoch = 0;
  // Set when this instance lost the slot or its claim failed. Another instance
  // has until this time to announce that it took the slot; this instance does
  // not take the slot before.
  std::optional<Duration> contested_until{};
};

/// @brief What this instance knows about another one.
struct FleetMember {
  std::string instance;
  std::string zone;
  std::string address;  // for other instances
  Incarnation incarnation = 0;
  bool leaving = false;
  bool refused = false;       // its address refuses connections: no process
  bool store_reached = true;  // as in its last heartbeat
  double link_mbps = 0;       // as in its last heartbeat; 0: unknown
  std::optional<Duration> last_heartbeat_at;  // time of its last heartbeat
  // Time of the last change of its entry in the store.
  std::optional<Duration> store_entry_changed_at;
  uint64_t beat = 0;  // sequence number of that entry
};

/// @brief The fleet as seen by one instance.
struct KnownFleet {
  std::string self;
  bool self_reaches_store = true;  // directly
  double self_link_mbps = 0;       // 0: unknown
  // Time at which the members' entries were first read; empty before.
  std::optional<Duration> members_read_at;
  std::optional<Duration> entries_read_at;     // and last
  std::map<std::string, FleetMember> members;  // without `self`
  std::vector<SlotHolder> slots;  // by slot; epoch 0: no holder known
};

/// @brief True if a heartbeat of the member arrived within kHeartbeatTimeout.
bool HasRecentHeartbeat(const FleetMember& member, Duration now);

/// @brief Records the claim of a slot. A claim with an epoch that is not above
/// the known one is ignored.
/// @return true if the claim was recorded.
bool RecordHolder(KnownFleet& fleet, uint32_t slot, const SlotHolder& holder);

/// @brief Returns the slots that this instance should take: those without a
/// live holder for which it has the highest rendezvous weight of all live
/// members, or of those that reach the store, if any do; of these, those with a
/// fast link come first (see FastLinkRate). The result is empty before the
/// member list was read, and for kInitialListenTime after that unless all
/// members were heard.
///
/// A wrong result causes a short interruption only, since the store fences the
/// previous holder.
std::vector<uint32_t> SlotsToTake(const KnownFleet& fleet, Duration now);

/// @brief The link rate, in Mbit/s, from which on live instances take vacant
/// slots before others: half of the fastest. A holder reads the complete log of
/// its slot over its link before it serves the slot.
/// @return 0 if links make no difference: no rate is known, or the fast
/// instances are fewer than half of the slots and would hold too many each.
double FastLinkRate(const KnownFleet& fleet, Duration now);

/// @brief True if a fenced claim may be repeated at once with an epoch above
/// `fencing_epoch`. After a restart of the complete fleet no instance knows the
/// earlier epochs, and the first claim is fenced by the epoch of a holder that
/// no longer runs.
bool MayRepeatClaim(const KnownFleet& fleet,
                    uint32_t slot,
                    uint64_t fencing_epoch,
                    bool is_first_claim);

/// @brief True if this instance hears more than half of the members that it
/// knows, itself included. Others take its slots only if they hear most members
/// and not this one, so a holder may then rely on holding them although the
/// store does not confirm it. Neither old entries nor refused connections show
/// that a member is gone, as a partition looks the same.
bool HearsMostMembers(const KnownFleet& fleet, Duration now);

/// @brief True if members that were lost may be forgotten: their entries were
/// read lately. An instance that can't read them can't tell the loss of the
/// others from a partition of its own.
bool MayForgetMembers(const KnownFleet& fleet, Duration now);

/// @brief True if a member is stopping as planned, so that a slot without a
/// holder was probably released rather than lost.
bool HasLeavingMember(const KnownFleet& fleet);

/// @brief Returns the slot of a program or of a team's rate.
uint32_t SlotOfSubject(std::string_view team,
                       std::string_view subject,
                       uint32_t slots);

/// @brief A member without a heartbeat for this long is presumed dead.
/// Heartbeats are sent every 400 ms.
inline constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1200);
/// @brief A member without a changed store entry for this long is presumed
/// dead. Entries are written and read every 2.5 seconds.
inline constexpr Duration kStoreEntryTimeout = std::chrono::seconds(7);
/// @brief Time for which an instance waits for heartbeats after it first read
/// the list of members. It takes slots earlier if all members were heard.
inline constexpr Duration kInitialListenTime = std::chrono::milliseconds(700);
/// @brief Time for which a holder that hears too few others relies on the
/// store's confirmation. Another instance may take the slot at any moment.
inline constexpr Duration kHoldConfirmationTime =
    std::chrono::milliseconds(500);
/// @brief Time that an instance has to announce a slot that it took.
inline constexpr Duration kContestedTime = std::chrono::milliseconds(700);

}  // namespace celerykeel
