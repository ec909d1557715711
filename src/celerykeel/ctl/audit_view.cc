#include "celerykeel/ctl/views.h"

#include <algorithm>  // for std::min
#include <utility>    // for std::move

#include "celerykeel/net/settings.h"  // for kExitFailed

namespace celerykeel {

namespace {

using Json = nlohmann::ordered_json;

Json ToJson(const AuditEntry& entry) {
  return Json{{"offset", entry.offset},   {"kind", entry.kind},
              {"subject", entry.subject}, {"accepted", entry.accepted},
              {"reason", entry.reason},   {"operator", entry.operator_name},
              {"field", entry.field},     {"comment", entry.comment}};
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

}  // namespace

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

}  // namespace celerykeel
