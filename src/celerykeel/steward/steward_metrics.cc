#include "celerykeel/steward/steward_metrics.h"

#include <prometheus/counter.h>    // for prometheus::BuildCounter
#include <prometheus/gauge.h>      // for prometheus::BuildGauge
#include <prometheus/histogram.h>  // for prometheus::BuildHistogram

#include <algorithm>  // for std::max
#include <string>     // for std::string

namespace celerykeel {

namespace {

using Counter = prometheus::Counter;
using Gauge = prometheus::Gauge;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

prometheus::Histogram::BucketBoundaries AppendBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
}

// A counter follows a total that only grows.
void Follow(Counter& counter, uint64_t total) {
  if (const double more = static_cast<double>(total) - counter.Value();
      more > 0) {
    counter.Increment(more);
  }
}

Gauge& AddGauge(prometheus::Registry& registry,
                const std::string& name,
                const std::string& help) {
  return prometheus::BuildGauge()
      .Name("celerykeel_steward_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

Counter& AddCounter(prometheus::Registry& registry,
                    const std::string& name,
                    const std::string& help) {
  return prometheus::BuildCounter()
      .Name("celerykeel_steward_" + name + "_total")
      .Help(help)
      .Register(registry)
      .Add({});
}

struct AppendCounters {
  AppendCounters(prometheus::Family<Counter>& request_family,
                 prometheus::Family<Counter>& record_family,
                 prometheus::Family<Counter>& failure_family,
                 const std::string& stream)
      : requests(request_family.Add({{"stream", stream}})),
        records(record_family.Add({{"stream", stream}})),
        refused(
            failure_family.Add({{"stream", stream}, {"outcome", "refused"}})),
        uncertain(failure_family.Add(
            {{"stream", stream}, {"outcome", "uncertain"}})) {}

  void Update(const AppenderTotals& totals) {
    Follow(this->requests, totals.appends);
    Follow(this->records, totals.records);
    Follow(this->refused, totals.refused);
    Follow(this->uncertain, totals.uncertain);
  }

  Counter& requests;
  Counter& records;
  Counter& refused;
  Counter& uncertain;
};

}  // namespace

struct StewardMetrics::State {
  explicit State(prometheus::Registry& registry)
      : members(AddGauge(registry, "members", "Members of the roster.")),
        offset(AddGauge(registry, "offset", "Last record folded.")),
        freshness(AddGauge(registry,
                           "freshness_seconds",
                           "Age of the state since it was known complete.")),
        lease_left(AddGauge(registry,
                            "lease_left_seconds",
                            "Time until the lease runs out; 0 without one.")),
        log_reachable(
            AddGauge(registry, "log_reachable", "1 if the log is read.")),
        witnesses(AddGauge(registry, "witnesses", "Witnesses, itself too.")),
        unreadable(AddGauge(registry,
                            "unreadable_records",
                            "Fleet records that did not decode.")),
        joins(AddCounter(registry, "joins", "Own joins.")),
        evicted(AddCounter(registry, "evicted", "Own evictions.")),
        evictions(AddCounter(registry, "evictions", "Evictions appended.")),
        words(AddCounter(registry, "words", "Words given for evictions.")),
        witness_changes(AddCounter(registry,
                                   "witness_changes",
                                   "Changes of the own witnesses.")),
        snapshots(AddCounter(registry, "snapshots", "Snapshots appended.")),
        dropped(AddCounter(registry,
                           "dropped_messages",
                           "Messages of peers that did not decode.")),
        from_peers(AddCounter(registry,
                              "records_from_peers",
                              "Records that peers passed on.")),
        requests(prometheus::BuildCounter()
                     .Name("celerykeel_steward_appends_total")
                     .Help("Requests to append to the log.")
                     .Register(registry)),
        records(prometheus::BuildCounter()
                    .Name("celerykeel_steward_appended_records_total")
                    .Help("Records appended to the log.")
                    .Register(registry)),
        failures(prometheus::BuildCounter()
                     .Name("celerykeel_steward_append_failures_total")
                     .Help("Appends that were refused or are uncertain.")
                     .Register(registry)),
        fleet(requests, records, failures, "fleet"),
        journal(requests, records, failures, "journal"),
        append_seconds(prometheus::BuildHistogram()
                           .Name("celerykeel_steward_append_seconds")
                           .Help("Time that the log took for an append.")
                           .Register(registry)
                           .Add({}, AppendBuckets())) {}

  Gauge& members;
  Gauge& offset;
  Gauge& freshness;
  Gauge& lease_left;
  Gauge& log_reachable;
  Gauge& witnesses;
  Gauge& unreadable;
  Counter& joins;
  Counter& evicted;
  Counter& evictions;
  Counter& words;
  Counter& witness_changes;
  Counter& snapshots;
  Counter& dropped;
  Counter& from_peers;
  prometheus::Family<Counter>& requests;
  prometheus::Family<Counter>& records;
  prometheus::Family<Counter>& failures;
  AppendCounters fleet;
  AppendCounters journal;
  prometheus::Histogram& append_seconds;
};

std::unique_ptr<StewardMetrics> StewardMetrics::Create(
    prometheus::Registry& registry) {
  return std::unique_ptr<StewardMetrics>(
      new StewardMetrics(std::make_unique<State>(registry)));
}

StewardMetrics::StewardMetrics(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

StewardMetrics::~StewardMetrics() = default;

void StewardMetrics::Update(const Control& control, Duration now) {
  State& metrics = *this->state;
  metrics.members.Set(static_cast<double>(control.state.members.size()));
  metrics.offset.Set(static_cast<double>(control.state.offset));
  metrics.freshness.Set(Seconds(now - control.fresh_at));
  metrics.lease_left.Set(
      Seconds(std::max(control.lease_until - now, Duration{})));
  metrics.log_reachable.Set(control.log_reachable ? 1 : 0);
  metrics.witnesses.Set(static_cast<double>(control.lease.witnesses.size()));
  metrics.unreadable.Set(static_cast<double>(control.state.unreadable));
  const ControlTotals& totals = control.totals;
  Follow(metrics.joins, totals.joins);
  Follow(metrics.evicted, totals.evicted);
  Follow(metrics.evictions, totals.evictions);
  Follow(metrics.words, totals.words);
  Follow(metrics.witness_changes, totals.witness_changes);
  Follow(metrics.snapshots, totals.snapshots);
  Follow(metrics.dropped, totals.dropped_messages);
  Follow(metrics.from_peers, totals.records_from_peers);
}

void StewardMetrics::Update(const AppenderTotals& fleet,
                            const AppenderTotals& journal) {
  this->state->fleet.Update(fleet);
  this->state->journal.Update(journal);
}

void StewardMetrics::ObserveAppend(Duration took) {
  this->state->append_seconds.Observe(Seconds(took));
}

}  // namespace celerykeel
