#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/call.pb.h"           // for pb::Decision
#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/ctl/exchange.h"      // for Exchange
#include "celerykeel/ctl/options.h"       // for ExplainKind
#include "celerykeel/ctl/report.h"        // for Report

namespace celerykeel {

/// @brief What is to be explained; `team` narrows a program's id.
struct ExplainSubject {
  ExplainKind kind = ExplainKind::kProgram;
  std::string id;
  std::string team;
};

/// @brief What the schedulers of the fleet remember of a subject.
struct SchedulerMemory {
  std::vector<pb::Decision> decisions;      // oldest first
  std::optional<pb::ProgramState> program;  // from its owner
  bool owner_answered = false;              // whether it knows it or not
  std::vector<std::string> silent;          // instances that did not answer
};

/// @brief Asks every live scheduler for its decisions, and the owner of a
/// program for its calls when the team is known.
SchedulerMemory FetchMemory(Exchange& exchange,
                            const FleetState& state,
                            const ExplainSubject& subject,
                            Duration timeout);

/// @brief What is in force of a team or an endpoint, the tickets that set it
/// and the decisions on it; or what happened to a program.
Report ShowExplain(const FleetState& state,
                   const ExplainSubject& subject,
                   const SchedulerMemory& memory);

}  // namespace celerykeel
