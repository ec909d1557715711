#include "celerykeel/gate/gate_metrics.h"

#include <string>  // for std::string

namespace celerykeel {

namespace {

const prometheus::Histogram::BucketBoundaries kSeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
    0.35,  0.5,   1,     2,    5,    10,   30,  60};

prometheus::Gauge& MakeGauge(prometheus::Registry& registry,
                             const std::string& name,
                             const std::string& help) {
  return prometheus::BuildGauge()
      .Name("celerykeel_gate_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

GateMetrics::GateMetrics(prometheus::Registry& registry)
    : answers(prometheus::BuildCounter()
                  .Name("celerykeel_gate_answers_total")
                  .Help("Answers by outcome: answered, or the refusal")
                  .Register(registry)),
      seconds(prometheus::BuildHistogram()
                  .Name("celerykeel_gate_answer_seconds")
                  .Help("From a request to its answer or first event")
                  .Register(registry)
                  .Add({}, kSeconds)),
      streams(MakeGauge(registry, "open_streams", "Streams being answered")),
      connections(
          MakeGauge(registry, "open_connections", "Connections of callers")),
      refused_connections(MakeGauge(registry,
                                    "refused_connections",
                                    "Connections beyond the threads, so far")),
      rate_admitted(MakeGauge(registry,
                              "rate_admitted",
                              "Requests within their rate, so far")),
      rate_refused(MakeGauge(registry,
                             "rate_refused",
                             "Requests beyond their rate, so far")),
      rate_refused_silent(MakeGauge(
          registry,
          "rate_refused_silent",
          "Requests refused because a rate's home was silent, so far")),
      rate_notes(MakeGauge(registry,
                           "rate_notes_sent",
                           "Messages to other gates about rates, so far")),
      rate_notes_dropped(
          MakeGauge(registry,
                    "rate_notes_dropped",
                    "Undecodable or foreign messages about rates, so far")),
      rate_shares_at_home(MakeGauge(registry,
                                    "rate_shares_at_home",
                                    "Rate shares that this gate lends from")),
      rate_tokens_borrowed(MakeGauge(registry,
                                     "rate_tokens_borrowed",
                                     "Tokens borrowed and not used")) {}

void GateMetrics::NoteAnswer(std::string_view outcome, Duration took) {
  this->answers.Add({{"outcome", std::string(outcome)}}).Increment();
  this->seconds.Observe(std::chrono::duration<double>(took).count());
}

void GateMetrics::NoteStream(bool opened) {
  this->streams.Increment(opened ? 1 : -1);
}

void GateMetrics::Update(const RateService::Counters& rates,
                         size_t open_connections,
                         size_t refused) {
  this->connections.Set(static_cast<double>(open_connections));
  this->refused_connections.Set(static_cast<double>(refused));
  this->rate_admitted.Set(static_cast<double>(rates.admitted));
  this->rate_refused.Set(static_cast<double>(rates.refused));
  this->rate_refused_silent.Set(static_cast<double>(rates.refused_silent));
  this->rate_notes.Set(static_cast<double>(rates.notes_sent));
  this->rate_notes_dropped.Set(static_cast<double>(rates.notes_dropped));
  this->rate_shares_at_home.Set(static_cast<double>(rates.shares_at_home));
  this->rate_tokens_borrowed.Set(rates.tokens_borrowed);
}

}  // namespace celerykeel
