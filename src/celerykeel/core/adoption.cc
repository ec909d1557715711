#include "celerykeel/core/adoption.h"

#include <algorithm>  // for std::all_of
#include <utility>    // for std::move

namespace celerykeel {

namespace {

constexpr Duration kJournalRetryDelay = std::chrono::milliseconds(200);

SlotSet OwnedSlots(const FleetState& state, Incarnation self) {
  SlotSet owned;
  if (!state.members.contains(self)) {
    return owned;
  }
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    owned[slot] = OwnerOfSlot(state, slot) == self;
  }
  return owned;
}

bool HasUnreadySlots(const Adoption& adoption) {
  return (adoption.owned & ~adoption.ready).any();
}

// Records when this process first saw each incarnation as departed.
void RecordDepartures(Adoption& adoption,
                      const FleetState& state,
                      Duration now) {
  for (const auto& [incarnation, departed] : state.departed) {
    adoption.departed_at.try_emplace(incarnation, now);
  }
  std::erase_if(adoption.departed_at, [&](const auto& entry) {
    return !state.departed.contains(entry.first);
  });
}

// An evicted holder may act until its lease expires on its own clock. A holder
// that left has already stopped acting.
Duration JournalReadableAt(const Adoption& adoption,
                           const DepartedMember& departed) {
  const Duration seen =
      adoption.departed_at.at(departed.member.join.incarnation);
  return departed.evicted ? seen + adoption.options.successor_wait : seen;
}

void StartRound(Adoption& adoption, const FleetState& state) {
  adoption.members.clear();
  adoption.journals.clear();
  adoption.handed_over.clear();
  if (!HasUnreadySlots(adoption)) {
    return;
  }
  for (const auto& [incarnation, member] : state.members) {
    if (incarnation != adoption.self) {
      adoption.members[incarnation] = {};
    }
  }
  for (const auto& [incarnation, departed] : state.departed) {
    adoption.journals[incarnation].not_before =
        JournalReadableAt(adoption, departed);
  }
}

// Drops all slots, because another incarnation of this instance may have acted
// for them in between.
void ResetForIncarnation(Adoption& adoption, Incarnation self) {
  adoption.self = self;
  adoption.roster_version = 0;
  adoption.owned.reset();
  adoption.ready.reset();
}

void FinishRound(Adoption& adoption, AdoptionActions& actions) {
  const bool is_done =
      HasUnreadySlots(adoption) &&
      std::all_of(adoption.members.begin(), adoption.members.end(),
                  [](const auto& entry) { return entry.second.is_done; }) &&
      std::all_of(adoption.journals.begin(), adoption.journals.end(),
                  [](const auto& entry) {
                    return entry.second.phase == JournalSource::Phase::kDone;
                  });
  if (!is_done) {
    return;
  }
  ReplayedFamilies gained = std::move(adoption.handed_over);
  for (auto& [incarnation, source] : adoption.journals) {
    Merge(gained, std::move(source.images));
  }
  std::erase_if(gained, [&](const auto& entry) {
    const uint32_t slot = SlotOf(entry.first);
    return !adoption.owned[slot] || adoption.ready[slot];
  });
  adoption.ready = adoption.owned;
  adoption.members.clear();
  adoption.journals.clear();
  adoption.handed_over.clear();
  actions.emplace_back(AdoptSlots{std::move(gained)});
}

}  // namespace

bool IsReadyFor(const Adoption& adoption, const ProgramName& program) {
  return adoption.ready[SlotOf(program)];
}

bool IsOwnerOf(const Adoption& adoption, const ProgramName& program) {
  return adoption.owned[SlotOf(program)];
}

AdoptionActions ApplyRoster(Adoption& adoption,
                            const FleetState& state,
                            Incarnation self,
                            Duration now) {
  AdoptionActions actions;
  RecordDepartures(adoption, state, now);
  if (self != adoption.self) {
    if (adoption.owned.any()) {
      actions.emplace_back(DropSlots{adoption.owned});
    }
    ResetForIncarnation(adoption, self);
  }
  if (state.roster_version == adoption.roster_version) {
    return actions;
  }
  adoption.roster_version = state.roster_version;
  const SlotSet owned = OwnedSlots(state, self);
  if (const SlotSet lost = adoption.owned & ~owned; lost.any()) {
    actions.emplace_back(DropSlots{lost});
  }
  adoption.owned = owned;
  adoption.ready &= owned;
  StartRound(adoption, state);
  FinishRound(adoption, actions);
  return actions;
}

AdoptionActions TakeHandover(Adoption& adoption,
                             Incarnation from,
                             Offset roster_version,
                             bool is_last,
                             ReplayedFamilies families) {
  const auto source = adoption.members.find(from);
  if (source == adoption.members.end() || source->second.is_done ||
      roster_version < adoption.roster_version) {
    return {};
  }
  Merge(adoption.handed_over, std::move(families));
  if (!is_last) {
    return {};
  }
  source->second.is_done = true;
  AdoptionActions actions;
  FinishRound(adoption, actions);
  return actions;
}

AdoptionActions ApplyJournalPage(Adoption& adoption,
                                 Incarnation incarnation,
                                 bool ok,
                                 Offset next_from,
                                 const std::vector<JournalRecord>& records,
                                 Duration now) {
  const auto found = adoption.journals.find(incarnation);
  if (found == adoption.journals.end() ||
      found->second.phase != JournalSource::Phase::kReading) {
    return {};
  }
  JournalSource& source = found->second;
  if (!ok) {
    source.phase = JournalSource::Phase::kWaiting;
    source.not_before = now + kJournalRetryDelay;
    return {};
  }
  for (const JournalRecord& record : records) {
    Replay(source.images, record);
  }
  AdoptionActions actions;
  if (next_from != 0) {
    source.next_from = next_from;
    actions.emplace_back(ReadJournalPage{incarnation, next_from});
    return actions;
  }
  source.phase = JournalSource::Phase::kDone;
  FinishRound(adoption, actions);
  return actions;
}

AdoptionActions Tick(Adoption& adoption, Duration now) {
  AdoptionActions actions;
  for (auto& [member, source] : adoption.members) {
    if (!source.is_done &&
        now - source.asked_at >= adoption.options.ask_interval) {
      source.asked_at = now;
      actions.emplace_back(RequestHandover{member, adoption.roster_version});
    }
  }
  for (auto& [incarnation, source] : adoption.journals) {
    if (source.phase == JournalSource::Phase::kWaiting &&
        now >= source.not_before) {
      source.phase = JournalSource::Phase::kReading;
      actions.emplace_back(ReadJournalPage{incarnation, source.next_from});
    }
  }
  return actions;
}

}  // namespace celerykeel
