#include "celerykeel/core/witness.h"

#include <algorithm>  // for std::max

#include "celerykeel/core/roster.h"  // for MayVoteToEvict

namespace celerykeel {

namespace {

bool IsWitnessOf(const FleetState& state,
                 Incarnation self,
                 Incarnation subject) {
  const auto own = state.members.find(self);
  const auto other = state.members.find(subject);
  if (own == state.members.end() || other == state.members.end()) {
    return false;
  }
  return MayVoteToEvict(other->second.join, own->second.join.instance);
}

bool IsSilent(const Witness& witness,
              Incarnation subject,
              Duration silence,
              Duration now) {
  const auto heard = witness.heard.find(subject);
  const Duration since = heard == witness.heard.end()
                             ? witness.listening_since
                             : std::max(heard->second, witness.listening_since);
  return now - since >= silence;
}

}  // namespace

void Listen(Witness& witness, Duration now) {
  witness.listening_since = now;
}

// A restarted process has lost its state and joins under a new incarnation. It
// vouches only after it has folded its own Join. Votes of its earlier
// incarnation do not count after that record, and an eviction that precedes the
// record has been folded by this time.
bool AnswerHeartbeat(Witness& witness,
                     const FleetState& state,
                     Incarnation self,
                     Incarnation holder,
                     Duration now) {
  if (!state.members.contains(self) || !state.members.contains(holder) ||
      witness.words.contains(holder)) {
    return false;
  }
  witness.heard[holder] = now;
  return true;
}

bool VoteToEvict(Witness& witness,
                 const FleetState& state,
                 Incarnation self,
                 Incarnation subject,
                 Duration silence,
                 Duration now) {
  if (!IsWitnessOf(state, self, subject) ||
      !IsSilent(witness, subject, silence, now)) {
    return false;
  }
  witness.words.insert(subject);
  return true;
}

std::vector<Incarnation> SuspectedMembers(const Witness& witness,
                                          const FleetState& state,
                                          Incarnation self,
                                          Duration silence,
                                          Duration now) {
  std::vector<Incarnation> suspects;
  for (const auto& [incarnation, member] : state.members) {
    if (IsWitnessOf(state, self, incarnation) &&
        IsSilent(witness, incarnation, silence, now)) {
      suspects.push_back(incarnation);
    }
  }
  return suspects;
}

void RecordMembers(Witness& witness, const FleetState& state, Duration now) {
  for (const auto& [incarnation, member] : state.members) {
    witness.heard.try_emplace(incarnation, now);
  }
}

void RemoveDeparted(Witness& witness, const FleetState& state) {
  std::erase_if(witness.heard, [&](const auto& entry) {
    return !state.members.contains(entry.first);
  });
  std::erase_if(witness.words, [&](Incarnation incarnation) {
    return !state.members.contains(incarnation);
  });
}

}  // namespace celerykeel
