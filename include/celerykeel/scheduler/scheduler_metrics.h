#pragma once

#include <prometheus/counter.h>   // for prometheus::Counter
#include <prometheus/family.h>    // for prometheus::Family
#include <prometheus/gauge.h>     // for prometheus::Gauge
#include <prometheus/registry.h>  // for prometheus::Registry

namespace celerykeel {

/// @brief What operators watch of a scheduler.
struct SchedulerMetrics {
  explicit SchedulerMetrics(prometheus::Registry& registry);

  prometheus::Family<prometheus::Counter>& refusals;  // by type and ran
  prometheus::Family<prometheus::Counter>& attempts;  // by result
  prometheus::Counter& answers;
  prometheus::Counter& answers_not_durable;
  prometheus::Counter& retries;
  prometheus::Counter& journal_records;
  prometheus::Counter& appends_failed;
  prometheus::Counter& releases_failed;
  prometheus::Counter& holdings_dropped;
  prometheus::Gauge& programs;
  prometheus::Gauge& calls_running;
  prometheus::Gauge& calls_queued;
  prometheus::Gauge& calls_parked;
  prometheus::Gauge& slots_owned;
  prometheus::Gauge& slots_ready;
};

}  // namespace celerykeel
