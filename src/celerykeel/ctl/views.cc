#include "celerykeel/ctl/views.h"

#include <algorithm>  // for std::count_if, std::max, std::min
#include <utility>    // for std::move
#include <variant>    // for std::visit

#include "celerykeel/core/roster.h"          // for IncarnationText
#include "celerykeel/core/ticket_objects.h"  // for ForEachKind
#include "celerykeel/net/settings.h"         // for kExitRefused

namespace celerykeel {

namespace {

using Json = nlohmann::ordered_json;

int64_t MillisOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Json ToJson(const AuditEntry& entry) {
  return Json{{"offset", entry.offset},   {"kind", entry.kind},
              {"subject", entry.subject}, {"accepted", entry.accepted},
              {"reason", entry.reason},   {"operator", entry.operator_name},
              {"field", entry.field},     {"comment", entry.comment}};
}

Json ToJson(const MemberProgress& member) {
  Json json{{"instance", member.instance},
            {"availability_zone", member.availability_zone},
            {"incarnation", IncarnationText(member.incarnation)},
            {"asked", member.asked},
            {"offset", nullptr}};
  if (member.offset) {
    json["offset"] = *member.offset;
    json["log_reachable"] = member.log_reachable;
    json["lease_left_ms"] = MillisOf(member.lease_left);
  }
  return json;
}

std::string Verdict(const AuditEntry& entry) {
  return entry.accepted ? "accepted" : "refused";
}

TableRow AuditRow(const AuditEntry& entry) {
  std::string reason = entry.reason;
  if (!entry.comment.empty()) {
    reason += " (" + entry.comment + ")";
  }
  return {std::to_string(entry.offset),
          entry.kind,
          entry.subject,
          Verdict(entry),
          entry.operator_name,
          std::move(reason)};
}

const TableRow kAuditHeader = {"OFFSET",  "KIND",     "SUBJECT",
                               "VERDICT", "OPERATOR", "WHAT"};

std::string AuditTable(const std::vector<const AuditEntry*>& entries) {
  std::vector<TableRow> rows = {kAuditHeader};
  for (const AuditEntry* const entry : entries) {
    rows.push_back(AuditRow(*entry));
  }
  return RenderTable(rows);
}

TableRow MemberRow(const MemberProgress& member, Offset newest) {
  if (!member.offset) {
    return {member.instance,
            member.availability_zone,
            "-",
            member.asked ? "no answer" : "not asked",
            "-",
            "-"};
  }
  const std::string behind =
      *member.offset >= newest
          ? "all"
          : std::to_string(newest - *member.offset) + " behind";
  return {member.instance,
          member.availability_zone,
          std::to_string(*member.offset),
          behind,
          member.log_reachable ? "yes" : "no",
          std::to_string(MillisOf(member.lease_left)) + " ms"};
}

std::string MemberTable(const std::vector<MemberProgress>& members,
                        Offset newest) {
  std::vector<TableRow> rows = {{"INSTANCE", "AVAILABILITY ZONE", "OFFSET",
                                 "FOLDED", "LOG", "LEASE LEFT"}};
  for (const MemberProgress& member : members) {
    rows.push_back(MemberRow(member, newest));
  }
  return RenderTable(rows);
}

Json InForceCounts(const Configuration& in_force) {
  Json counts = Json::object();
  ForEachKind([&](const auto& kind) {
    counts[std::string(kind.field)] = (in_force.*kind.in_force).size();
  });
  return counts;
}

std::string InForceLine(const Configuration& in_force) {
  std::string line = "in force:";
  ForEachKind([&](const auto& kind) {
    line += " " + std::to_string((in_force.*kind.in_force).size()) + " " +
            std::string(kind.field) + ",";
  });
  line.pop_back();
  return line + "\n";
}

Report Refusal(std::string kind, std::string field, std::string sentence) {
  Report report;
  report.exit_status = kExitRefused;
  report.data = Json{{"accepted", false},
                     {"refusal", std::move(kind)},
                     {"field", std::move(field)},
                     {"reason", sentence}};
  report.text = "refused: " + sentence + "\n";
  return report;
}

std::string JsonFaultName(TicketJsonFault fault) {
  switch (fault) {
    case TicketJsonFault::kUnknownField:
      return "unknown_field";
    case TicketJsonFault::kInvalidValue:
      return "invalid_value";
    case TicketJsonFault::kNotJson:
      break;
  }
  return "not_json";
}

struct ShowSubmit {
  const Ticket& ticket;

  Report operator()(const SubmitAccepted& accepted) const {
    Report report;
    const std::string number = std::to_string(this->ticket.number);
    const std::string offset = std::to_string(accepted.offset);
    report.data = Json{{"accepted", true},
                       {"number", this->ticket.number},
                       {"offset", accepted.offset},
                       {"already", accepted.already}};
    report.text = "ticket " + number +
                  (accepted.already ? " is" : " accepted") +
                  (accepted.already ? " already in force" : "") +
                  " at offset " + offset + "\n";
    if (accepted.members.empty()) {
      return report;
    }
    this->AddMembers(accepted, report);
    return report;
  }

  void AddMembers(const SubmitAccepted& accepted, Report& report) const {
    const size_t live = accepted.members.size();
    const auto unasked = static_cast<size_t>(
        std::count_if(accepted.members.begin(), accepted.members.end(),
                      [](const auto& member) { return !member.asked; }));
    const size_t folded = live - unasked - accepted.missing.size();
    report.data["members"] = live;
    report.data["folded"] = folded;
    report.data["not_asked"] = unasked;
    report.data["missing"] = accepted.missing;
    report.text += "in force on " + std::to_string(folded) + " of " +
                   std::to_string(live) + " live instances\n";
    if (unasked > 0) {
      report.text += std::to_string(unasked) +
                     " gave no feed address and were not asked\n";
    }
    for (const std::string& instance : accepted.missing) {
      report.text += "not yet on " + instance +
                     "; see `celerykeelctl status` and "
                     "docs/operators/tickets.md\n";
      report.exit_status = kExitFailed;
    }
  }

  Report operator()(const SubmitRefused& refused) const {
    return ShowRefused(refused.refusal);
  }

  Report operator()(const SubmitRefusedByFleet& refused) const {
    const AuditEntry& entry = refused.entry;
    Report report = Refusal("refused_by_fleet", entry.field, entry.reason);
    report.data["offset"] = entry.offset;
    report.text += "the audit trail has it at offset " +
                   std::to_string(entry.offset) + "\n";
    return report;
  }

  Report operator()(const SubmitFailed& failed) const {
    switch (failed.fault) {
      case SubmitFault::kNoSteward:
        return ShowFailure(kExitFailed, "no_steward",
                           "no answer from the steward; check --feed and that "
                           "it runs. Nothing was appended");
      case SubmitFault::kNotAppended:
        return ShowFailure(kExitFailed, "not_appended",
                           "the log did not take the ticket; nothing has "
                           "changed. Submit it again when the log is back");
      case SubmitFault::kVerdictLate:
        return ShowFailure(
            kExitFailed, "verdict_late",
            "the ticket is in the log at offset " +
                std::to_string(failed.offset) +
                ", but was not folded in time; see `celerykeelctl audit`");
      case SubmitFault::kUnknown:
        break;
    }
    return ShowFailure(kExitFailed, "unknown",
                       "the answer of the log was lost and the ticket may be "
                       "there; submit the same file again, which is safe");
  }
};

}  // namespace

Report ShowFailure(int exit_status, std::string kind, std::string sentence) {
  Report report;
  report.exit_status = exit_status;
  report.data = Json{{"error", std::move(kind)}, {"reason", sentence}};
  report.text = sentence + "\n";
  return report;
}

Report ShowStatus(const InstanceStatus& status,
                  const std::vector<MemberProgress>& members) {
  Offset newest = status.state.offset;
  for (const MemberProgress& member : members) {
    newest = std::max(newest, member.offset.value_or(0));
  }
  Report report;
  report.data = Json{{"answered_by", status.instance},
                     {"offset", newest},
                     {"log_reachable", status.log_reachable},
                     {"unreadable_records", status.state.unreadable},
                     {"in_force", InForceCounts(status.state.in_force)},
                     {"instances", Json::array()}};
  for (const MemberProgress& member : members) {
    report.data["instances"].push_back(ToJson(member));
  }
  report.text = "newest offset " + std::to_string(newest) + ", log " +
                (status.log_reachable ? "reachable" : "not reachable") +
                " from " + status.instance + "\n" +
                InForceLine(status.state.in_force) +
                MemberTable(members, newest);
  return report;
}

Report ShowAudit(const FleetState& state, size_t last) {
  Report report;
  report.data = Json::array();
  std::vector<const AuditEntry*> entries;
  const size_t count = std::min(last, state.audit.size());
  for (size_t i = state.audit.size() - count; i < state.audit.size(); ++i) {
    entries.push_back(&state.audit[i]);
    report.data.push_back(ToJson(state.audit[i]));
  }
  report.text = AuditTable(entries);
  return report;
}

Report ShowTicket(const FleetState& state, TicketNumber number) {
  const std::string subject = std::to_string(number);
  Report report;
  report.data = Json{{"number", number},
                     {"audit", Json::array()},
                     {"in_force", Json::array()}};
  std::vector<const AuditEntry*> entries;
  for (const AuditEntry& entry : state.audit) {
    if (entry.kind == "ticket" && entry.subject == subject) {
      entries.push_back(&entry);
      report.data["audit"].push_back(ToJson(entry));
    }
  }
  std::string objects;
  for (const auto& [name, applied] : state.applied) {
    if (applied.number == number) {
      objects += "  " + name + "\n";
      report.data["in_force"].push_back(name);
    }
  }
  if (entries.empty() && objects.empty()) {
    return ShowFailure(kExitFailed, "unknown_ticket",
                       "no ticket " + subject +
                           " in the audit trail or in force; its entry may be "
                           "too old to be kept");
  }
  report.text = AuditTable(entries);
  report.text += objects.empty() ? "nothing in force was set by it\n"
                                 : "the newest for:\n" + objects;
  return report;
}

Report ShowChecked(const Ticket& ticket, bool against_fleet) {
  Report report;
  report.data = Json{{"accepted", true},
                     {"number", ticket.number},
                     {"against_fleet", against_fleet}};
  report.text = "ticket " + std::to_string(ticket.number) +
                (against_fleet ? " would be accepted\n"
                               : " is well formed; give --feed to check it "
                                 "against what is in force\n");
  return report;
}

Report ShowRefused(const TicketJsonError& error) {
  return Refusal(JsonFaultName(error.fault), error.field, RenderError(error));
}

Report ShowRefused(const TicketRefusal& refusal) {
  return Refusal(KindOf(refusal), FieldOf(refusal), RenderRefusal(refusal));
}

Report ShowSubmitted(const Ticket& ticket, const SubmitResult& result) {
  return std::visit(ShowSubmit{ticket}, result);
}

}  // namespace celerykeel
