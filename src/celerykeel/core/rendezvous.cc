#include "celerykeel/core/rendezvous.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include <algorithm>  // for std::sort
#include <string>     // for std::string, std::to_string
#include <tuple>      // for std::tie
#include <utility>    // for std::pair

namespace celerykeel {

namespace {

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string SlotSubject(uint32_t slot) {
  return "slot/" + std::to_string(slot);
}

}  // namespace

uint32_t SlotOf(const ProgramName& program) {
  return static_cast<uint32_t>(Hash(RootOf(program.id), Hash(program.team, 0)) %
                               kSlots);
}

uint64_t RendezvousWeight(std::string_view subject, std::string_view instance) {
  return Hash(instance, Hash(subject, 0));
}

double FractionOfHash(uint64_t hash) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return double(hash) / kRange;
}

std::vector<Incarnation> RankMembers(const FleetState& state,
                                     std::string_view subject) {
  std::vector<std::pair<uint64_t, Incarnation>> ranked;
  ranked.reserve(state.members.size());
  for (const auto& [incarnation, member] : state.members) {
    ranked.emplace_back(RendezvousWeight(subject, member.join.instance),
                        incarnation);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<Incarnation> order;
  order.reserve(ranked.size());
  for (const auto& [weight, incarnation] : ranked) {
    order.push_back(incarnation);
  }
  return order;
}

// Hashes the instance name, not its incarnation, so that a replacement with the
// same name owns the same slots.
std::optional<Incarnation> OwnerOfSlot(const FleetState& state, uint32_t slot) {
  const std::string subject = SlotSubject(slot);
  std::optional<Incarnation> owner;
  uint64_t highest = 0;
  for (const auto& [incarnation, member] : state.members) {
    const uint64_t weight = RendezvousWeight(subject, member.join.instance);
    if (!owner || std::tie(weight, incarnation) > std::tie(highest, *owner)) {
      highest = weight;
      owner = incarnation;
    }
  }
  return owner;
}

std::optional<Incarnation> OwnerOf(const FleetState& state,
                                   const ProgramName& program) {
  return OwnerOfSlot(state, SlotOf(program));
}

}  // namespace celerykeel
