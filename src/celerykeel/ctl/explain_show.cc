#include <fmt/core.h>  // for fmt::format

#include <algorithm>  // for std::max
#include <ctime>      // for gmtime_r, std::strftime
#include <utility>    // for std::move

#include "celerykeel/core/rendezvous.h"      // for OwnerOf
#include "celerykeel/core/ticket_objects.h"  // for ObjectKind, ObjectName
#include "celerykeel/ctl/explain.h"
#include "celerykeel/net/settings.h"      // for kExitFailed
#include "celerykeel/wire/ticket_json.h"  // for TicketToJson

namespace celerykeel {

namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kDecisionsShown = 40;
constexpr int64_t kMillisPerSecond = 1000;

// "2026-12-04T03:28:47.123Z"
std::string TimeText(int64_t wall_ms) {
  const std::time_t seconds = wall_ms / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32] = {};
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  return fmt::format("{}.{:03}Z", text, wall_ms % kMillisPerSecond);
}

std::string AlternativesText(const pb::Decision& decision) {
  std::string text;
  for (const pb::Alternative& other : decision.alternatives()) {
    text += text.empty() ? "" : ", ";
    text += fmt::format("{} {:.3f} s", other.name(), other.cost());
  }
  return text;
}

Json ToJson(const pb::Decision& decision) {
  Json json{
      {"at", TimeText(decision.at_ms())}, {"team", decision.team()},
      {"program", decision.program()},    {"call", decision.call()},
      {"what", decision.what()},          {"chosen", decision.chosen()},
      {"reason", decision.reason()},      {"alternatives", Json::array()}};
  for (const pb::Alternative& other : decision.alternatives()) {
    json["alternatives"].push_back(Json{{"name", other.name()},
                                        {"cost_s", other.cost()},
                                        {"inputs", other.inputs()}});
  }
  return json;
}

void AddDecisions(const std::vector<pb::Decision>& decisions, Report& report) {
  report.data["decisions"] = Json::array();
  if (decisions.empty()) {
    report.text += "no decisions remembered\n";
    return;
  }
  std::vector<TableRow> rows = {{"AT", "TEAM", "PROGRAM", "CALL", "WHAT",
                                 "CHOSEN", "REASON", "ESTIMATES"}};
  const size_t first =
      decisions.size() - std::min(decisions.size(), kDecisionsShown);
  for (size_t i = first; i < decisions.size(); ++i) {
    const pb::Decision& decision = decisions[i];
    report.data["decisions"].push_back(ToJson(decision));
    rows.push_back({TimeText(decision.at_ms()), decision.team(),
                    decision.program(), std::to_string(decision.call()),
                    decision.what(), decision.chosen(), decision.reason(),
                    AlternativesText(decision)});
  }
  report.text += "decisions:\n" + RenderTable(rows);
}

std::string StateText(pb::CallState state) {
  switch (state) {
    case pb::RUNNING:
      return "running";
    case pb::DONE:
      return "done";
    case pb::FAILED:
      return "failed, not run";
    case pb::LOST:
      return "unknown, may have run";
    default:
      return "-";
  }
}

int64_t ElapsedMillis(const pb::CallRecord& call) {
  return std::max<int64_t>(call.finished_at_ms() - call.started_at_ms(), 0);
}

// Answers and messages are the team's own and are not shown.
void AddCalls(const pb::ProgramState& program, Report& report) {
  std::vector<TableRow> rows = {{"CALL", "PROGRAM", "STATE", "STATUS",
                                 "ENDPOINT", "PROMPT", "COMPLETION", "STARTED",
                                 "TOOK"}};
  report.data["calls"] = Json::array();
  for (const pb::CallRecord& call : program.calls()) {
    rows.push_back({std::to_string(call.call()), call.program().id(),
                    StateText(call.state()), std::to_string(call.status()),
                    call.endpoint(), std::to_string(call.prompt_tokens()),
                    std::to_string(call.completion_tokens()),
                    TimeText(call.started_at_ms()),
                    std::to_string(ElapsedMillis(call)) + " ms"});
    report.data["calls"].push_back(
        Json{{"call", call.call()},
             {"program", call.program().id()},
             {"state", StateText(call.state())},
             {"status", call.status()},
             {"endpoint", call.endpoint()},
             {"prompt_tokens", call.prompt_tokens()},
             {"completion_tokens", call.completion_tokens()},
             {"started_at", TimeText(call.started_at_ms())},
             {"took_ms", ElapsedMillis(call)}});
  }
  report.text += RenderTable(rows);
}

void AddProgram(const pb::ProgramState& program, Report& report) {
  report.data["ended"] = program.ended();
  report.data["tokens_used"] = program.tokens_used();
  report.data["calls_used"] = program.calls_used();
  report.data["messages"] = program.messages_size();
  report.data["budget"] = Json{{"tokens", program.budget().tokens()},
                               {"calls", program.budget().calls()},
                               {"seconds", program.budget().seconds()}};
  report.text += fmt::format(
      "{}, {} messages of history\n"
      "used {} of {} tokens, {} of {} calls; {} s allowed (0: no limit)\n",
      program.ended() ? "ended" : "under way", program.messages_size(),
      program.tokens_used(), program.budget().tokens(), program.calls_used(),
      program.budget().calls(), program.budget().seconds());
  AddCalls(program, report);
}

std::string OwnerName(const FleetState& state, const ExplainSubject& subject) {
  const auto owner = OwnerOf(state, {subject.team, subject.id});
  return owner ? state.members.at(*owner).join.instance : "nobody";
}

Report ShowProgram(const FleetState& state,
                   const ExplainSubject& subject,
                   const SchedulerMemory& memory) {
  Report report;
  report.data = Json{{"program", subject.id}, {"team", subject.team}};
  report.text = "program " + subject.id + "\n";
  if (subject.team.empty()) {
    report.text += "give --team to see its owner, budget and calls\n";
  } else {
    const std::string owner = OwnerName(state, subject);
    report.data["owner"] = owner;
    report.text += "team " + subject.team + ", owned by " + owner + "\n";
  }
  if (memory.program) {
    AddProgram(*memory.program, report);
  } else if (memory.owner_answered) {
    report.text += "its owner keeps no record of it\n";
  }
  return report;
}

Json ObjectJson(const Ticket& ticket, std::string_view list) {
  return Json::parse(TicketToJson(ticket))[std::string(list)][0];
}

std::string FieldTable(const Json& object) {
  std::vector<TableRow> rows;
  for (const auto& [name, value] : object.items()) {
    rows.push_back({"  " + name, value.is_string() ? value.get<std::string>()
                                                   : value.dump()});
  }
  return RenderTable(rows);
}

void AddKeys(const FleetState& state, const std::string& team, Report& report) {
  report.data["keys"] = Json::array();
  for (const auto& [id, key] : state.in_force.keys) {
    if (key.team == team) {
      report.data["keys"].push_back(
          Json{{"id", id}, {"withdrawn", key.withdrawn}});
      report.text += "  key " + id + (key.withdrawn ? " (withdrawn)\n" : "\n");
    }
  }
}

void AddTickets(const FleetState& state,
                const std::string& name,
                Report& report) {
  if (const auto found = state.applied.find(name);
      found != state.applied.end()) {
    const auto& [number, offset] = found->second;
    report.data["ticket"] = number;
    report.data["offset"] = offset;
    report.text +=
        fmt::format("set by ticket {} at offset {}\n", number, offset);
  }
  report.data["audit"] = Json::array();
  for (const AuditEntry& entry : state.audit) {
    // The audit trail names objects with the reason; the name must end there.
    const size_t at = entry.reason.find(name);
    const char next =
        at == std::string::npos || at + name.size() >= entry.reason.size()
            ? ' '
            : entry.reason[at + name.size()];
    if (at == std::string::npos || (next != ' ' && next != ',')) {
      continue;
    }
    report.data["audit"].push_back(Json{{"offset", entry.offset},
                                        {"subject", entry.subject},
                                        {"accepted", entry.accepted},
                                        {"reason", entry.reason}});
    report.text += fmt::format(
        "  offset {}: ticket {} {}: {}\n", entry.offset, entry.subject,
        entry.accepted ? "accepted" : "refused", entry.reason);
  }
}

template <typename T>
Report ShowObject(const FleetState& state,
                  const ObjectKind<T>& kind,
                  const std::string& id) {
  const std::string name = ObjectName(kind.name, id);
  Report report;
  report.data = Json{{std::string(kind.name), id}};
  const auto& in_force = state.in_force.*kind.in_force;
  if (const auto found = in_force.find(id); found != in_force.end()) {
    Ticket ticket;
    (ticket.*kind.in_ticket) = {found->second};
    const Json object = ObjectJson(ticket, kind.field);
    report.data["in_force"] = object;
    report.text = name + " is in force:\n" + FieldTable(object);
  } else {
    report.exit_status = kExitFailed;
    report.data["in_force"] = nullptr;
    report.text = name + " is not in force\n";
  }
  return report;
}

}  // namespace

Report ShowExplain(const FleetState& state,
                   const ExplainSubject& subject,
                   const SchedulerMemory& memory) {
  Report report;
  switch (subject.kind) {
    case ExplainKind::kProgram:
      report = ShowProgram(state, subject, memory);
      break;
    case ExplainKind::kTeam:
      report = ShowObject(state, kTeams, subject.id);
      AddKeys(state, subject.id, report);
      AddTickets(state, ObjectName(kTeams.name, subject.id), report);
      break;
    case ExplainKind::kEndpoint:
      report = ShowObject(state, kEndpoints, subject.id);
      AddTickets(state, ObjectName(kEndpoints.name, subject.id), report);
      break;
  }
  AddDecisions(memory.decisions, report);
  report.data["silent"] = memory.silent;
  for (const std::string& instance : memory.silent) {
    report.text += "the scheduler of " + instance + " did not answer\n";
  }
  return report;
}

}  // namespace celerykeel
