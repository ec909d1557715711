#include "celerykeel/node/endpoint_speeds.h"

#include <algorithm>  // for std::count_if
#include <set>        // for std::set
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"                // for Now
#include "celerykeel/core/endpoint_assessment.h"  // for AssessSpeeds
#include "celerykeel/node/node.h"                 // for Node

namespace celerykeel {

namespace {

size_t CountLiveInstances(const Node& node, Duration now) {
  return 1 + static_cast<size_t>(std::count_if(
                 node.fleet.members.begin(), node.fleet.members.end(),
                 [now](const auto& entry) {
                   return HasRecentHeartbeat(entry.second, now);
                 }));
}

std::set<std::string> SlowEndpoints(const Node& node) {
  std::set<std::string> slow;
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (IsSlow(endpoint)) {
      slow.insert(id);
    }
  }
  return slow;
}

void LogChange(Node& node, const EndpointStatus& endpoint) {
  if (Now() > node.speed_lines.since + std::chrono::seconds(1)) {
    node.speed_lines = {.since = Now(), .count = 0};
  }
  if (++node.speed_lines.count <= kMaxSpeedLines) {
    WriteLog(node.log, LogLevel::kUnusual,
             IsSlow(endpoint) ? "endpoint slow" : "endpoint no longer slow",
             {{"endpoint", endpoint.entry.id},
              {"service", endpoint.entry.service},
              {"factor", endpoint.speed_factor}});
  }
}

}  // namespace

AttemptTimer::AttemptTimer(Node& timing_node,
                           const Call& call,
                           std::string endpoint_id)
    : node(timing_node), endpoint(std::move(endpoint_id)) {
  if (const auto found = this->node.endpoints.endpoints.find(this->endpoint);
      found != this->node.endpoints.endpoints.end()) {
    this->number = BeginTimedCall(
        this->node.speeds,
        {.service = found->second.entry.service,
         .route = call.route->name,
         .is_preferred = this->endpoint == call.preferred_endpoint},
        found->second, Now());
  }
}

AttemptTimer::~AttemptTimer() {
  AbandonTimedCall(this->node.speeds, this->number, Now());
}

void AttemptTimer::Restart() {
  RestartTimedCall(this->node.speeds, this->number, Now());
}

void AttemptTimer::Answered() {
  RecordAnswered(this->node.speeds, this->number, Now());
  this->answered = true;
}

void AttemptTimer::Failed() {
  if (this->answered) {
    RecordBroken(this->node.speeds, this->endpoint, Now());
  } else {
    RecordFailed(this->node.speeds, this->number, Now());
  }
}

void AddSpeedNews(const Node& node, pb::NodeHeartbeat& beat) {
  const Duration now = Now();
  for (const auto& [endpoint, samples] :
       ReportSpeeds(node.speeds, CountLiveInstances(node, now), now)) {
    pb::EndpointSpeedNews& news = *beat.add_speeds();
    news.set_endpoint(endpoint);
    news.set_calls(static_cast<float>(samples.calls));
    news.set_failures(static_cast<float>(samples.failures));
    news.set_timed(static_cast<float>(samples.timed));
    news.set_log_ratios(static_cast<float>(samples.log_ratios));
  }
}

void ApplySpeedNews(Node& node, const pb::NodeHeartbeat& beat) {
  std::vector<SpeedReport> reports;
  for (const pb::EndpointSpeedNews& news : beat.speeds()) {
    if (node.endpoints.endpoints.contains(news.endpoint())) {
      reports.push_back({news.endpoint(),
                         {.calls = news.calls(),
                          .failures = news.failures(),
                          .timed = news.timed(),
                          .log_ratios = news.log_ratios()}});
    }
  }
  RecordSpeedReports(node.speeds, beat.instance(), reports, Now());
}

void AssessEndpoints(Node& node) {
  const Duration now = Now();
  const std::set<std::string> slow_before = SlowEndpoints(node);
  AssessSpeeds(node.speeds, node.endpoints, node.options.instance,
               CountLiveInstances(node, now), now);
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (IsSlow(endpoint) != slow_before.contains(id)) {
      LogChange(node, endpoint);
    }
  }
}

}  // namespace celerykeel
