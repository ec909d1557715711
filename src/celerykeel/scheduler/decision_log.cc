#include "celerykeel/scheduler/decision_log.h"

#include <algorithm>  // for std::any_of
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"  // for WallNow

namespace celerykeel {

namespace {

constexpr size_t kReported = 500;  // decisions in one answer

// A program's own id, or one of its sub-agents'.
bool IsWithin(std::string_view id, std::string_view program) {
  return id == program || (id.starts_with(program) &&
                           id.substr(program.size()).starts_with('/'));
}

bool IsAbout(const pb::Decision& decision, const pb::ExplainQuery& query) {
  if (query.kind() == "program") {
    return IsWithin(decision.program(), query.subject()) ||
           IsWithin(decision.team() + "/" + decision.program(),
                    query.subject());
  }
  if (query.kind() == "team") {
    return decision.team() == query.subject();
  }
  return decision.chosen() == query.subject() ||
         std::any_of(decision.alternatives().begin(),
                     decision.alternatives().end(), [&](const auto& other) {
                       return other.name() == query.subject();
                     });
}

}  // namespace

pb::Decision DecisionOf(const CallKey& key,
                        std::string_view what,
                        std::string_view chosen,
                        std::string_view reason) {
  pb::Decision decision;
  decision.set_at_ms(WallNow());
  decision.set_team(key.program.team);
  decision.set_program(key.program.id);
  decision.set_call(key.call);
  decision.set_what(std::string(what));
  decision.set_chosen(std::string(chosen));
  decision.set_reason(std::string(reason));
  return decision;
}

void Add(DecisionLog& log, pb::Decision decision) {
  log.decisions.push_back(std::move(decision));
  if (log.decisions.size() > log.kept) {
    log.decisions.pop_front();
  }
}

pb::ExplainReport Explain(const DecisionLog& log,
                          const pb::ExplainQuery& query) {
  pb::ExplainReport report;
  size_t found = 0;
  auto first = log.decisions.end();
  while (first != log.decisions.begin() && found < kReported) {
    --first;
    found += IsAbout(*first, query) ? 1 : 0;
  }
  for (; first != log.decisions.end(); ++first) {
    if (IsAbout(*first, query)) {
      *report.add_decisions() = *first;
    }
  }
  return report;
}

}  // namespace celerykeel
