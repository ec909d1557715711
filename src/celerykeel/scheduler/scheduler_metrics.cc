#include "celerykeel/scheduler/scheduler_metrics.h"

#include <string>  // for std::string

namespace celerykeel {

namespace {

prometheus::Family<prometheus::Counter>& Counters(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter()
      .Name("celerykeel_scheduler_" + name)
      .Help(help)
      .Register(registry);
}

prometheus::Counter& Counter(prometheus::Registry& registry,
                             const std::string& name,
                             const std::string& help) {
  return Counters(registry, name, help).Add({});
}

prometheus::Gauge& Gauge(prometheus::Registry& registry,
                         const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge()
      .Name("celerykeel_scheduler_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

SchedulerMetrics::SchedulerMetrics(prometheus::Registry& registry)
    : refusals(Counters(registry,
                        "refusals_total",
                        "calls refused, by type and whether they ran")),
      attempts(Counters(registry,
                        "attempts_total",
                        "attempts at endpoints, by how they ended")),
      answers(Counter(registry, "answers_total", "calls answered")),
      answers_not_durable(Counter(registry,
                                  "answers_not_durable_total",
                                  "calls answered while the log was down")),
      retries(Counter(registry, "retries_total", "attempts after the first")),
      journal_records(Counter(registry,
                              "journal_records_total",
                              "records appended to the journal")),
      appends_failed(Counter(registry,
                             "appends_failed_total",
                             "appends that the log did not confirm")),
      releases_failed(Counter(registry,
                              "releases_failed_total",
                              "cache releases that an engine did not confirm")),
      holdings_dropped(
          Counter(registry,
                  "holdings_dropped_total",
                  "cache that engines held for programs that are gone")),
      programs(Gauge(registry, "programs", "families of programs kept")),
      calls_running(Gauge(registry, "calls_running", "calls at endpoints")),
      calls_queued(
          Gauge(registry, "calls_queued", "calls that wait for an endpoint")),
      calls_parked(Gauge(registry,
                         "calls_parked",
                         "calls that wait for a former owner to let go")),
      slots_owned(Gauge(registry, "slots_owned", "slots by the roster")),
      slots_ready(
          Gauge(registry, "slots_ready", "slots that this process acts for")) {}

}  // namespace celerykeel
