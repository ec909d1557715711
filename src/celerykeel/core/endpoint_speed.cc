#include "celerykeel/core/endpoint_speed.h"

#include <algorithm>    // for std::nth_element, std::sort, std::clamp
#include <cmath>        // for std::exp, std::log, std::exp2
#include <set>          // for std::set
#include <string_view>  // for std::string_view
#include <utility>      // for std::move

namespace celerykeel {

namespace {

// Calls of a route before their median counts.
constexpr size_t kMinRouteCalls = 5;
constexpr size_t kMaxRoutes = 1024;
constexpr Duration kForgetRoutesAfter = std::chrono::seconds(60);
// An unanswered call counts as slow from this multiple of the median on; until
// then it may be an ordinary one.
constexpr double kOverdueRatio = 2.5;
// Expected time of a call as a multiple of the usual one, for each unit of its
// endpoint's load above 1 / this. More than the load alone, as the load is
// known late: a queue must not look like a slow endpoint.
constexpr double kQueueingPerLoad = 1.5;
// Bounds the weight of a single call: one that hangs does not outweigh many.
constexpr double kMaxLogRatio = 2.8;  // x 16
// Samples under this weight say nothing; they are forgotten.
constexpr double kMinSamples = 0.05;
// A report begins with a sum of log ratios of this size: one call that took 2.7
// times as long as usual, or several with smaller deviations.
constexpr double kMinReportedSum = 1;
constexpr double kMinReportedMean = 0.22;  // of log ratios: 1.25 times
constexpr double kMaxReported = 1e6;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

SpeedSamples DecayedTo(SpeedSamples samples, Duration now) {
  const double rest =
      std::exp2(-Seconds(std::max(now - samples.at, Duration::zero())) /
                Seconds(kSpeedHalfLife));
  samples.calls *= rest;
  samples.failures *= rest;
  samples.timed *= rest;
  samples.log_ratios *= rest;
  samples.at = now;
  return samples;
}

void AddSamples(SpeedSamples& sum, const SpeedSamples& more) {
  sum.calls += more.calls;
  sum.failures += more.failures;
  sum.timed += more.timed;
  sum.log_ratios += more.log_ratios;
}

SpeedSamples& OwnSamples(EndpointSpeeds& speeds,
                         const std::string& endpoint,
                         Duration now) {
  SpeedSamples& samples = speeds.own[endpoint];
  samples = DecayedTo(samples, now);
  return samples;
}

bool IsPaused(const EndpointSpeeds& speeds, Duration now) {
  return now > speeds.ticked_at + kMaxTick;
}

// Returns the time of the call as a multiple of the usual one, without the
// expected part of its endpoint's load; 0: not known.
double RatioOf(const EndpointSpeeds& speeds,
               const TimedCall& call,
               Duration now) {
  const auto times = speeds.routes.find(call.key);
  return times == speeds.routes.end() || times->second.median <= 0 ||
                 IsPaused(speeds, now)
             ? 0
             : Seconds(now - call.sent_at) /
                   (call.queueing * times->second.median);
}

void AddRatio(SpeedSamples& samples, double ratio) {
  samples.timed += 1;
  samples.log_ratios +=
      std::clamp(std::log(ratio), -kMaxLogRatio, kMaxLogRatio);
}

void RecordTime(EndpointSpeeds& speeds, const TimedCall& call, Duration now) {
  if (IsPaused(speeds, now) || (speeds.routes.size() >= kMaxRoutes &&
                                !speeds.routes.contains(call.key))) {
    return;
  }
  RouteTimes& times = speeds.routes[call.key];
  times.seconds[times.count % RouteTimes::kKept] =
      static_cast<float>(Seconds(now - call.sent_at) / call.queueing);
  ++times.count;
  times.used_at = now;
  if (times.count < kMinRouteCalls) {
    return;
  }
  std::array<float, RouteTimes::kKept> sorted = times.seconds;
  const auto known = static_cast<std::ptrdiff_t>(
      std::min<size_t>(times.count, RouteTimes::kKept));
  std::nth_element(sorted.begin(), sorted.begin() + known / 2,
                   sorted.begin() + known);
  times.median = sorted.at(static_cast<size_t>(known) / 2);
}

// Returns this instance's samples, with the calls that are overdue.
std::map<std::string, SpeedSamples, std::less<>> OwnWithOverdue(
    const EndpointSpeeds& speeds,
    Duration now) {
  std::map<std::string, SpeedSamples, std::less<>> all;
  for (const auto& [endpoint, samples] : speeds.own) {
    all[endpoint] = DecayedTo(samples, now);
  }
  for (const auto& [number, call] : speeds.unanswered) {
    if (const double ratio = RatioOf(speeds, call, now);
        ratio > kOverdueRatio) {
      SpeedSamples& samples = all[call.endpoint];
      samples.calls += 1;
      AddRatio(samples, ratio);
    }
  }
  return all;
}

bool Deviates(const SpeedSamples& samples) {
  return std::abs(samples.log_ratios) >=
             std::max(kMinReportedSum, kMinReportedMean * samples.timed) ||
         samples.failures >= 1;
}

TimedCall* FindCall(EndpointSpeeds& speeds, uint64_t call) {
  const auto found = speeds.unanswered.find(call);
  return found == speeds.unanswered.end() ? nullptr : &found->second;
}

}  // namespace

void TickSpeeds(EndpointSpeeds& speeds, Duration now) {
  if (IsPaused(speeds, now)) {
    for (auto& [number, call] : speeds.unanswered) {
      call.sent_at = now;
    }
  }
  speeds.ticked_at = now;
}

uint64_t BeginTimedCall(EndpointSpeeds& speeds,
                        RouteKey key,
                        const EndpointStatus& endpoint,
                        Duration now) {
  const uint64_t number = ++speeds.last_call;
  speeds.unanswered[number] = {
      .key = std::move(key),
      .endpoint = endpoint.entry.id,
      .queueing = std::max(kQueueingPerLoad * LoadOf(endpoint), 1.0),
      .sent_at = now};
  return number;
}

void RestartTimedCall(EndpointSpeeds& speeds, uint64_t call, Duration now) {
  if (TimedCall* timed = FindCall(speeds, call)) {
    timed->sent_at = now;
  }
}

void RecordAnswered(EndpointSpeeds& speeds, uint64_t call, Duration now) {
  if (const TimedCall* timed = FindCall(speeds, call)) {
    SpeedSamples& samples = OwnSamples(speeds, timed->endpoint, now);
    samples.calls += 1;
    if (const double ratio = RatioOf(speeds, *timed, now); ratio > 0) {
      AddRatio(samples, ratio);
    }
    RecordTime(speeds, *timed, now);
    speeds.unanswered.erase(call);
  }
}

void RecordFailed(EndpointSpeeds& speeds, uint64_t call, Duration now) {
  if (const TimedCall* timed = FindCall(speeds, call)) {
    SpeedSamples& samples = OwnSamples(speeds, timed->endpoint, now);
    samples.calls += 1;
    samples.failures += 1;
    speeds.unanswered.erase(call);
  }
}

void RecordBroken(EndpointSpeeds& speeds,
                  const std::string& endpoint,
                  Duration now) {
  SpeedSamples& samples = OwnSamples(speeds, endpoint, now);
  samples.failures += 1;
  samples.calls = std::max(samples.calls, samples.failures);
}

void AbandonTimedCall(EndpointSpeeds& speeds, uint64_t call, Duration now) {
  if (const TimedCall* timed = FindCall(speeds, call)) {
    if (const double ratio = RatioOf(speeds, *timed, now);
        ratio > kOverdueRatio) {
      SpeedSamples& samples = OwnSamples(speeds, timed->endpoint, now);
      samples.calls += 1;
      AddRatio(samples, ratio);
    }
    speeds.unanswered.erase(call);
  }
}

std::vector<SpeedReport> ReportSpeeds(const EndpointSpeeds& speeds,
                                      size_t instances,
                                      Duration now) {
  std::set<std::string_view> reported;
  for (const auto& [peer, samples] : speeds.peers) {
    for (const auto& [endpoint, theirs] : samples) {
      if (Deviates(DecayedTo(theirs, now))) {
        reported.insert(endpoint);
      }
    }
  }
  std::vector<SpeedReport> reports;
  for (const auto& [endpoint, samples] : OwnWithOverdue(speeds, now)) {
    if (samples.calls >= kMinSamples &&
        (reported.contains(endpoint) || Deviates(samples))) {
      reports.push_back({endpoint, samples});
    }
  }
  // The endpoints that deviate most come first.
  std::sort(reports.begin(), reports.end(), [](const auto& a, const auto& b) {
    return std::abs(a.samples.log_ratios) + a.samples.failures >
           std::abs(b.samples.log_ratios) + b.samples.failures;
  });
  const size_t most =
      std::clamp(kMaxSpeedReportsReceived / std::max<size_t>(instances, 1),
                 kMinSpeedReports, kMaxSpeedReports);
  if (reports.size() > most) {
    reports.resize(most);
  }
  return reports;
}

void RecordSpeedReports(EndpointSpeeds& speeds,
                        const std::string& peer,
                        const std::vector<SpeedReport>& reports,
                        Duration now) {
  std::map<std::string, SpeedSamples> known;
  for (const auto& [endpoint, samples] : reports) {
    // Comparisons with a number that is not one fail.
    const bool valid = samples.calls > 0 && samples.calls < kMaxReported &&
                       samples.failures >= 0 &&
                       samples.failures <= samples.calls &&
                       samples.timed >= 0 && samples.timed < kMaxReported &&
                       std::abs(samples.log_ratios) <=
                           kMaxLogRatio * samples.timed * (1 + 1e-6);
    if (valid && known.size() < kMaxSpeedReports) {
      known[endpoint] = samples;
      known[endpoint].at = now;
    }
  }
  if (known.empty()) {
    speeds.peers.erase(peer);
  } else {
    speeds.peers[peer] = std::move(known);
  }
}

void ForgetOldSamples(EndpointSpeeds& speeds, Duration now) {
  const auto is_old = [now](const auto& entry) {
    return DecayedTo(entry.second, now).calls < kMinSamples;
  };
  std::erase_if(speeds.own, is_old);
  for (auto& [peer, samples] : speeds.peers) {
    std::erase_if(samples, is_old);
  }
  std::erase_if(speeds.peers,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(speeds.routes, [now](const auto& entry) {
    return now > entry.second.used_at + kForgetRoutesAfter;
  });
}

std::map<std::string, SpeedSamples, std::less<>> CombinedSamples(
    const EndpointSpeeds& speeds,
    Duration now) {
  auto samples = OwnWithOverdue(speeds, now);
  for (const auto& [peer, reported] : speeds.peers) {
    for (const auto& [endpoint, theirs] : reported) {
      AddSamples(samples[endpoint], DecayedTo(theirs, now));
    }
  }
  return samples;
}

}  // namespace celerykeel
