#include "celerykeel/node/attempt_log.h"

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/node.h"   // for Node

namespace celerykeel {

std::string_view OutcomeOf(ExchangeError error) {
  switch (error) {
    case ExchangeError::kClosed:
      return "connection closed";
    case ExchangeError::kMalformed:
      return "malformed answer";
    default:
      return "no answer";
  }
}

void LogAttempt(Node& node,
                const Call& call,
                const Attempt& attempt,
                std::string_view outcome) {
  Count(node.metrics.attempts, "outcome", outcome);
  WriteLog(node.log, LogLevel::kOrdinary, "attempt",
           {{"id", call.request.header_values.id},
            {"team", call.team == nullptr ? "" : call.team->name},
            {"program", call.request.header_values.program},
            {"request", HashText(call.identity)},
            {"endpoint", attempt.endpoint},
            {"version", attempt.version},
            {"try", call.tries},
            {"status", attempt.head.status},
            {"limit", attempt.limit.value_or(0)},
            {"over", attempt.over},
            {"outcome", outcome},
            {"sent_ms", call.sent_after.value_or(Duration::zero())},
            {"after_ms", Now() - call.arrived_at}});
}

}  // namespace celerykeel
