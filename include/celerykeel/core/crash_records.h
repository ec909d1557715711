#pragma once

#include <cstddef>  // for size_t
#include <map>      // for std::map
#include <set>      // for std::set
#include <string>   // for std::string
#include <tuple>    // for std::tie
#include <vector>   // for std::vector

#include "celerykeel/core/request_identity.h"  // for RequestIdentity
#include "celerykeel/core/time.h"              // for Duration, WallMillis

namespace celerykeel {

/// @brief One start of an endpoint.
struct EndpointStart {
  std::string endpoint;  // id
  WallMillis started_at = 0;

  friend bool operator==(const EndpointStart&, const EndpointStart&) = default;
  friend bool operator<(const EndpointStart& a, const EndpointStart& b) {
    return std::tie(a.endpoint, a.started_at) <
           std::tie(b.endpoint, b.started_at);
  }
};

/// @brief A request that was unfinished at an endpoint when it crashed.
struct CrashedRun {
  RequestIdentity request;
  EndpointStart endpoint;
  Duration crashed_at{};
  // It began to run less than kBeginTime before the crash, or was sent then.
  bool began_recently = false;
  // Other requests that were unfinished there may be missing in the reports.
  bool others_missing = false;
  // When the request last crashed an endpoint or was refused as deadly.
  Duration seen_at{};
};

/// @brief The crashes of endpoints at which requests were unfinished, as far as
/// the request may have caused the crash. A request that completes has caused
/// none, so it is removed, and the other requests of its crashes remain as the
/// possible causes.
///
/// Copies of a deadly request may differ in length. So all requests of a group
/// count as copies of one, until one of them completes: then the group has
/// sound requests too, and each request counts by itself.
struct CrashRecords {
  struct Crash {
    Duration at{};
    bool others_missing = false;
    // Unfinished there, and whether they began recently; not empty.
    std::map<RequestIdentity, bool> suspects;
  };
  struct Request {
    std::set<EndpointStart> crashes;  // keys of CrashRecords::crashes
    Duration seen_at{};               // see CrashedRun
  };

  struct Group {
    std::set<RequestIdentity> suspects;  // not empty
    bool is_mixed = false;               // a request of it has completed
  };

  std::map<EndpointStart, Crash> crashes;
  std::map<RequestIdentity, Request> requests;
  std::map<RequestIdentity, Group> groups;  // of `requests`
  // Groups of which a request completed of late, whether a suspect or not.
  std::map<RequestIdentity, Duration> sound_groups;
  // Suspects that completed recently, to ignore reports of earlier crashes.
  std::map<RequestIdentity, Duration> completed_at;
};

/// @brief How likely a request crashes the endpoints that run it.
enum class Suspicion {
  kNone,
  kSuspect,          // may have crashed an endpoint; should run alone
  kRepeatedSuspect,  // may have crashed several; must run alone
  kHeld,             // likely crashed several; must not run before a time
  kDeadly,           // must not run
};

/// @brief Records a report.
/// @return true if it is news: the peers do not know it from this instance yet.
bool RecordCrashedRun(CrashRecords& records,
                      const CrashedRun& run,
                      Duration now);

/// @brief Records that an endpoint ran a request to its end at `completed_at`,
/// which clears the request of earlier crashes, and shows that its group has
/// sound requests.
/// @return true if the request was a suspect, or if this was not known of its
/// group, which has suspects.
bool RecordCompletion(CrashRecords& records,
                      const RequestIdentity& request,
                      Duration completed_at);

/// @brief Records that a request was refused as deadly.
/// @return its copies, if the peers should be notified, for example by
/// CrashedRunsOf.
std::vector<RequestIdentity> RecordDeadlyArrival(CrashRecords& records,
                                                 const RequestIdentity& request,
                                                 Duration now);

/// @brief True if requests of the group that have crashed nothing are known to
/// be sound.
bool IsMixed(const CrashRecords& records, const RequestIdentity& request);

/// @brief Returns the identity that all copies of a request share: its own, or
/// that of its group unless that is mixed.
RequestIdentity IdentityOfCopies(const CrashRecords& records,
                                 const RequestIdentity& request);

/// @brief Returns the number of crashes at which copies of a request were
/// unfinished.
size_t CountCrashes(const CrashRecords& records,
                    const RequestIdentity& request);

/// @brief True if requests that are no copies of this one were unfinished at
/// the crash.
bool HasOtherSuspects(const CrashRecords& records,
                      const EndpointStart& crash,
                      const RequestIdentity& request);

Suspicion SuspicionOf(const CrashRecords& records,
                      const RequestIdentity& request,
                      Duration now);

/// @brief True if copies of a request run one at a time, on an endpoint of
/// their own.
/// @param endpoints number of endpoints of the request's service.
bool RunsApart(Suspicion suspicion, size_t endpoints);

/// @brief Returns the time until a request that is held may run, or until the
/// records of a deadly one expire.
Duration TimeUntilAllowed(const CrashRecords& records,
                          const RequestIdentity& request,
                          Duration now);

std::vector<CrashedRun> CrashedRunsOf(const CrashRecords& records,
                                      const RequestIdentity& request);

/// @brief Drops requests not seen for kCrashRecordLifetime.
void DropExpiredCrashes(CrashRecords& records, Duration now);

/// @brief A request that crashes an endpoint mostly does so within this time
/// after it began to run there.
inline constexpr Duration kBeginTime = std::chrono::milliseconds(200);

inline constexpr Duration kCrashRecordLifetime = std::chrono::minutes(10);

/// @brief Time for which the completions of a group's requests are remembered
/// before it has suspects.
inline constexpr Duration kSoundGroupLifetime = std::chrono::minutes(1);
inline constexpr size_t kMaxSoundGroups = 4096;
/// @brief Bounds of CrashRecords. A team that exceeds its bound replaces its
/// own requests only.
inline constexpr size_t kMaxSuspectsPerTeam = 128;
inline constexpr size_t kMaxSuspects = 1024;
inline constexpr size_t kMaxCrashesPerRequest = 8;

}  // namespace celerykeel
