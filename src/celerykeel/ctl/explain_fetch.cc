#include <algorithm>  // for std::stable_sort
#include <utility>    // for std::move

#include "celerykeel/core/rendezvous.h"  // for OwnerOf
#include "celerykeel/ctl/explain.h"

namespace celerykeel {

namespace {

std::string_view NameOf(ExplainKind kind) {
  switch (kind) {
    case ExplainKind::kTeam:
      return "team";
    case ExplainKind::kEndpoint:
      return "endpoint";
    case ExplainKind::kProgram:
      break;
  }
  return "program";
}

std::optional<pb::CallReply> ParseReply(std::string_view bytes) {
  pb::CallReply reply;
  if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  return reply;
}

Question MakeQuestion(const std::string& address,
                      const pb::CallMessage& message,
                      uint64_t id) {
  return Question{address, message.SerializeAsString(),
                  [id](std::string_view bytes) {
                    const auto reply = ParseReply(bytes);
                    return reply && reply->id() == id;
                  }};
}

Question ExplainQuestion(Exchange& exchange,
                         const std::string& address,
                         const ExplainSubject& subject) {
  pb::CallMessage message;
  pb::ExplainQuery& query = *message.mutable_explain_query();
  query.set_id(exchange.NextId());
  query.set_kind(std::string(NameOf(subject.kind)));
  query.set_subject(subject.id);
  return MakeQuestion(address, message, query.id());
}

Question ProgramQuestion(Exchange& exchange,
                         const std::string& address,
                         const ExplainSubject& subject) {
  pb::CallMessage message;
  pb::ProgramQuery& query = *message.mutable_program_query();
  query.set_id(exchange.NextId());
  query.mutable_program()->set_team(subject.team);
  query.mutable_program()->set_id(subject.id);
  return MakeQuestion(address, message, query.id());
}

bool IsWanted(const ExplainSubject& subject, const pb::Decision& decision) {
  return subject.kind != ExplainKind::kProgram || subject.team.empty() ||
         subject.team == decision.team();
}

// The program's calls, from its owner, when the team is known.
void FetchProgram(Exchange& exchange,
                  const FleetState& state,
                  const ExplainSubject& subject,
                  Duration timeout,
                  SchedulerMemory& memory) {
  if (subject.kind != ExplainKind::kProgram || subject.team.empty()) {
    return;
  }
  const auto owner = OwnerOf(state, {subject.team, subject.id});
  if (!owner) {
    return;
  }
  const std::string& address = state.members.at(*owner).join.scheduler_address;
  const auto answers =
      exchange.Ask({ProgramQuestion(exchange, address, subject)}, timeout);
  const auto reply = answers[0] ? ParseReply(*answers[0]) : std::nullopt;
  if (!reply || !reply->has_report()) {
    return;
  }
  memory.owner_answered = true;
  if (reply->report().found()) {
    memory.program = reply->report().state();
  }
}

std::vector<const Member*> MembersByName(const FleetState& state) {
  std::vector<const Member*> members;
  members.reserve(state.members.size());
  for (const auto& [incarnation, member] : state.members) {
    members.push_back(&member);
  }
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* a, const Member* b) {
                     return a->join.instance < b->join.instance;
                   });
  return members;
}

}  // namespace

SchedulerMemory FetchMemory(Exchange& exchange,
                            const FleetState& state,
                            const ExplainSubject& subject,
                            Duration timeout) {
  std::vector<Question> questions;
  const std::vector<const Member*> members = MembersByName(state);
  questions.reserve(members.size());
  for (const Member* const member : members) {
    questions.push_back(
        ExplainQuestion(exchange, member->join.scheduler_address, subject));
  }
  const auto answers = exchange.Ask(std::move(questions), timeout);
  SchedulerMemory memory;
  for (size_t i = 0; i < answers.size(); ++i) {
    const auto reply = answers[i] ? ParseReply(*answers[i]) : std::nullopt;
    if (!reply) {
      memory.silent.push_back(members[i]->join.instance);
      continue;
    }
    for (const pb::Decision& decision : reply->explain().decisions()) {
      if (IsWanted(subject, decision)) {
        memory.decisions.push_back(decision);
      }
    }
  }
  std::stable_sort(
      memory.decisions.begin(), memory.decisions.end(),
      [](const auto& a, const auto& b) { return a.at_ms() < b.at_ms(); });
  FetchProgram(exchange, state, subject, timeout, memory);
  return memory;
}

}  // namespace celerykeel
