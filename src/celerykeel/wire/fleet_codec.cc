#include "celerykeel/wire/fleet_codec.h"

#include <google/protobuf/stubs/logging.h>  // for LogSilencer

#include <memory>   // for std::make_shared
#include <utility>  // for std::move
#include <variant>  // for std::visit

#include "celerykeel/core/ticket_objects.h"  // for ForEachKind

namespace celerykeel {

namespace {

pb::Join ToProto(const Join& join) {
  pb::Join out;
  out.set_incarnation(join.incarnation);
  out.set_instance(join.instance);
  out.set_availability_zone(join.availability_zone);
  out.set_gate_address(join.gate_address);
  out.set_scheduler_address(join.scheduler_address);
  out.set_steward_address(join.steward_address);
  out.set_rate_address(join.rate_address);
  out.set_operator_address(join.operator_address);
  out.mutable_witnesses()->Assign(join.witnesses.begin(), join.witnesses.end());
  out.set_replaces(join.replaces);
  out.set_witnesses_number(join.witnesses_number);
  out.set_feed_address(join.feed_address);
  return out;
}

Join FromProto(const pb::Join& in) {
  Join join;
  join.incarnation = in.incarnation();
  join.instance = in.instance();
  join.availability_zone = in.availability_zone();
  join.gate_address = in.gate_address();
  join.scheduler_address = in.scheduler_address();
  join.steward_address = in.steward_address();
  join.rate_address = in.rate_address();
  join.operator_address = in.operator_address();
  join.witnesses.assign(in.witnesses().begin(), in.witnesses().end());
  join.replaces = in.replaces();
  join.witnesses_number = in.witnesses_number();
  join.feed_address = in.feed_address();
  return join;
}

RefusedTicket FromProto(const pb::RefusedTicket& in) {
  return RefusedTicket{in.subject(), in.operator_(), in.comment(), in.field(),
                       in.reason()};
}

WitnessChange FromProto(const pb::WitnessChange& in) {
  return WitnessChange{in.incarnation(),
                       in.number(),
                       {in.witnesses().begin(), in.witnesses().end()}};
}

Evict FromProto(const pb::Evict& in) {
  Evict evict;
  evict.incarnation = in.incarnation();
  evict.words.assign(in.words().begin(), in.words().end());
  evict.by = in.by();
  evict.reason = in.reason();
  return evict;
}

pb::Member ToProto(const Member& member) {
  pb::Member out;
  *out.mutable_join() = ToProto(member.join);
  out.set_fence(member.fence);
  return out;
}

Member FromProto(const pb::Member& in) {
  return Member{FromProto(in.join()), in.fence()};
}

pb::AuditEntry ToProto(const AuditEntry& entry) {
  pb::AuditEntry out;
  out.set_offset(entry.offset);
  out.set_kind(entry.kind);
  out.set_subject(entry.subject);
  out.set_accepted(entry.accepted);
  out.set_reason(entry.reason);
  out.set_operator_(entry.operator_name);
  out.set_field(entry.field);
  out.set_comment(entry.comment);
  return out;
}

AuditEntry FromProto(const pb::AuditEntry& in) {
  AuditEntry entry;
  entry.offset = in.offset();
  entry.kind = in.kind();
  entry.subject = in.subject();
  entry.accepted = in.accepted();
  entry.reason = in.reason();
  entry.operator_name = in.operator_();
  entry.field = in.field();
  entry.comment = in.comment();
  return entry;
}

// Returns one ticket that contains every object in force.
Ticket AsTicket(const Configuration& in_force) {
  Ticket ticket;
  ForEachKind([&](const auto& kind) {
    for (const auto& [id, object] : in_force.*kind.in_force) {
      (ticket.*kind.in_ticket).push_back(object);
    }
  });
  return ticket;
}

Configuration AsConfiguration(const Ticket& ticket) {
  Configuration in_force;
  ForEachKind([&](const auto& kind) {
    for (const auto& object : ticket.*kind.in_ticket) {
      (in_force.*kind.in_force)[object.id] = object;
    }
  });
  return in_force;
}

struct Encode {
  pb::FleetRecord& out;

  void operator()(const Unreadable&) const {}
  void operator()(const Join& join) const {
    *this->out.mutable_join() = ToProto(join);
  }
  void operator()(const Leave& leave) const {
    this->out.mutable_leave()->set_incarnation(leave.incarnation);
  }
  void operator()(const Evict& evict) const {
    auto& message = *this->out.mutable_evict();
    message.set_incarnation(evict.incarnation);
    message.mutable_words()->Assign(evict.words.begin(), evict.words.end());
    message.set_by(evict.by);
    message.set_reason(evict.reason);
  }
  void operator()(const RefusedTicket& refused) const {
    auto& message = *this->out.mutable_refused_ticket();
    message.set_subject(refused.subject);
    message.set_operator_(refused.operator_name);
    message.set_comment(refused.comment);
    message.set_field(refused.field);
    message.set_reason(refused.reason);
  }
  void operator()(const WitnessChange& change) const {
    auto& message = *this->out.mutable_witness_change();
    message.set_incarnation(change.incarnation);
    message.set_number(change.number);
    message.mutable_witnesses()->Assign(change.witnesses.begin(),
                                        change.witnesses.end());
  }
  void operator()(const Ticket& ticket) const {
    *this->out.mutable_ticket() = celerykeel::ToProto(ticket);
  }
  void operator()(const Snapshot& snapshot) const {
    auto& message = *this->out.mutable_snapshot();
    message.set_offset(snapshot.offset);
    if (snapshot.state != nullptr) {
      *message.mutable_state() = celerykeel::ToProto(*snapshot.state);
    }
  }
};

FleetRecord FromProto(const pb::FleetSnapshot& in) {
  if (!in.has_state()) {
    return Unreadable{};
  }
  return Snapshot{in.offset(), std::make_shared<const FleetState>(
                                   celerykeel::FromProto(in.state()))};
}

}  // namespace

std::string EncodeFleetRecord(const FleetRecord& record) {
  pb::FleetRecord message;
  std::visit(Encode{message}, record);
  return message.SerializeAsString();
}

FleetRecord DecodeFleetRecord(std::string_view bytes) {
  // The caller counts undecodable records, which makes the library's log line
  // redundant.
  const google::protobuf::LogSilencer silencer;
  pb::FleetRecord message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Unreadable{};
  }
  switch (message.kind_case()) {
    case pb::FleetRecord::kJoin:
      return FromProto(message.join());
    case pb::FleetRecord::kLeave:
      return Leave{message.leave().incarnation()};
    case pb::FleetRecord::kEvict:
      return FromProto(message.evict());
    case pb::FleetRecord::kTicket:
      return FromProto(message.ticket());
    case pb::FleetRecord::kSnapshot:
      return FromProto(message.snapshot());
    case pb::FleetRecord::kRefusedTicket:
      return FromProto(message.refused_ticket());
    case pb::FleetRecord::kWitnessChange:
      return FromProto(message.witness_change());
    case pb::FleetRecord::KIND_NOT_SET:
      break;
  }
  return Unreadable{};
}

pb::FleetState ToProto(const FleetState& state) {
  pb::FleetState out;
  out.set_offset(state.offset);
  for (const auto& [incarnation, member] : state.members) {
    *out.add_members() = ToProto(member);
  }
  for (const auto& [incarnation, departed] : state.departed) {
    auto& message = *out.add_departed();
    *message.mutable_member() = ToProto(departed.member);
    message.set_departed_at(departed.departed_at);
    message.set_evicted(departed.evicted);
  }
  *out.mutable_in_force() = ToProto(AsTicket(state.in_force));
  for (const auto& [name, applied] : state.applied) {
    auto& message = (*out.mutable_applied())[name];
    message.set_number(applied.number);
    message.set_offset(applied.offset);
  }
  out.mutable_numbers()->Assign(state.numbers.begin(), state.numbers.end());
  for (const AuditEntry& entry : state.audit) {
    *out.add_audit() = ToProto(entry);
  }
  out.set_unreadable(state.unreadable);
  out.set_roster_version(state.roster_version);
  out.set_number_floor(state.number_floor);
  return out;
}

FleetState FromProto(const pb::FleetState& in) {
  FleetState state;
  state.offset = in.offset();
  for (const auto& message : in.members()) {
    const Member member = FromProto(message);
    state.members[member.join.incarnation] = member;
  }
  for (const auto& message : in.departed()) {
    const Member member = FromProto(message.member());
    state.departed[member.join.incarnation] =
        DepartedMember{member, message.departed_at(), message.evicted()};
  }
  state.in_force = AsConfiguration(FromProto(in.in_force()));
  for (const auto& [name, applied] : in.applied()) {
    state.applied[name] = Applied{applied.number(), applied.offset()};
  }
  state.numbers.insert(in.numbers().begin(), in.numbers().end());
  for (const auto& message : in.audit()) {
    state.audit.push_back(FromProto(message));
  }
  state.unreadable = in.unreadable();
  state.roster_version = in.roster_version();
  state.number_floor = in.number_floor();
  return state;
}

}  // namespace celerykeel
