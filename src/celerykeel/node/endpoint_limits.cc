#include "celerykeel/node/endpoint_limits.h"

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/endpoint_limit.h"  // for RecordLimit
#include "celerykeel/node/node.h"            // for Node

namespace celerykeel {

namespace {

void LogLimit(Node& node,
              const std::string& endpoint,
              std::string_view source) {
  const EndpointLimit& limit = node.endpoint_limits.at(endpoint);
  WriteLog(node.log, LogLevel::kOrdinary, "endpoint limit",
           {{"endpoint", endpoint},
            {"limited", limit.per_second.has_value()},
            {"per_second", limit.per_second.value_or(0)},
            {"source", source}});
}

}  // namespace

void HandleNamedLimit(Node& node,
                      const EndpointEntry& endpoint,
                      const AnswerHeaderValues& answer) {
  if (answer.has_unreadable_rate_limit) {
    WriteLog(node.log, LogLevel::kUnusual, "endpoint limit unreadable",
             {{"endpoint", endpoint.id}});
    return;
  }
  // An answer without a limit ends a former one only if the endpoint made it.
  if (!answer.rate_limit && !answer.sealed && !answer.not_run) {
    return;
  }
  if (RecordLimit(node.endpoint_limits, endpoint.id,
                  {.per_second = answer.rate_limit,
                   .started_at = endpoint.started_at,
                   .answered_at = Now(),
                   .announced = std::nullopt})) {
    LogLimit(node, endpoint.id, "its answer");
  }
}

}  // namespace celerykeel
