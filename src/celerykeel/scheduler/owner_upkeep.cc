#include <algorithm>  // for std::all_of
#include <utility>    // for std::move

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/net/log.h"                // for Log
#include "celerykeel/scheduler/call_reader.h"  // for ToProto
#include "celerykeel/scheduler/owner_state.h"  // for Owner::State

namespace celerykeel {

namespace {

constexpr Duration kReportAgain = std::chrono::milliseconds(500);

const char* NameOf(AttemptResult::Kind kind) {
  switch (kind) {
    case AttemptResult::Kind::kAnswered:
      return "answered";
    case AttemptResult::Kind::kNotRun:
      return "not_run";
    case AttemptResult::Kind::kUnknown:
      return "unknown";
    case AttemptResult::Kind::kCancelled:
      return "cancelled";
  }
  return "";
}

}  // namespace

void Owner::State::Decide(const CallKey& key,
                          std::string_view what,
                          std::string_view chosen,
                          std::string_view reason) {
  Add(this->decisions, DecisionOf(key, what, chosen, reason));
}

void Owner::State::NotePlacement(const QueuedCall& call,
                                 const EndpointChoice& choice) {
  pb::Decision decision =
      DecisionOf(call.key, "place", choice.endpoint, "least expected cost");
  for (const EndpointChoice::Alternative& other : choice.alternatives) {
    pb::Alternative& alternative = *decision.add_alternatives();
    alternative.set_name(other.endpoint);
    alternative.set_cost(other.cost);
    alternative.set_inputs(
        fmt::format("calls={} failed_it={} wait_s={:.3f} prefill_s={:.3f} "
                    "eviction_s={:.3f}",
                    other.calls, other.avoided, other.parts.wait,
                    other.parts.prefill, other.parts.eviction));
  }
  Add(this->decisions, std::move(decision));
  if (call.avoid.empty()) {
    EarnRetry(this->retry_budget, call.key.program.team, choice.endpoint);
  }
}

void Owner::State::CountRefusal(const Refusal& refusal) {
  const pb::CallRefused told = ToProto(refusal);
  this->metrics.refusals
      .Add({{"type", pb::RefusalType_Name(told.type())},
            {"ran", pb::Ran_Name(told.ran())}})
      .Increment();
}

void Owner::State::CountAttempt(const AttemptResult& result) {
  this->metrics.attempts.Add({{"result", NameOf(result.kind)}}).Increment();
}

void Owner::State::ShowGauges() {
  const auto set = [](prometheus::Gauge& gauge, size_t value) {
    gauge.Set(static_cast<double>(value));
  };
  set(this->metrics.programs, this->ledger.families.size());
  set(this->metrics.calls_running, this->attempts.size());
  set(this->metrics.calls_queued, this->queue.calls.size());
  set(this->metrics.calls_parked, this->parked.size());
  set(this->metrics.slots_owned, this->adoption.owned.count());
  set(this->metrics.slots_ready, this->adoption.ready.count());
}

void Owner::State::HandleExplain(const Requester& requester,
                                 const pb::ExplainQuery& query) {
  pb::CallReply reply;
  *reply.mutable_explain() = Explain(this->decisions, query);
  SendReply(*this->messenger, requester, std::move(reply));
}

void Owner::State::TickAudit(Duration now) {
  if (now - this->audited_at < this->options.audit_every) {
    return;
  }
  this->audited_at = now;
  for (const auto& [id, endpoint] : this->view.state->in_force.endpoints) {
    if (endpoint.kind == EndpointKind::kModelEngine) {
      this->workers->Start(CacheListing{id, this->AddressOf(id)});
    }
  }
}

void Owner::State::HandleListing(const CacheListed& listed) {
  std::set<std::string> wanted;
  for (const auto& [root, family] : this->ledger.families) {
    for (const auto& [id, program] : family.programs) {
      if (!program.ended || program.active) {
        wanted.insert(CacheName(program.name));
      }
    }
  }
  const auto is_unwanted = [&](const std::string& name) {
    const auto slot = SlotOfCacheName(name);
    return slot && this->adoption.ready[*slot] && !wanted.contains(name);
  };
  for (std::string& name : ProcessHoldings(this->audit, listed.endpoint,
                                           listed.names, is_unwanted)) {
    this->metrics.holdings_dropped.Increment();
    this->workers->Start(CacheRelease{listed.address, std::move(name)});
  }
}

bool Owner::State::IsDraining() const {
  return this->draining.load() || this->view.draining;
}

// A leaving instance takes no new programs. Those under way go on for a short
// time, so that their callers need not wait while others' calls end.
bool Owner::State::MayTake(const ProgramName& program, Duration now) const {
  if (!this->IsDraining()) {
    return true;
  }
  const bool still_serves =
      this->draining_since == Duration{} ||
      now - this->draining_since < this->options.drain_serve;
  return still_serves && this->reported_at == Duration{} &&
         FindProgram(this->ledger, program) != nullptr;
}

// Nothing runs, and the journal holds all that the next owners need.
bool Owner::State::HasNothingLeft() const {
  return this->callers.empty() && this->attempts.empty() &&
         this->parked.empty() &&
         std::all_of(this->ledger.families.begin(), this->ledger.families.end(),
                     [&](const auto& entry) {
                       const ProgramFamily& family = entry.second;
                       return !IsBusy(family) && (family.unappended.empty() ||
                                                  !this->view.log_reachable);
                     });
}

void Owner::State::TickDrain(Duration now) {
  if (!this->IsDraining()) {
    return;
  }
  if (this->draining_since == Duration{}) {
    this->draining_since = now;
    Log("scheduler", "draining", {{"running", this->attempts.size()}});
  }
  if (!this->HasNothingLeft()) {
    return;
  }
  if (this->reported_at == Duration{}) {
    this->left_by = now + this->options.leave_wait;
    Log("scheduler", "drained, waiting for the steward to leave");
  }
  if (now - this->reported_at >= kReportAgain) {
    this->reported_at = now;
    this->feed->ReportDrained();
  }
  const bool has_left =
      !this->view.state->members.contains(this->adoption.self);
  if (has_left || now >= this->left_by) {
    this->drained.store(true);
  }
}

}  // namespace celerykeel
