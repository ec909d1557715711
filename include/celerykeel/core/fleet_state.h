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

/// @brief An instance joins the fleet. The offset of the record is the
/// instance's fencing number.
struct Join {
  Incarnation incarnation = 0;
  std::string instance;
  std::string availability_zone;
  std::string gate_address;            // host:port
  std::string scheduler_address;       // host:port
  std::string steward_address;         // host:port
  std::string rate_address;            // host:port
  std::string operator_address;        // host:port
  std::vector<std::string> witnesses;  // instance names, including its own
  Incarnation replaces = 0;            // own earlier incarnation; 0: none
  std::string feed_address;            // host:port; empty: unknown
  uint64_t witnesses_number = 0;       // WitnessChange::number that set them

  friend bool operator==(const Join&, const Join&) = default;
};

/// @brief An instance has stopped acting and leaves the fleet.
struct Leave {
  Incarnation incarnation = 0;
};

/// @brief Replaces the witnesses of a member. Applies only if `number` is
/// higher than the number of the change in force.
struct WitnessChange {
  Incarnation incarnation = 0;
  uint64_t number = 0;
  std::vector<std::string> witnesses;  // instance names, including its own
};

/// @brief Removes a member, by votes of a majority of its witnesses. `words`
/// holds the incarnations that voted; `by` appended the record.
struct Evict {
  Incarnation incarnation = 0;
  std::vector<Incarnation> words;
  Incarnation by = 0;
  std::string reason;
};

/// @brief A record that could not be decoded. It is counted and skipped.
struct Unreadable {};

struct FleetState;

/// @brief The state after the records up to and including `offset`. A new
/// snapshot is appended before those records expire from the log.
struct Snapshot {
  Offset offset = 0;
  std::shared_ptr<const FleetState> state;
};

/// @brief A ticket that was refused before it was appended. It changes only the
/// audit trail.
struct RefusedTicket {
  std::string subject;  // ticket number, or name of a file that did not parse
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
  Fence fence = 0;  // offset of the Join record

  friend bool operator==(const Member&, const Member&) = default;
};

struct DepartedMember {
  Member member;
  Offset departed_at = 0;
  bool evicted = false;

  friend bool operator==(const DepartedMember&,
                         const DepartedMember&) = default;
};

/// @brief The ticket that last set an object, and the offset of its record.
struct Applied {
  TicketNumber number = 0;
  Offset offset = 0;

  friend bool operator==(const Applied&, const Applied&) = default;
};

struct AuditEntry {
  Offset offset = 0;
  // "ticket", "join", "leave", "evict", "witnesses", "unreadable"
  std::string kind;
  std::string subject;  // ticket number or instance
  bool accepted = false;
  std::string reason;  // human-readable
  std::string operator_name;
  std::string field;  // the invalid field of a refused ticket
  std::string comment;

  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// @brief All objects in force, by id. Removed objects are absent.
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

/// @brief The state that all instances derive from the fleet stream by folding
/// its records.
struct FleetState {
  Offset offset = 0;  // of the last record folded
  std::map<Incarnation, Member> members;
  std::map<Incarnation, DepartedMember> departed;
  Configuration in_force;
  std::map<std::string, Applied> applied;  // by "<kind>/<id>"; also removed
  std::set<TicketNumber> numbers;          // accepted, above the floor
  TicketNumber number_floor = 0;           // this and lower numbers are refused
  std::deque<AuditEntry> audit;            // newest entries, oldest first
  uint64_t unreadable = 0;
  Offset roster_version = 0;  // offset of the last change of `members`

  friend bool operator==(const FleetState&, const FleetState&) = default;
};

}  // namespace celerykeel
