#pragma once

#include <bitset>   // for std::bitset
#include <map>      // for std::map
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/fleet_state.h"     // for FleetState
#include "celerykeel/core/journal_replay.h"  // for FamilyImages
#include "celerykeel/core/rendezvous.h"      // for kSlots
#include "celerykeel/core/time.h"            // for Duration

namespace celerykeel {

using SlotSet = std::bitset<kSlots>;

struct AdoptionOptions {
  Duration successor_wait = std::chrono::milliseconds(4500);  // after an
                                                              // eviction
  Duration ask_every = std::chrono::milliseconds(100);
  uint32_t page_records = 500;
};

// Actions.

/// @brief Ask a live member for what it holds of slots that moved here.
struct AskMember {
  Incarnation member = 0;
  Offset roster_version = 0;
};

/// @brief Read a page of a departed incarnation's journal.
struct ReadJournalPage {
  Incarnation incarnation = 0;
  Offset from = 0;
};

/// @brief Every source has answered: adopt the families, then act for the
/// slots.
struct AdoptSlots {
  FamilyImages families;
};

/// @brief These slots went to another owner: stop acting for them.
struct LoseSlots {
  SlotSet slots;
};

using AdoptionAction =
    std::variant<AskMember, ReadJournalPage, AdoptSlots, LoseSlots>;
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
  FamilyImages images;
};

/// @brief Which slots this process may act for, and what it still waits for
/// before it acts for those that it gained.
struct Adoption {
  AdoptionOptions options;
  Incarnation self = 0;
  Offset roster_version = 0;
  SlotSet owned;  // by the roster
  SlotSet ready;  // and every former owner has let go
  std::map<Incarnation, Duration> departed_at;  // when this process saw it
  std::map<Incarnation, MemberSource> members;
  std::map<Incarnation, JournalSource> journals;
  FamilyImages handed_over;
};

/// @brief True if this process may act for the program.
bool IsReadyFor(const Adoption& adoption, const ProgramName& program);

/// @brief True if the roster gives the program to this process.
bool IsOwnerOf(const Adoption& adoption, const ProgramName& program);

/// @brief Takes a new view of the roster. A new incarnation of this instance
/// begins with nothing.
AdoptionActions TakeRoster(Adoption& adoption,
                           const FleetState& state,
                           Incarnation self,
                           Duration now);

/// @brief Part of what a member handed over; with the last part it has let go
/// of the slots that it lost by `roster_version`.
AdoptionActions TakeHandover(Adoption& adoption,
                             Incarnation from,
                             Offset roster_version,
                             bool is_last,
                             FamilyImages families);

/// @brief A page of a journal came; `next_from` is 0 at its end.
AdoptionActions TakeJournalPage(Adoption& adoption,
                                Incarnation incarnation,
                                bool ok,
                                Offset next_from,
                                const std::vector<JournalRecord>& records,
                                Duration now);

/// @brief Asks again what has not answered, and reads the journals whose
/// owners' leases have run out.
AdoptionActions Tick(Adoption& adoption, Duration now);

}  // namespace celerykeel
