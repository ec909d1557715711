#pragma once

#include <array>        // for std::array
#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <tuple>        // for std::tie
#include <vector>       // for std::vector

#include "celerykeel/core/endpoint_table.h"  // for EndpointTable
#include "celerykeel/core/time.h"            // for Duration

namespace celerykeel {

/// @brief Sums over the calls to one endpoint. All of them halve every
/// `kSpeedHalfLife`, so that an assessment expires within a few seconds.
struct SpeedSamples {
  double calls = 0;       // answered, failed or overdue
  double failures = 0;    // of these calls
  double timed = 0;       // calls whose time was compared with its route
  double log_ratios = 0;  // sum of ln(time / median time of the route)
  Duration at{};          // time to which the sums have decayed
};

inline constexpr Duration kSpeedHalfLife = std::chrono::milliseconds(1500);

/// @brief Times of the last calls of a route to any endpoint of a service.
struct RouteTimes {
  static constexpr size_t kKept = 32;
  std::array<float, kKept> seconds{};
  size_t count = 0;   // of all calls so far
  double median = 0;  // seconds; 0: not known yet
  Duration used_at{};
};

/// @brief Identifies calls whose times are comparable.
struct RouteKey {
  std::string service;
  std::string route;
  // The endpoint has read the subject's prompt before, or should have.
  bool is_preferred = false;

  bool operator<(const RouteKey& other) const {
    return std::tie(this->service, this->route, this->is_preferred) <
           std::tie(other.service, other.route, other.is_preferred);
  }
};

/// @brief A call that has no answer yet.
struct TimedCall {
  RouteKey key;
  std::string endpoint;
  double queueing = 1;  // expected factor of the endpoint's load on the time
  Duration sent_at{};
};

/// @brief How fast and how reliable endpoints are, from the calls of this
/// instance and from what its peers report.
struct EndpointSpeeds {
  std::map<RouteKey, RouteTimes> routes;
  std::map<std::string, SpeedSamples, std::less<>> own;  // by endpoint
  // By instance and endpoint.
  std::map<std::string, std::map<std::string, SpeedSamples>> peers;
  std::map<uint64_t, TimedCall> unanswered;
  uint64_t last_call = 0;
  Duration ticked_at{};
};

/// @brief Called at least every `kMaxTick`, which shows that this process runs.
/// After a longer pause, times of calls say nothing about their endpoints.
void TickSpeeds(EndpointSpeeds& speeds, Duration now);

inline constexpr Duration kMaxTick = std::chrono::milliseconds(500);

/// @brief Records that a call is being sent.
/// @return its number for the functions below.
uint64_t BeginTimedCall(EndpointSpeeds& speeds,
                        RouteKey key,
                        const EndpointStatus& endpoint,
                        Duration now);

/// @brief Restarts the time of a call, which waited before it was sent.
void RestartTimedCall(EndpointSpeeds& speeds, uint64_t call, Duration now);

/// @brief Records the first byte or event of an answer.
void RecordAnswered(EndpointSpeeds& speeds, uint64_t call, Duration now);

/// @brief Records an error, silence or a broken answer.
void RecordFailed(EndpointSpeeds& speeds, uint64_t call, Duration now);

/// @brief Records that an answer broke after it had begun.
void RecordBroken(EndpointSpeeds& speeds,
                  const std::string& endpoint,
                  Duration now);

/// @brief Ends a call that was given up for another reason. Its time counts if
/// it exceeds the usual one.
void AbandonTimedCall(EndpointSpeeds& speeds, uint64_t call, Duration now);

/// @brief One endpoint's samples in a report to the peers.
struct SpeedReport {
  std::string endpoint;
  SpeedSamples samples;
};

/// @brief Max endpoints in a report. The amount of information exchanged does
/// not grow with the number of endpoints.
inline constexpr size_t kMaxSpeedReports = 16;

/// @brief An instance receives about this many endpoints in the reports of all
/// others. With 83 instances, 16 in each report took a fifth of the processor
/// time.
inline constexpr size_t kMaxSpeedReportsReceived = 320;
inline constexpr size_t kMinSpeedReports = 2;

/// @brief Returns this instance's samples of endpoints that deviate from their
/// peers here, or that a peer reports. The larger the fleet, the fewer.
/// @param instances live instances, this one included.
std::vector<SpeedReport> ReportSpeeds(const EndpointSpeeds& speeds,
                                      size_t instances,
                                      Duration now);

/// @brief Replaces what a peer reported. Reports are cut at
/// `kMaxSpeedReports`; numbers out of range are ignored.
void RecordSpeedReports(EndpointSpeeds& speeds,
                        const std::string& peer,
                        const std::vector<SpeedReport>& reports,
                        Duration now);

/// @brief Returns the samples of this instance, with calls that are overdue,
/// and of its peers, by endpoint.
std::map<std::string, SpeedSamples, std::less<>> CombinedSamples(
    const EndpointSpeeds& speeds,
    Duration now);

/// @brief Forgets samples that no longer count, and routes out of use.
void ForgetOldSamples(EndpointSpeeds& speeds, Duration now);

}  // namespace celerykeel
