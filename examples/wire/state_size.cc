// Measures what a folded state costs: memory, a ticket, a copy, a snapshot.
//
//     example-wire-state_size [teams [endpoints]]
#include <unistd.h>  // for sysconf

#include <chrono>   // for std::chrono::steady_clock
#include <cstdio>   // for std::printf
#include <cstdlib>  // for std::atoi
#include <fstream>  // for std::ifstream
#include <memory>   // for std::make_shared
#include <string>   // for std::to_string

#include "celerykeel/core/fold.h"         // for Fold
#include "celerykeel/wire/fleet_codec.h"  // for EncodeFleetRecord

namespace {

using celerykeel::FleetState;
using celerykeel::Fold;
using celerykeel::Ticket;
using Clock = std::chrono::steady_clock;

constexpr int kDefaultTeams = 1'000;
constexpr int kDefaultEndpoints = 100;
constexpr int kKeyChanges = 1'000;

long ResidentKib() {
  std::ifstream statm("/proc/self/statm");
  long total = 0;
  long resident = 0;
  statm >> total >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

double MicrosSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

Ticket TeamAndKey(int i) {
  celerykeel::Team team;
  team.id = "team-" + std::to_string(i);
  team.rate = 5;
  team.burst = 10;
  celerykeel::Key key;
  key.id = team.id + "-1a2b3c4d";
  key.team = team.id;
  key.salt = std::string(32, 'a');
  key.digest = std::string(64, 'b');
  Ticket ticket;
  ticket.teams = {team};
  ticket.keys = {key};
  return ticket;
}

Ticket Endpoints(int count) {
  celerykeel::Model model;
  model.id = "assistant";
  model.version = "1";
  Ticket ticket;
  ticket.models = {model};
  for (int i = 0; i < count; ++i) {
    celerykeel::Endpoint endpoint;
    endpoint.id = "engine-" + std::to_string(i);
    endpoint.kind = celerykeel::EndpointKind::kModelEngine;
    endpoint.host = "10.0.0.1";
    endpoint.port = 8000;
    endpoint.availability_zone = "utne";
    endpoint.model = "assistant";
    endpoint.slots = 4;
    ticket.endpoints.push_back(endpoint);
  }
  return ticket;
}

void Submit(FleetState& state, Ticket ticket) {
  ticket.number = state.offset + 1;
  Fold(state, state.offset + 1, ticket);
}

}  // namespace

int main(int argc, char** argv) {
  const int teams = argc > 1 ? std::atoi(argv[1]) : kDefaultTeams;
  const int endpoints = argc > 2 ? std::atoi(argv[2]) : kDefaultEndpoints;
  FleetState state;
  const long before = ResidentKib();
  Submit(state, Endpoints(endpoints));
  auto start = Clock::now();
  for (int i = 0; i < teams; ++i) {
    Submit(state, TeamAndKey(i));
  }
  std::printf("%d teams with a key each, %d endpoints\n", teams, endpoints);
  std::printf("new team and key: %.1f us\n", MicrosSince(start) / teams);
  std::printf("resident: %ld KiB\n", ResidentKib() - before);

  start = Clock::now();
  for (int i = 0; i < kKeyChanges; ++i) {
    Ticket change = TeamAndKey(i % teams);
    change.teams.clear();
    change.keys[0].withdrawn = true;
    Submit(state, change);
  }
  std::printf("key withdrawn: %.1f us\n", MicrosSince(start) / kKeyChanges);

  start = Clock::now();
  const auto copy = std::make_shared<const FleetState>(state);
  std::printf("copy: %.0f us\n", MicrosSince(start));

  start = Clock::now();
  const std::string bytes =
      EncodeFleetRecord(celerykeel::Snapshot{state.offset, copy});
  std::printf("snapshot: %zu bytes, encoded in %.0f us\n", bytes.size(),
              MicrosSince(start));

  start = Clock::now();
  FleetState restored;
  Fold(restored, state.offset + 1, celerykeel::DecodeFleetRecord(bytes));
  std::printf("restored in %.0f us\n", MicrosSince(start));
  return restored == state ? 0 : 1;
}
