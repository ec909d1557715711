#pragma once

#include <prometheus/counter.h>    // for prometheus::Counter
#include <prometheus/family.h>     // for prometheus::Family
#include <prometheus/gauge.h>      // for prometheus::Gauge
#include <prometheus/histogram.h>  // for prometheus::Histogram
#include <prometheus/registry.h>   // for prometheus::Registry

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

struct Node;

/// @brief Counters and histograms of one instance; docs/OPERATIONS.md describes
/// what to do about each. Names begin with celerykeel_.
struct NodeMetrics {
  NodeMetrics();

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& refusals;    // by status and reason
  prometheus::Family<prometheus::Counter>& attempts;    // by outcome
  prometheus::Family<prometheus::Counter>& turns;       // by outcome
  prometheus::Family<prometheus::Counter>& cold_waits;  // by outcome
  prometheus::Family<prometheus::Counter>& caller_limits;  // by limit
  prometheus::Family<prometheus::Counter>& exceptions;     // by what they ended
  // First calls of programs that homes of rates and full services decided on,
  // by outcome.
  prometheus::Family<prometheus::Counter>& programs;
  prometheus::Family<prometheus::Counter>& rate_recalls;
  prometheus::Histogram& told_seconds;  // Retry-After of refusals
  prometheus::Histogram& before_send_seconds;
  prometheus::Histogram& first_event_seconds;
  prometheus::Histogram& append_seconds;
  // Calls sent to other zones, by service, zone and reason.
  prometheus::Family<prometheus::Counter>& crossings;
  // Shares of a service's calls that go to other zones, by service and zone.
  prometheus::Family<prometheus::Gauge>& zone_shares;
  // Reads of the store's lists, by topic and what is counted.
  prometheus::Family<prometheus::Gauge>& lists;
  prometheus::Family<prometheus::Gauge>&
      levels;  // by name; set in RenderMetrics
};

/// @brief Increments the counter whose label `label` has the value `value`.
void Count(prometheus::Family<prometheus::Counter>& family,
           const std::string& label,
           std::string_view value);

/// @brief Counts a refusal that this instance itself decided.
void CountRefusal(NodeMetrics& metrics, int status, std::string_view reason);

void Observe(prometheus::Histogram& histogram, Duration duration);

/// @brief Returns all metrics in the text format, with current levels.
std::string RenderMetrics(Node& node);

}  // namespace celerykeel
