#include "celerykeel/ctl/views.h"

#include <algorithm>  // for std::count_if
#include <utility>    // for std::move
#include <variant>    // for std::visit

#include "celerykeel/net/settings.h"  // for kExitRefused

namespace celerykeel {

namespace {

using Json = nlohmann::ordered_json;

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
    return WithNote(ShowRefused(refused.refusal), refused.noted_at);
  }

  Report operator()(const SubmitRefusedByFleet& refused) const {
    const AuditEntry& entry = refused.entry;
    return WithNote(Refusal("refused_by_fleet", entry.field, entry.reason),
                    entry.offset);
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

Report WithNote(Report report, std::optional<Offset> noted_at) {
  if (noted_at) {
    report.data["offset"] = *noted_at;
    report.text +=
        "the audit trail has it at offset " + std::to_string(*noted_at) + "\n";
  } else {
    report.text += "the log did not confirm a note in the audit trail\n";
  }
  return report;
}

Report ShowSubmitted(const Ticket& ticket, const SubmitResult& result) {
  return std::visit(ShowSubmit{ticket}, result);
}

}  // namespace celerykeel
