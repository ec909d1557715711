// Folds a short history of the fleet stream: two instances join, and two
// operators race each other for one team.
#include <cstdio>  // for std::printf

#include "celerykeel/core/fold.h"  // for Fold

using celerykeel::Fold;

namespace {

celerykeel::Join JoinOf(celerykeel::Incarnation incarnation,
                        const char* instance) {
  celerykeel::Join join;
  join.incarnation = incarnation;
  join.instance = instance;
  join.witnesses = {"eidfjord-1", "utne-1"};
  return join;
}

celerykeel::Ticket RateOf(celerykeel::TicketNumber number, double rate) {
  celerykeel::Team team;
  team.id = "eidfjord-coop";
  team.rate = rate;
  team.burst = 2 * rate;
  celerykeel::Ticket ticket;
  ticket.number = number;
  ticket.teams = {team};
  return ticket;
}

}  // namespace

int main() {
  celerykeel::FleetState state;
  Fold(state, 1, JoinOf(0xe1, "eidfjord-1"));
  Fold(state, 2, JoinOf(0xc1, "utne-1"));
  Fold(state, 3, RateOf(12, 50));
  Fold(state, 4, RateOf(11, 10));  // issued earlier, appended later: refused
  for (const auto& entry : state.audit) {
    std::printf("%llu %s %s: %s, %s\n",
                static_cast<unsigned long long>(entry.offset),
                entry.kind.c_str(), entry.subject.c_str(),
                entry.accepted ? "accepted" : "refused", entry.reason.c_str());
  }
  return state.in_force.teams.at("eidfjord-coop").rate == 50 ? 0 : 1;
}
