#include "celerykeel/node/metrics.h"

#include <prometheus/text_serializer.h>  // for prometheus::TextSerializer

#include <algorithm>  // for std::count_if

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/cold_endpoints.h"  // for ColdRateOf
#include "celerykeel/node/node.h"            // for Node

namespace celerykeel {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;
using Boundaries = Histogram::BucketBoundaries;

Family<Counter>& Counters(prometheus::Registry& registry,
                          const std::string& name,
                          const std::string& help) {
  return prometheus::BuildCounter()
      .Name("celerykeel_" + name + "_total")
      .Help(help)
      .Register(registry);
}

Histogram& Seconds(prometheus::Registry& registry,
                   const std::string& name,
                   const std::string& help,
                   const Boundaries& boundaries) {
  return prometheus::BuildHistogram()
      .Name("celerykeel_" + name + "_seconds")
      .Help(help)
      .Register(registry)
      .Add({}, boundaries);
}

Boundaries ShortTimeBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2};
}

Boundaries CallTimeBuckets() {
  return {0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 4};
}

Boundaries TellTimeBuckets() {
  return {0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 32};
}

void SetGauge(NodeMetrics& metrics, const std::string& name, double value) {
  metrics.levels.Add({{"of", name}}).Set(value);
}

size_t CountMembersWithHeartbeat(const Node& node, Duration now) {
  return static_cast<size_t>(
      std::count_if(node.fleet.members.begin(), node.fleet.members.end(),
                    [now](const auto& entry) {
                      return HasRecentHeartbeat(entry.second, now);
                    }));
}

size_t CountSlotsWithoutHolder(const Node& node) {
  return static_cast<size_t>(std::count_if(
      node.fleet.slots.begin(), node.fleet.slots.end(),
      [](const SlotHolder& holder) { return holder.instance.empty(); }));
}

size_t CountSlotsWithCover(const Node& node) {
  return static_cast<size_t>(std::count_if(
      node.slots.held.begin(), node.slots.held.end(), [](const auto& entry) {
        return entry.second->ledger.grants_second_part;
      }));
}

size_t CountSlowEndpoints(const Node& node) {
  return static_cast<size_t>(std::count_if(
      node.endpoints.endpoints.begin(), node.endpoints.endpoints.end(),
      [](const auto& entry) { return IsSlow(entry.second); }));
}

size_t CountLimitedEndpoints(const Node& node) {
  return static_cast<size_t>(std::count_if(
      node.endpoint_limits.limits.begin(), node.endpoint_limits.limits.end(),
      [](const auto& entry) { return entry.second.per_second.has_value(); }));
}

size_t CountColdEndpoints(const Node& node, Duration now) {
  return static_cast<size_t>(std::count_if(
      node.endpoints.endpoints.begin(), node.endpoints.endpoints.end(),
      [&](const auto& entry) {
        return ColdRateOf(node.endpoints, entry.second, now).has_value();
      }));
}

size_t CountEvacuatedZones(const Node& node) {
  const auto& zones = node.endpoints.evacuations.zones;
  return static_cast<size_t>(
      std::count_if(zones.begin(), zones.end(),
                    [](const auto& entry) { return entry.second.in_force; }));
}

void SetStartGauges(Node& node) {
  const StartNeeds needs = MissingAtStart(node);
  NodeMetrics& metrics = node.metrics;
  SetGauge(metrics, "waits_for_configuration", needs.configuration ? 1 : 0);
  SetGauge(metrics, "waits_for_evacuations", needs.evacuations ? 1 : 0);
  SetGauge(metrics, "waits_for_endpoints", needs.endpoints ? 1 : 0);
  SetGauge(metrics, "waits_for_members", needs.members ? 1 : 0);
  SetGauge(metrics, "endpoints_left_out",
           static_cast<double>(node.endpoint_list.left_out));
}

void SetListGauges(Node& node, Duration now) {
  for (const auto& [topic, reads] : node.list_reads) {
    const auto set = [&node, &topic = topic](const char* of, double value) {
      node.metrics.lists.Add({{"topic", topic}, {"of", of}}).Set(value);
    };
    const Duration under_way = reads.since ? now - *reads.since : Duration{};
    set("seconds_under_way", std::chrono::duration<double>(under_way).count());
    set("pages", static_cast<double>(reads.pages));
    set("records", static_cast<double>(reads.records));
    set("bytes", static_cast<double>(reads.bytes));
    set("failed_pages", static_cast<double>(reads.failed_pages));
    set("skips", static_cast<double>(reads.skips));
    set("incomplete", static_cast<double>(reads.incomplete));
  }
}

}  // namespace

NodeMetrics::NodeMetrics()
    : refusals(Counters(this->registry,
                        "refusals",
                        "Requests that this instance refused itself.")),
      attempts(Counters(this->registry,
                        "attempts",
                        "Requests sent to endpoints, by how it went.")),
      turns(Counters(this->registry, "turns", "Streams, by how they ended.")),
      cold_waits(Counters(this->registry,
                          "cold_waits",
                          "Calls delayed or refused at cold endpoints.")),
      caller_limits(Counters(this->registry,
                             "caller_limits",
                             "Callers refused or disconnected, by limit.")),
      exceptions(Counters(this->registry,
                          "exceptions",
                          "Unexpected exceptions, by what they ended.")),
      programs(Counters(this->registry,
                        "programs",
                        "First calls of programs while their team is short of "
                        "tokens or their service is full, by outcome.")),
      rate_recalls(Counters(this->registry,
                            "rate_recalls",
                            "Recalls of tokens from other instances.")),
      told_seconds(Seconds(this->registry,
                           "told",
                           "Time after which refused callers are told to "
                           "return.",
                           TellTimeBuckets())),
      before_send_seconds(
          Seconds(this->registry,
                  "before_send",
                  "From a read request to its first sending to an endpoint.",
                  ShortTimeBuckets())),
      first_event_seconds(
          Seconds(this->registry,
                  "first_event",
                  "From a read request to the first event sent to its caller.",
                  CallTimeBuckets())),
      append_seconds(Seconds(this->registry,
                             "append",
                             "From a slot's append to its acknowledgement.",
                             ShortTimeBuckets())),
      crossings(Counters(this->registry,
                         "zone_crossings",
                         "Calls sent to endpoints in other zones.")),
      zone_shares(prometheus::BuildGauge()
                      .Name("celerykeel_zone_share")
                      .Help("Share of a service's calls for another zone.")
                      .Register(this->registry)),
      lists(prometheus::BuildGauge()
                .Name("celerykeel_list")
                .Help("Reads of the store's lists of keys since the start, by "
                      "topic.")
                .Register(this->registry)),
      levels(prometheus::BuildGauge()
                 .Name("celerykeel_level")
                 .Help("State of the moment, by what it is of.")
                 .Register(this->registry)) {}

void Count(Family<Counter>& family,
           const std::string& label,
           std::string_view value) {
  family.Add({{label, std::string(value)}}).Increment();
}

void CountRefusal(NodeMetrics& metrics, int status, std::string_view reason) {
  metrics.refusals
      .Add(
          {{"status", std::to_string(status)}, {"reason", std::string(reason)}})
      .Increment();
}

void Observe(Histogram& histogram, Duration duration) {
  histogram.Observe(std::chrono::duration<double>(duration).count());
}

std::string RenderMetrics(Node& node) {
  NodeMetrics& metrics = node.metrics;
  const Duration now = Now();
  SetGauge(metrics, "ready", IsReady(node) ? 1 : 0);
  SetGauge(metrics, "store_reached", node.store.unavailable ? 0 : 1);
  SetGauge(metrics, "store_reached_over_peers", IsStoreAvailable(node) ? 1 : 0);
  SetGauge(
      metrics, "store_outage_seconds_left",
      std::chrono::duration<double>(ExpectedOutageLeft(node.store.outages, now))
          .count());
  SetGauge(metrics, "store_calls_relayed",
           static_cast<double>(node.store.relayed));
  SetGauge(metrics, "configurations_copied",
           static_cast<double>(node.deployment_feed.copied));
  SetGauge(metrics, "slots_handed_over",
           static_cast<double>(node.slots.handed_over));
  SetGauge(metrics, "slot_logs_being_read",
           static_cast<double>(node.slots.replays.waiting.size() +
                               node.slots.replays.reads.under_way.size()));
  SetGauge(metrics, "slot_log_bytes_read",
           static_cast<double>(node.slots.replays.bytes_read));
  SetGauge(metrics, "slot_log_reads_failed",
           static_cast<double>(node.slots.replays.failed_reads));
  SetGauge(metrics, "turns_abandoned",
           static_cast<double>(node.slots.abandoned_turns));
  SetGauge(metrics, "slots_with_cover",
           static_cast<double>(CountSlotsWithCover(node)));
  SetGauge(metrics, "store_calls", static_cast<double>(node.store.calls));
  SetGauge(metrics, "configuration_version",
           node.deployment == nullptr
               ? 0
               : static_cast<double>(node.deployment->version));
  SetGauge(metrics, "members_in_touch",
           static_cast<double>(CountMembersWithHeartbeat(node, now)));
  SetGauge(metrics, "slots_held", static_cast<double>(node.slots.held.size()));
  SetGauge(metrics, "slots_without_holder",
           static_cast<double>(CountSlotsWithoutHolder(node)));
  SetGauge(metrics, "endpoints",
           static_cast<double>(node.endpoints.endpoints.size()));
  SetGauge(metrics, "endpoints_reached", node.endpoint_path.is_cut_off ? 0 : 1);
  SetGauge(metrics, "endpoints_limited",
           static_cast<double>(CountLimitedEndpoints(node)));
  SetGauge(metrics, "endpoints_cold",
           static_cast<double>(CountColdEndpoints(node, now)));
  SetGauge(metrics, "zones_evacuated",
           static_cast<double>(CountEvacuatedZones(node)));
  SetGauge(metrics, "endpoints_slow",
           static_cast<double>(CountSlowEndpoints(node)));
  SetGauge(metrics, "entries_skipped",
           static_cast<double>(node.entries_skipped));
  SetGauge(metrics, "caller_connections",
           static_cast<double>(node.callers.size()));
  SetGauge(metrics, "request_memory_bytes",
           static_cast<double>(node.request_memory.shares.UsedBytes()));
  SetGauge(metrics, "calls_under_way",
           static_cast<double>(node.calls_under_way));
  SetGauge(metrics, "endpoint_connections_opened",
           static_cast<double>(node.endpoint_pool.opened));
  SetGauge(metrics, "log_lines_sampled_out",
           static_cast<double>(node.log.sampled_out_total));
  SetGauge(metrics, "log_lines_dropped",
           static_cast<double>(node.log.dropped_total));
  SetStartGauges(node);
  SetListGauges(node, now);
  return prometheus::TextSerializer().Serialize(metrics.registry.Collect());
}

}  // namespace celerykeel
