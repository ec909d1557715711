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

/// @brief Who holds a slot. The higher epoch is the newer holder.
struct SlotHolder {
  std::string instance;  // empty: nobody, or one that is not known yet
  uint64_t epoch = 0;
  // Another instance was found to have taken it, and has time to say so.
  std::optional<Duration> contested_until{};
};

/// @brief What one instance knows of another.
struct FleetMember {
  std::string instance;
  std::string zone;
  std::string address;  // for other instances
  Incarnation incarnation = 0;
  bool leaving = false;
  bool refused = false;  // its address refuses connections: no process there
  std::optional<Duration> heard_at;  // its last heartbeat
  std::optional<Duration> beat_at;   // when its entry in the store last changed
  uint64_t beat = 0;                 // of that entry
};

/// @brief The fleet as one instance sees it.
struct KnownFleet {
  std::string self;
  // When the members' entries were first read; nothing before.
  std::optional<Duration> members_read_at;
  std::map<std::string, FleetMember> members;  // without `self`
  std::vector<SlotHolder> slots;               // by slot; epoch 0: none known
};

/// @brief True if the member sent a heartbeat of late.
bool IsInTouch(const FleetMember& member, Duration now);

/// @brief Notes a claim; an older one than the one known changes nothing.
/// @return true if it is news.
bool NoteHolder(KnownFleet& fleet, uint32_t slot, const SlotHolder& holder);

/// @brief Slots that this instance should take now: those without a living
/// holder for which it is the best living member.
///
/// A wrong answer costs a moment and no more, since the store fences the
/// holder before.
std::vector<uint32_t> SlotsToTake(const KnownFleet& fleet, Duration now);

/// @brief True if a claim that was fenced may be made anew at once, above
/// `met`: after a restart of the whole fleet nobody knows the epochs of before,
/// so the first claim meets one of a holder that is gone.
bool MayClaimAgain(const KnownFleet& fleet,
                   uint32_t slot,
                   uint64_t met,
                   bool is_first_claim);

/// @brief The slot of a program, and of a team's rate.
uint32_t SlotOfSubject(std::string_view team,
                       std::string_view subject,
                       uint32_t slots);

/// @brief A member without a heartbeat for so long is taken for dead.
inline constexpr Duration kSilence = std::chrono::milliseconds(1200);
/// @brief The same for entries in the store, which are written and read each
/// 2.5 seconds.
inline constexpr Duration kStoreSilence = std::chrono::seconds(7);
/// @brief A fresh instance that has read who the members are waits so long for
/// their heartbeats before it takes slots, unless all have been heard.
inline constexpr Duration kListenFirst = std::chrono::milliseconds(700);
/// @brief Time for an instance that took a slot to tell the others.
inline constexpr Duration kContested = std::chrono::milliseconds(700);

}  // namespace celerykeel
