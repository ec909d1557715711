#pragma once

#include <cstdint>  // for uint64_t
#include <deque>    // for std::deque
#include <map>      // for std::map
#include <memory>   // for std::shared_ptr
#include <set>      // for std::set
#include <string>   // for std::string
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/identity.h"  // for Incarnation, Offset
#include "celerykeel/core/ticket.h"    // for Ticket

namespace celerykeel {

/// @brief An instance enters; the record's offset is its fencing number.
struct Join {
  Incarnation incarnation = 0;
  std::string instance;
  std::string availability_zone;
  std::string gate_address;            // host:port
  std::string scheduler_address;       // host:port
  std::string steward_address;         // host:port
  std::string rate_address;            // host:port
  std::string operator_address;        // host:port
  std::vector<std::string> witnesses;  // names of instances, its own among them
  Incarnation replaces = 0;            // own earlier incarnation; 0: none
  std::string feed_address;            // host:port; empty: not known
  uint64_t witnesses_number = 0;       // of the change that set them

  friend bool operator==(const Join&, const Join&) = default;
};

struct Leave {
  Incarnation incarnation = 0;
};

/// @brief Gives a member other witnesses. The record with a higher number than
/// the last one counts.
struct WitnessChange {
  Incarnation incarnation = 0;
  uint64_t number = 0;
  std::vector<std::string> witnesses;  // names of instances, its own among them
};

/// @brief Takes out an instance on the word of most of its witnesses.
struct Evict {
  Incarnation incarnation = 0;
  std::vector<Incarnation> words;
  Incarnation by = 0;
  std::string reason;
};

/// @brief A record that did not decode; it is counted and skipped.
struct Unreadable {};

struct FleetState;

/// @brief The state after the records up to and including `offset`, appended
/// again before those records expire.
struct Snapshot {
  Offset offset = 0;
  std::shared_ptr<const FleetState> state;
};

/// @brief A ticket that was refused before it was appended; it changes nothing
/// but the audit trail.
struct RefusedTicket {
  std::string subject;  // its number, or the name of a file that did not parse
  std::string operator_name;
  std::string comment;
  std::string field;
  std::string reason;

  friend bool operator==(const RefusedTicket&, const RefusedTicket&) = default;
};

using FleetRecord = std::variant<Unreadable,
                                 Join,
                                 Leave,
                                 Evict,
                                 Ticket,
                                 Snapshot,
                                 WitnessChange,
                                 RefusedTicket>;

struct Member {
  Join join;
  Fence fence = 0;

  friend bool operator==(const Member&, const Member&) = default;
};

struct DepartedMember {
  Member member;
  Offset departed_at = 0;
  bool evicted = false;

  friend bool operator==(const DepartedMember&,
                         const DepartedMember&) = default;
};

/// @brief The ticket that set an object, and where that ticket stands.
struct Applied {
  TicketNumber number = 0;
  Offset offset = 0;

  friend bool operator==(const Applied&, const Applied&) = default;
};

struct AuditEntry {
  Offset offset = 0;
  std::string kind;     // "ticket", "join", "leave", "evict", "unreadable"
  std::string subject;  // ticket number or instance
  bool accepted = false;
  std::string reason;  // rendered for a person
  std::string operator_name;
  std::string field;  // the field at fault, for a refused ticket
  std::string comment;

  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// @brief Every object in force, by id. Removed objects are absent.
struct Configuration {
  std::map<std::string, Team> teams;
  std::map<std::string, Key> keys;
  std::map<std::string, Model> models;
  std::map<std::string, Adapter> adapters;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::string, Route> routes;
  std::map<std::string, Profile> profiles;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// @brief What every instance agrees on: the fold of the fleet stream.
struct FleetState {
  Offset offset = 0;  // of the last record folded
  std::map<Incarnation, Member> members;
  std::map<Incarnation, DepartedMember> departed;
  Configuration in_force;
  std::map<std::string, Applied> applied;  // "<kind>/<id>", tombstones too
  std::set<TicketNumber> numbers;          // taken
  TicketNumber number_floor = 0;           // numbers up to it are refused
  std::deque<AuditEntry> audit;            // the newest, oldest first
  uint64_t unreadable = 0;
  Offset roster_version = 0;  // offset of the last change of `members`

  friend bool operator==(const FleetState&, const FleetState&) = default;
};

}  // namespace celerykeel
