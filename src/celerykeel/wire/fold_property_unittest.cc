// Properties of the fold over random histories of the fleet stream.
#include <doctest/doctest.h>

#include <algorithm>  // for std::max
#include <memory>     // for std::make_shared
#include <string>     // for std::string
#include <vector>     // for std::vector

#include "celerykeel/core/fold.h"            // for Fold
#include "celerykeel/core/ticket_check.h"    // for CheckTicket
#include "celerykeel/core/ticket_objects.h"  // for ForEachKind
#include "celerykeel/testing/property.h"     // for CheckProperty
#include "celerykeel/wire/fleet_codec.h"     // for EncodeFleetRecord

namespace celerykeel {
namespace {

// One random step. Small ranges make collisions and stale numbers likely.
struct Step {
  int kind = 0;
  int a = 0;
  int b = 0;
  int c = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << step.kind << ":" << step.a << "," << step.b << "," << step.c;
}

rc::Gen<std::vector<Step>> Steps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
      rc::gen::inRange(0, 8), rc::gen::inRange(0, 6), rc::gen::inRange(0, 12),
      rc::gen::inRange(0, 4)));
}

std::string InstanceName(int number) {
  return "instance-" + std::to_string(number % 4);
}

Join JoinOf(const Step& step) {
  Join join;
  join.incarnation = static_cast<Incarnation>(step.b);
  join.instance = InstanceName(step.a);
  join.witnesses = {InstanceName(0), InstanceName(1), InstanceName(2)};
  join.replaces = static_cast<Incarnation>(step.c);
  return join;
}

Evict EvictOf(const Step& step) {
  Evict evict;
  evict.incarnation = static_cast<Incarnation>(step.b);
  evict.words = {static_cast<Incarnation>(step.a),
                 static_cast<Incarnation>(step.a + 1),
                 static_cast<Incarnation>(step.a + step.c)};
  return evict;
}

Team TeamOf(int number, const Step& step) {
  Team team;
  team.id = "team-" + std::to_string(number);
  team.rate = step.c;  // 0 is refused
  team.burst = 5;
  team.profile = step.a == 5 ? "nowhere" : "";
  team.removed = step.c == 1 && step.a == 4;
  return team;
}

Ticket TicketOf(const Step& step) {
  Ticket ticket;
  ticket.number = static_cast<TicketNumber>(step.b);
  ticket.operator_name = "operator-" + std::to_string(step.c);
  ticket.teams = {TeamOf(step.a % 3, step)};
  if (step.c == 2) {
    ticket.teams.push_back(TeamOf(step.a % 3 + 1, step));
  }
  if (step.a % 2 == 0) {
    Key key;
    key.id = "key-" + std::to_string(step.c);
    key.team = "team-" + std::to_string(step.c);
    key.salt = std::string(32, 'a');
    key.digest = std::string(64, 'b');
    key.withdrawn = step.b % 2 == 0;
    ticket.keys = {key};
  }
  return ticket;
}

FleetRecord RecordOf(const Step& step) {
  switch (step.kind) {
    case 0:
      return Unreadable{};
    case 1:
      return Leave{static_cast<Incarnation>(step.b)};
    case 2:
      return EvictOf(step);
    case 3:
      return JoinOf(step);
    default:
      return TicketOf(step);
  }
}

std::vector<FleetRecord> RecordsOf(const std::vector<Step>& steps) {
  std::vector<FleetRecord> records;
  records.reserve(steps.size());
  for (const Step& step : steps) {
    records.push_back(RecordOf(step));
  }
  return records;
}

FleetState FoldAll(const std::vector<FleetRecord>& records,
                   FleetState state = {}) {
  Offset offset = 0;
  for (const FleetRecord& record : records) {
    Fold(state, ++offset, record);
  }
  return state;
}

TEST_CASE("the same records give the same state, encoded and decoded or not") {
  CHECK(CheckProperty(101, [] {
    const auto records = RecordsOf(*Steps());
    std::vector<FleetRecord> decoded;
    decoded.reserve(records.size());
    for (const FleetRecord& record : records) {
      decoded.push_back(DecodeFleetRecord(EncodeFleetRecord(record)));
    }
    const FleetState state = FoldAll(records);
    RC_ASSERT(FoldAll(records) == state);
    RC_ASSERT(FoldAll(decoded) == state);
    RC_ASSERT(FromProto(ToProto(state)) == state);
  }));
}

TEST_CASE("folding the same records again changes nothing") {
  CHECK(CheckProperty(102, [] {
    const auto records = RecordsOf(*Steps());
    const FleetState state = FoldAll(records);
    RC_ASSERT(FoldAll(records, state) == state);
  }));
}

TEST_CASE(
    "a snapshot and the records after it give the same state as all records") {
  CHECK(CheckProperty(103, [] {
    const auto records = RecordsOf(*Steps());
    const auto cut = *rc::gen::inRange<size_t>(0, records.size() + 1);
    const FleetState all_records = FoldAll(records);
    const FleetState half =
        FoldAll({records.begin(), records.begin() + static_cast<long>(cut)});
    RC_PRE(half.offset > 0);
    const Snapshot snapshot{half.offset,
                            std::make_shared<const FleetState>(half)};
    FleetState fresh;
    Fold(fresh, records.size() + 1,
         DecodeFleetRecord(EncodeFleetRecord(snapshot)));
    RC_ASSERT(FoldAll(records, fresh) == all_records);
  }));
}

// A retried append may put a record into the stream twice, any number of
// records apart. Retries of several writers may be in any order.
TEST_CASE("a record appended twice has the effect of one") {
  CHECK(CheckProperty(104, [] {
    const auto records = RecordsOf(*Steps());
    RC_PRE(!records.empty());
    FleetState state = FoldAll(records);
    const Configuration in_force = state.in_force;
    const auto applied = state.applied;
    const auto members = state.members;
    const auto order = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, records.size()));
    Offset offset = state.offset;
    for (const size_t index : order) {
      const bool was_accepted = std::any_of(
          state.audit.begin(), state.audit.end(), [&](const auto& entry) {
            return entry.offset == index + 1 && entry.accepted;
          });
      if (was_accepted) {
        Fold(state, ++offset, records[index]);
      }
    }
    RC_ASSERT(state.in_force == in_force);
    RC_ASSERT(state.applied == applied);
    RC_ASSERT(state.members == members);
  }));
}

TEST_CASE(
    "a ticket applies completely or not at all, and numbers never decrease") {
  CHECK(CheckProperty(105, [] {
    FleetState state;
    Offset offset = 0;
    for (const FleetRecord& record : RecordsOf(*Steps())) {
      const FleetState before = state;
      const AuditEntry entry = *Fold(state, ++offset, record);
      const auto* const ticket = std::get_if<Ticket>(&record);
      if (ticket == nullptr || !entry.accepted) {
        RC_ASSERT(state.in_force == before.in_force);
        RC_ASSERT(state.applied == before.applied);
        RC_ASSERT(state.numbers == before.numbers);
        const bool refused = ticket == nullptr || !CheckTicket(before, *ticket);
        RC_ASSERT(refused);
        continue;
      }
      RC_ASSERT(state.numbers.size() == before.numbers.size() + 1);
      ForEachKind([&](const auto& kind) {
        for (const auto& object : ticket->*kind.in_ticket) {
          const auto& in_force = state.in_force.*kind.in_force;
          const auto found = in_force.find(object.id);
          const bool as_asked = found == in_force.end()
                                    ? object.removed
                                    : found->second == object;
          RC_ASSERT(as_asked);
        }
      });
      for (const auto& [name, applied] : before.applied) {
        RC_ASSERT(state.applied.at(name).number >= applied.number);
      }
    }
  }));
}

TEST_CASE("objects in force refer only to objects in force") {
  CHECK(CheckProperty(106, [] {
    const FleetState state = FoldAll(RecordsOf(*Steps()));
    for (const auto& [id, key] : state.in_force.keys) {
      RC_ASSERT(state.in_force.teams.contains(key.team));
    }
    for (const auto& [id, team] : state.in_force.teams) {
      const bool known = team.profile.empty() ||
                         state.in_force.profiles.contains(team.profile);
      RC_ASSERT(known);
    }
  }));
}

TEST_CASE("an incarnation is a member once, and never after it departed") {
  CHECK(CheckProperty(107, [] {
    FleetState state;
    Offset offset = 0;
    for (const FleetRecord& record : RecordsOf(*Steps())) {
      const auto departed = state.departed;
      const auto members = state.members;
      Fold(state, ++offset, record);
      for (const auto& [incarnation, member] : state.members) {
        RC_ASSERT(!departed.contains(incarnation));
        if (const auto found = members.find(incarnation);
            found != members.end()) {
          RC_ASSERT(found->second == member);
        } else {
          RC_ASSERT(member.fence == offset);
        }
      }
    }
  }));
}

TEST_CASE("no bytes crash the decoder, the fold or the encoder") {
  CHECK(CheckProperty(108, [](const std::vector<char>& noise, uint32_t at) {
    FleetState state;
    Fold(state, 1,
         DecodeFleetRecord(std::string_view(noise.data(), noise.size())));
    // Valid records with some bytes changed are inputs too.
    Offset offset = state.offset;
    for (const FleetRecord& record : RecordsOf(*Steps())) {
      std::string damaged = EncodeFleetRecord(record);
      for (size_t i = 0; i < noise.size() && !damaged.empty(); ++i) {
        damaged[(at + i * 7) % damaged.size()] = noise[i];
      }
      Fold(state, ++offset, DecodeFleetRecord(damaged));
    }
    RC_ASSERT(FromProto(ToProto(state)).offset == state.offset);
  }));
}

}  // namespace
}  // namespace celerykeel
