#include "celerykeel/core/fold.h"

#include <string>       // for std::string, std::to_string
#include <string_view>  // for std::string_view
#include <utility>      // for std::move
#include <variant>      // for std::visit

#include "celerykeel/core/roster.h"          // for ApplyJoin
#include "celerykeel/core/ticket_check.h"    // for CheckTicket
#include "celerykeel/core/ticket_objects.h"  // for ForEachKind

namespace celerykeel {

namespace {

constexpr size_t kObjectsNamedInAudit = 6;

const AuditEntry* AddAudit(FleetState& state, AuditEntry entry) {
  state.audit.push_back(std::move(entry));
  if (state.audit.size() > kMaxAuditEntries) {
    state.audit.pop_front();
  }
  return &state.audit.back();
}

// Lists the first objects of a ticket and counts the others.
std::string Summary(const Ticket& ticket) {
  std::string text;
  size_t objects = 0;
  ForEachKind([&](const auto& kind) {
    for (const auto& object : ticket.*kind.in_ticket) {
      if (++objects > kObjectsNamedInAudit) {
        continue;
      }
      text += text.empty() ? "" : ", ";
      text += object.removed ? "removes " : "sets ";
      text += ObjectName(kind.name, object.id);
    }
  });
  if (objects > kObjectsNamedInAudit) {
    text += " and " + std::to_string(objects - kObjectsNamedInAudit) + " more";
  }
  return text;
}

void Apply(FleetState& state, Offset offset, const Ticket& ticket) {
  ForEachKind([&](const auto& kind) {
    auto& in_force = state.in_force.*kind.in_force;
    for (const auto& object : ticket.*kind.in_ticket) {
      if (object.removed) {
        in_force.erase(object.id);
      } else {
        in_force[object.id] = object;
      }
      state.applied[ObjectName(kind.name, object.id)] =
          Applied{ticket.number, offset};
    }
  });
}

bool IsInForce(const Configuration& in_force, const std::string& name) {
  bool found = false;
  ForEachKind([&](const auto& kind) {
    const std::string prefix = ObjectName(kind.name, "");
    if (name.starts_with(prefix)) {
      found = (in_force.*kind.in_force).contains(name.substr(prefix.size()));
    }
  });
  return found;
}

// Drops the lower half of the numbers once there are more than
// kMaxTicketNumbers. Numbers at or below the floor are refused, which keeps a
// dropped number from being accepted again. It also makes the entries of
// removed objects at or below the floor redundant.
void RecordTicketNumber(FleetState& state, TicketNumber number) {
  state.numbers.insert(number);
  if (state.numbers.size() <= kMaxTicketNumbers) {
    return;
  }
  while (state.numbers.size() > kMaxTicketNumbers / 2) {
    state.number_floor = *state.numbers.begin();
    state.numbers.erase(state.numbers.begin());
  }
  std::erase_if(state.applied, [&](const auto& entry) {
    const auto& [name, applied] = entry;
    return applied.number <= state.number_floor &&
           !IsInForce(state.in_force, name);
  });
}

std::string InstanceOf(const FleetState& state, Incarnation incarnation) {
  if (const auto member = state.members.find(incarnation);
      member != state.members.end()) {
    return member->second.join.instance;
  }
  if (const auto departed = state.departed.find(incarnation);
      departed != state.departed.end()) {
    return departed->second.member.join.instance;
  }
  return FormatIncarnation(incarnation);
}

// Folds one record. `state.offset` is still the offset of the previous record.
struct Folder {
  FleetState& state;
  Offset offset;

  const AuditEntry* operator()(const Unreadable&) const {
    ++this->state.unreadable;
    AuditEntry entry = this->Entry("unreadable", std::to_string(this->offset));
    entry.reason = "the record does not decode; skipped";
    return AddAudit(this->state, std::move(entry));
  }

  const AuditEntry* operator()(const Join& join) const {
    const auto result = ApplyJoin(this->state, this->offset, join);
    return this->AuditRoster("join", join.instance, result,
                             "incarnation " +
                                 FormatIncarnation(join.incarnation) + " in " +
                                 join.availability_zone);
  }

  const AuditEntry* operator()(const Leave& leave) const {
    const std::string instance = InstanceOf(this->state, leave.incarnation);
    const auto result = ApplyLeave(this->state, this->offset, leave);
    return this->AuditRoster(
        "leave", instance, result,
        "incarnation " + FormatIncarnation(leave.incarnation));
  }

  const AuditEntry* operator()(const Evict& evict) const {
    const std::string instance = InstanceOf(this->state, evict.incarnation);
    const std::string by = InstanceOf(this->state, evict.by);
    const auto result = ApplyEvict(this->state, this->offset, evict);
    return this->AuditRoster("evict", instance, result,
                             evict.reason + ", by " + by);
  }

  const AuditEntry* operator()(const WitnessChange& change) const {
    const std::string instance = InstanceOf(this->state, change.incarnation);
    const auto result = ApplyWitnessChange(this->state, change);
    return this->AuditRoster(
        "witnesses", instance, result,
        std::to_string(change.witnesses.size()) + " witnesses");
  }

  const AuditEntry* operator()(const Ticket& ticket) const {
    AuditEntry entry = this->Entry("ticket", std::to_string(ticket.number));
    entry.operator_name = ticket.operator_name;
    entry.comment = ticket.comment;
    if (const auto checked = CheckTicket(this->state, ticket); !checked) {
      entry.reason = RenderRefusal(checked.error());
      entry.field = FieldOf(checked.error());
    } else {
      entry.accepted = true;
      entry.reason = Summary(ticket);
      Apply(this->state, this->offset, ticket);
      RecordTicketNumber(this->state, ticket.number);
    }
    return AddAudit(this->state, std::move(entry));
  }

  const AuditEntry* operator()(const RefusedTicket& refused) const {
    AuditEntry entry = this->Entry("ticket", refused.subject);
    entry.operator_name = refused.operator_name;
    entry.comment = refused.comment;
    entry.field = refused.field;
    entry.reason = refused.reason;
    return AddAudit(this->state, std::move(entry));
  }

  // Fold() restores an empty state from the snapshot. For any other state the
  // snapshot contains nothing new.
  const AuditEntry* operator()(const Snapshot& snapshot) const {
    if (snapshot.state == nullptr || snapshot.offset >= this->offset) {
      return (*this)(Unreadable{});
    }
    return nullptr;
  }

  AuditEntry Entry(std::string_view kind, std::string_view subject) const {
    AuditEntry entry;
    entry.offset = this->offset;
    entry.kind = kind;
    entry.subject = subject;
    return entry;
  }

  const AuditEntry* AuditRoster(std::string_view kind,
                                const std::string& subject,
                                const tl::expected<void, RosterRefusal>& result,
                                std::string accepted_reason) const {
    AuditEntry entry = this->Entry(kind, subject);
    entry.accepted = result.has_value();
    entry.reason =
        result ? std::move(accepted_reason) : RenderRefusal(result.error());
    return AddAudit(this->state, std::move(entry));
  }
};

bool Restores(const FleetState& state, const FleetRecord& record) {
  const auto* const snapshot = std::get_if<Snapshot>(&record);
  return state.offset == 0 && snapshot != nullptr &&
         snapshot->state != nullptr && snapshot->offset != 0;
}

}  // namespace

const AuditEntry* Fold(FleetState& state,
                       Offset offset,
                       const FleetRecord& record) {
  if (Restores(state, record)) {
    const auto& snapshot = std::get<Snapshot>(record);
    state = *snapshot.state;
    state.offset = snapshot.offset;
    return nullptr;
  }
  if (offset <= state.offset) {
    return nullptr;
  }
  const AuditEntry* const entry = std::visit(Folder{state, offset}, record);
  state.offset = offset;
  return entry;
}

}  // namespace celerykeel
