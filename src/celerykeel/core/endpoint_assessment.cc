#include "celerykeel/core/endpoint_assessment.h"

#include <algorithm>   // for std::nth_element, std::sort, std::clamp
#include <cmath>       // for std::exp, std::nextafter
#include <functional>  // for std::greater
#include <map>         // for std::map
#include <utility>     // for std::pair
#include <vector>      // for std::vector

#include "celerykeel/core/rendezvous.h"  // for RendezvousWeight

namespace celerykeel {

namespace {

// Weight of the assumption that an endpoint is as fast as its peers.
constexpr double kPriorCalls = 2;
// Deviations within this factor, in both directions, are noise.
constexpr double kMinDeviation = 1.25;
// Share of failed calls from which an endpoint deviates, and how strongly the
// share counts. At a share of 0.4 a call costs 0.7 repeats on average, and each
// call that can't be repeated is lost with this probability.
constexpr double kMinFailureShare = 0.1;
constexpr double kFailureWeight = 10;
constexpr double kMinFailures = 1.5;
constexpr double kMaxFactor = 16;
constexpr double kMinFactor = 0.5;
// At most one in this many endpoints of a service counts as slow, as the others
// must be able to take its calls. At least one may.
constexpr size_t kSlowDivisor = 3;
// Part of a change of a factor under kSlowFactor that one assessment makes. The
// time of a call has a part that comes from the endpoint's load, so shares that
// follow it at once swing.
constexpr double kMildStep = 0.1;
// Endpoints whose median is used as the centre of a service.
constexpr size_t kMinCentred = 3;
constexpr double kMinCentredCalls = 3;
// All instances together send about four probes a second to a slow endpoint:
// enough to see its recovery within a second.
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
double MeanLogRatio(const SpeedSamples& samples) {
  return samples.timed <= 0 ? 0 : samples.log_ratios / samples.timed;
}

double FailureShare(const SpeedSamples& samples) {
  return samples.failures / (samples.calls + kPriorCalls);
}

// What is usual for the endpoints of a service.
struct Centre {
  double log_ratio = 0;
  double failure_share = 0;
};

double FactorOf(const SpeedSamples& samples, const Centre& centre) {
  double factor = std::exp((MeanLogRatio(samples) - centre.log_ratio) *
                           samples.timed / (samples.timed + kPriorCalls));
  if (factor < kMinDeviation && factor > 1 / kMinDeviation) {
    factor = 1;
  }
  const double share = FailureShare(samples) - centre.failure_share;
  if (samples.failures >= kMinFailures && share >= kMinFailureShare) {
    factor *= 1 + kFailureWeight * share;
  }
  return std::clamp(factor, kMinFactor, kMaxFactor);
}

// Endpoints of one service, with the samples of all instances.
using ServiceSamples = std::vector<std::pair<EndpointStatus*, SpeedSamples>>;

double Quantile(std::vector<double>& values, size_t divisor) {
  const auto at =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / divisor);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

// Returns the median of the endpoints' mean log ratios, and the lower quartile
// of their failures. Samples of all endpoints may be skewed in the same way:
// all became slower while the routes' medians still are of the time before, or
// some callers send requests that fail everywhere.
Centre CentreOf(const ServiceSamples& service) {
  std::vector<double> means;
  std::vector<double> failures;
  for (const auto& [endpoint, samples] : service) {
    if (samples.timed >= kMinCentredCalls) {
      means.push_back(MeanLogRatio(samples));
    }
    if (samples.calls >= kMinCentredCalls) {
      failures.push_back(FailureShare(samples));
    }
  }
  constexpr size_t kHalf = 2;
  constexpr size_t kQuarter = 4;
  return {means.size() < kMinCentred ? 0 : Quantile(means, kHalf),
          failures.size() < kMinCentred ? 0 : Quantile(failures, kQuarter)};
}

// Times between the probes of this instance differ, so that instances which
// learned of a slow endpoint at once don't probe it together.
void PlanProbes(EndpointStatus& endpoint,
                std::string_view self,
                size_t instances,
                bool was_slow,
                Duration now) {
  if (!IsSlow(endpoint)) {
    endpoint.probe_at = {};
    return;
  }
  const double spread =
      FractionOfHash(RendezvousWeight(self, endpoint.entry.id));
  const Duration interval =
      kProbeInterval * std::max<int64_t>(static_cast<int64_t>(instances), 1);
  endpoint.probe_interval =
      std::chrono::duration_cast<Duration>(interval * (0.5 + spread));
  if (!was_slow) {
    endpoint.probe_at =
        now + std::chrono::duration_cast<Duration>(interval * spread);
  }
}

void AssessService(ServiceSamples& service,
                   std::string_view self,
                   size_t instances,
                   Duration now) {
  const Centre centre = CentreOf(service);
  std::vector<double> slow;
  for (const auto& [endpoint, samples] : service) {
    if (const double factor = FactorOf(samples, centre);
        factor >= kSlowFactor) {
      slow.push_back(factor);
    }
  }
  const size_t most = std::max<size_t>(service.size() / kSlowDivisor, 1);
  double least_slow = kSlowFactor;
  if (slow.size() > most) {
    std::sort(slow.begin(), slow.end(), std::greater<>());
    least_slow = slow[most - 1];
  }
  size_t counted = 0;
  for (const auto& [endpoint, samples] : service) {
    const bool was_slow = IsSlow(*endpoint);
    double factor = FactorOf(samples, centre);
    if (factor >= kSlowFactor && (factor < least_slow || ++counted > most)) {
      factor = std::nextafter(kSlowFactor, 0);
    }
    endpoint->speed_factor =
        was_slow || factor >= kSlowFactor
            ? factor
            : endpoint->speed_factor +
                  kMildStep * (factor - endpoint->speed_factor);
    PlanProbes(*endpoint, self, instances, was_slow, now);
  }
}

}  // namespace

void AssessSpeeds(EndpointSpeeds& speeds,
                  EndpointTable& table,
                  std::string_view self,
                  size_t instances,
                  Duration now) {
  ForgetOldSamples(speeds, now);
  auto samples = CombinedSamples(speeds, now);
  std::map<std::string_view, ServiceSamples> services;
  for (auto& [id, endpoint] : table.endpoints) {
    services[endpoint.entry.service].emplace_back(&endpoint, samples[id]);
  }
  for (auto& [name, service] : services) {
    AssessService(service, self, instances, now);
  }
}

}  // namespace celerykeel
