// Checks a ticket against what is in force, and prints what is wrong with it.
#include <cstdio>  // for std::printf

#include "celerykeel/core/ticket_check.h"  // for CheckTicket

int main() {
  celerykeel::Key key;
  key.id = "coop-1";
  key.team = "eidfjord-coop";
  key.salt = "6925296a48fddd737d3e0acc4e24d5fe";
  key.digest =
      "cb80ff676c42759b4bc59d714f443161f1ef4e6ca0e4829ab49f9ebeeff64434";
  celerykeel::Ticket ticket;
  ticket.number = 7;
  ticket.keys = {key};

  const celerykeel::FleetState nothing_in_force;
  const auto checked = celerykeel::CheckTicket(nothing_in_force, ticket);
  if (checked) {
    return 1;
  }
  std::printf("%s at %s: %s\n", KindOf(checked.error()).c_str(),
              FieldOf(checked.error()).c_str(),
              RenderRefusal(checked.error()).c_str());
  return 0;
}
