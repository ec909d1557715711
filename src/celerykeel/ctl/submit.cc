#include "celerykeel/ctl/submit.h"

#include <algorithm>  // for std::find_if, std::min
#include <utility>    // for std::move

#include "celerykeel/core/ticket_objects.h"  // for ForEachKind
#include "celerykeel/wire/fleet_codec.h"     // for EncodeFleetRecord

namespace celerykeel {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(20);
// A lost append that has not shown up after this long is tried again; should
// both arrive, the fold refuses the second.
constexpr Duration kLookBeforeRetry = std::chrono::milliseconds(500);
// An append begun with less time than this might end without an answer, and
// turn "nothing has changed" into "unknown".
constexpr Duration kLeastAppendTime = std::chrono::seconds(1);
constexpr Duration kNoteTime = std::chrono::seconds(2);

// What the ticket set and nobody has set since must read as the ticket says.
bool ContentMatches(const FleetState& state,
                    const Ticket& ticket,
                    Offset offset) {
  bool matches = true;
  ForEachKind([&](const auto& kind) {
    const auto& in_force = state.in_force.*kind.in_force;
    for (const auto& object : ticket.*kind.in_ticket) {
      const auto applied = state.applied.find(ObjectName(kind.name, object.id));
      if (applied == state.applied.end()) {
        matches = matches && object.removed;
      } else if (applied->second.offset == offset) {
        const auto found = in_force.find(object.id);
        const bool same =
            found == in_force.end() ? object.removed : found->second == object;
        matches = matches && same;
      } else {
        matches = matches && applied->second.offset > offset;
      }
    }
  });
  return matches;
}

const AuditEntry* FindAt(const FleetState& state, Offset offset) {
  const auto found =
      std::find_if(state.audit.begin(), state.audit.end(),
                   [&](const auto& entry) { return entry.offset == offset; });
  return found == state.audit.end() ? nullptr : &*found;
}

struct Submission {
  const Ticket& ticket;
  const SubmitOptions& options;
  const SubmitAccess& access;
  Duration deadline;

  bool InTime() const { return this->access.now() < this->deadline; }

  Duration Left() const { return this->deadline - this->access.now(); }

  void PauseInTime(Duration pause) const {
    this->access.pause(std::min(pause, this->Left()));
  }

  std::optional<InstanceStatus> Status() const {
    return this->access.status(std::max(this->Left(), kPoll));
  }

  SubmitResult Run() const {
    if (this->options.check_first) {
      if (auto checked = CheckTicketFields(this->ticket); !checked) {
        return this->Refuse(std::move(checked.error()));
      }
    }
    auto before = this->Status();
    if (!before) {
      return SubmitFailed{SubmitFault::kNoSteward};
    }
    if (const AuditEntry* const entry =
            FindAccepted(before->state, this->ticket)) {
      return this->Finish({entry->offset, /*already=*/true, {}, {}});
    }
    if (this->options.check_first) {
      if (auto checked = CheckTicket(before->state, this->ticket); !checked) {
        return this->Refuse(std::move(checked.error()));
      }
    }
    return this->AppendUntilKnown();
  }

  SubmitResult Refuse(TicketRefusal refusal) const {
    RefusedTicket note;
    note.subject = std::to_string(this->ticket.number);
    note.operator_name = this->ticket.operator_name;
    note.comment = this->ticket.comment;
    note.field = FieldOf(refusal);
    note.reason = RenderRefusal(refusal);
    const auto noted_at = NoteRefusal(std::move(note), this->access,
                                      std::min(this->Left(), kNoteTime));
    return SubmitRefused{std::move(refusal), noted_at};
  }

  SubmitResult AppendUntilKnown() const {
    const std::string record = EncodeFleetRecord(this->ticket);
    bool may_be_there = false;
    while (this->InTime()) {
      const AppendResult result = this->access.append(record, this->Left());
      if (result.outcome == AppendOutcome::kAppended) {
        return this->WaitForVerdict(result.first_offset);
      }
      if (result.outcome == AppendOutcome::kUncertain) {
        may_be_there = true;
        if (const auto offset = this->LookForTicket()) {
          return this->Finish({*offset, /*already=*/false, {}, {}});
        }
      } else {
        const Duration pause = std::max(result.retry_after, kPoll);
        if (!may_be_there && this->Left() < pause + kLeastAppendTime) {
          return SubmitFailed{SubmitFault::kNotAppended};
        }
        this->PauseInTime(pause);
      }
    }
    return SubmitFailed{may_be_there ? SubmitFault::kUnknown
                                     : SubmitFault::kNotAppended};
  }

  // Looks whether a lost append took effect.
  std::optional<Offset> LookForTicket() const {
    const Duration until =
        std::min(this->deadline, this->access.now() + kLookBeforeRetry);
    do {
      if (const auto status = this->Status()) {
        if (const AuditEntry* const entry =
                FindAccepted(status->state, this->ticket)) {
          return entry->offset;
        }
      }
      this->PauseInTime(kPoll);
    } while (this->access.now() < until);
    return std::nullopt;
  }

  // An earlier attempt whose answer was lost may have been accepted; the
  // repetition is then refused as a number taken, and the ticket is in force.
  SubmitResult WaitForVerdict(Offset offset) const {
    while (this->InTime()) {
      if (const auto status = this->Status();
          status && status->state.offset >= offset) {
        if (const AuditEntry* const entry =
                FindAccepted(status->state, this->ticket)) {
          return this->Finish({entry->offset, /*already=*/false, {}, {}});
        }
        if (const AuditEntry* const entry = FindAt(status->state, offset)) {
          return SubmitRefusedByFleet{*entry};
        }
      }
      this->PauseInTime(kPoll);
    }
    return SubmitFailed{SubmitFault::kVerdictLate, offset};
  }

  SubmitResult Finish(SubmitAccepted accepted) const {
    if (!this->options.wait_for_all) {
      return accepted;
    }
    do {
      if (const auto status = this->Status()) {
        accepted.members = this->access.progress(*status);
        accepted.missing.clear();
        for (const MemberProgress& member : accepted.members) {
          if (member.asked && member.offset.value_or(0) < accepted.offset) {
            accepted.missing.push_back(member.instance);
          }
        }
        if (accepted.missing.empty()) {
          break;
        }
      }
      this->PauseInTime(kPoll);
    } while (this->InTime());
    return accepted;
  }
};

}  // namespace

const AuditEntry* FindAccepted(const FleetState& state, const Ticket& ticket) {
  const std::string number = std::to_string(ticket.number);
  const auto found = std::find_if(
      state.audit.begin(), state.audit.end(), [&](const AuditEntry& entry) {
        return entry.kind == "ticket" && entry.accepted &&
               entry.subject == number;
      });
  if (found == state.audit.end() ||
      found->operator_name != ticket.operator_name ||
      found->comment != ticket.comment ||
      !ContentMatches(state, ticket, found->offset)) {
    return nullptr;
  }
  return &*found;
}

std::optional<Offset> NoteRefusal(RefusedTicket refused,
                                  const SubmitAccess& access,
                                  Duration limit) {
  const AppendResult result =
      access.append(EncodeFleetRecord(std::move(refused)), limit);
  return result.outcome == AppendOutcome::kAppended
             ? std::optional(result.first_offset)
             : std::nullopt;
}

SubmitResult SubmitTicket(const Ticket& ticket,
                          const SubmitOptions& options,
                          const SubmitAccess& access) {
  return Submission{ticket, options, access, access.now() + options.timeout}
      .Run();
}

}  // namespace celerykeel
