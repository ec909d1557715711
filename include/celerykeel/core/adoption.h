#pragma once

#include <bitset>   // for std::bitset
#include <map>      // for std::map
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/fleet_state.h"     // for FleetState
#include "celerykeel/core/journal_replay.h"  // for ReplayedFamilies
#include "celerykeel/core/rendezvous.h"      // for kSlots
#include "celerykeel/core/time.h"            // for Duration

namespace celerykeel {

using SlotSet = std::bitset<kSlots>;

struct AdoptionOptions {
  // After an eviction: a lease duration and a margin.
  Duration successor_wait = std::chrono::milliseconds(4500);
  Duration ask_interval = std::chrono::milliseconds(100);
  uint32_t page_records = 500;
};

// Actions.

/// @brief Ask a live member for its state of the slots that moved to this
/// process.
struct RequestHandover {
  Incarnation member = 0;
  Offset roster_version = 0;
};

/// @brief Read a page of a departed incarnation's journal.
struct ReadJournalPage {
  Incarnation incarnation = 0;
  Offset from = 0;
};

/// @brief All sources have answered: adopt the program families in the gained
/// slots, then act for these slots.
struct AdoptSlots {
  ReplayedFamilies families;
};

/// @brief These slots moved to another owner: stop acting for them.
struct DropSlots {
  SlotSet slots;
};

using AdoptionAction =
    std::variant<RequestHandover, ReadJournalPage, AdoptSlots, DropSlots>;
using AdoptionActions = std::vector<AdoptionAction>;

// State.

struct MemberSource {
  bool is_done = false;
  Duration asked_at{};
};

struct JournalSource {
  enum class Phase { kWaiting, kReading, kDone };
  Phase phase = Phase::kWaiting;
  Duration not_before{};
  Offset next_from = 1;
  ReplayedFamilies images;
};

/// @brief The slots that this process may act for, and the sources that must
/// still answer before it acts for newly gained slots.
struct Adoption {
  AdoptionOptions options;
  Incarnation self = 0;
  Offset roster_version = 0;
  SlotSet owned;  // according to the roster
  SlotSet ready;  // owned, and released by every former owner
  std::map<Incarnation, Duration> departed_at;  // when first seen departed
  std::map<Incarnation, MemberSource> members;
  std::map<Incarnation, JournalSource> journals;
  ReplayedFamilies handed_over;
};

/// @brief Returns true if this process may act for the program.
bool IsReadyFor(const Adoption& adoption, const ProgramName& program);

/// @brief Returns true if the roster assigns the program to this process.
bool IsOwnerOf(const Adoption& adoption, const ProgramName& program);

/// @brief Applies a new version of the roster. A new incarnation of this
/// instance (`self`) starts without any slots.
AdoptionActions ApplyRoster(Adoption& adoption,
                            const FleetState& state,
                            Incarnation self,
                            Duration now);

/// @brief Processes one part of a member's handover. With the last part the
/// member has released the slots that it lost up to `roster_version`.
/// Ignores a handover for an older version than the present one.
AdoptionActions TakeHandover(Adoption& adoption,
                             Incarnation from,
                             Offset roster_version,
                             bool is_last,
                             ReplayedFamilies families);

/// @brief Processes a page of a journal. `next_from` is 0 at the end of the
/// journal. If `ok` is false, Tick() requests the same page again after a
/// delay.
AdoptionActions ApplyJournalPage(Adoption& adoption,
                                 Incarnation incarnation,
                                 bool ok,
                                 Offset next_from,
                                 const std::vector<JournalRecord>& records,
                                 Duration now);

/// @brief Asks again the members that have not answered, and starts to read the
/// journals of departed incarnations whose leases have expired.
AdoptionActions Tick(Adoption& adoption, Duration now);

}  // namespace celerykeel
