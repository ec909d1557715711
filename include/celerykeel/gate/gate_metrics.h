#pragma once

#include <memory>       // for std::shared_ptr
#include <string_view>  // for std::string_view
#include <utility>      // for std::exchange

#include <prometheus/counter.h>    // for prometheus::Counter
#include <prometheus/family.h>     // for prometheus::Family
#include <prometheus/gauge.h>      // for prometheus::Gauge
#include <prometheus/histogram.h>  // for prometheus::Histogram
#include <prometheus/registry.h>   // for prometheus::Registry

#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/gate/rate_service.h"  // for RateService

namespace celerykeel {

/// @brief What a gate tells operators of itself.
class GateMetrics {
 public:
  explicit GateMetrics(prometheus::Registry& registry);

  /// @brief Counts an answer: "answered" or the name of its refusal, and the
  /// time from the read request to the answer, or to a stream's first event.
  void NoteAnswer(std::string_view outcome, Duration took);

  void NoteStream(bool opened);

  /// @brief Takes over what is counted elsewhere.
  void Update(const RateService::Counters& rates,
              size_t connections,
              size_t refused_connections);

 private:
  prometheus::Family<prometheus::Counter>& answers;
  prometheus::Histogram& seconds;
  prometheus::Gauge& streams;
  prometheus::Gauge& connections;
  prometheus::Gauge& refused_connections;
  prometheus::Gauge& rate_admitted;
  prometheus::Gauge& rate_refused;
  prometheus::Gauge& rate_refused_silent;
  prometheus::Gauge& rate_notes;
  prometheus::Gauge& rate_notes_dropped;
  prometheus::Gauge& rate_shares_at_home;
  prometheus::Gauge& rate_tokens_borrowed;
};

/// @brief Counts a stream as open for as long as it lives.
class OpenStreamCount {
 public:
  OpenStreamCount() = default;
  explicit OpenStreamCount(GateMetrics* given_metrics)
      : metrics(given_metrics) {
    this->Note(true);
  }
  OpenStreamCount(OpenStreamCount&& other) noexcept
      : metrics(std::exchange(other.metrics, nullptr)) {}
  OpenStreamCount& operator=(OpenStreamCount&&) = delete;
  ~OpenStreamCount() { this->Note(false); }

 private:
  void Note(bool opened) {
    if (this->metrics != nullptr) {
      this->metrics->NoteStream(opened);
    }
  }

  GateMetrics* metrics = nullptr;
};

}  // namespace celerykeel
