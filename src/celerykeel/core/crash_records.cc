#include "celerykeel/core/crash_records.h"

#include <algorithm>  // for std::count_if, std::max_element
#include <tuple>      // for std::tuple

namespace celerykeel {

namespace {

using Requests = std::map<RequestIdentity, CrashRecords::Request>;

// Within this time after a crash all connected instances have reported which
// requests were unfinished there.
constexpr Duration kReportTime = std::chrono::milliseconds(250);
constexpr Duration kCompletionLifetime = std::chrono::seconds(30);
// A request is deadly after this many crashes, if it is the only possible cause
// of kMinProvenCrashes of them. Endpoints also crash for other reasons, so one
// such crash is not enough.
constexpr size_t kMinCrashes = 3;
constexpr size_t kMinProvenCrashes = 2;
// A request that is the likely cause of its second crash, or has been at more,
// may run again after this time, which doubles with each further crash. Callers
// of a deadly request have mostly given up by then.
constexpr Duration kHoldTime = std::chrono::seconds(3);
constexpr size_t kMaxSmallService = 6;  // endpoints
// Fraction of the lifetime after which an arrival is worth a message.
constexpr int kRenewalDivisor = 4;

bool IsProvenCause(const CrashRecords::Crash& crash, Duration now) {
  return crash.suspects.size() == 1 && !crash.others_missing &&
         now >= crash.at + kReportTime;
}

void RemoveSuspect(CrashRecords& records,
                   const EndpointStart& endpoint,
                   const RequestIdentity& request,
                   bool is_cleared) {
  const auto found = records.crashes.find(endpoint);
  if (found == records.crashes.end()) {
    return;
  }
  found->second.suspects.erase(request);
  found->second.others_missing |= !is_cleared;
  if (found->second.suspects.empty()) {
    records.crashes.erase(found);
  }
}

bool IsOlder(const CrashRecords& records,
             const EndpointStart& a,
             const EndpointStart& b) {
  return records.crashes.at(a).at < records.crashes.at(b).at;
}

void RemoveOldestCrash(CrashRecords& records,
                       const RequestIdentity& identity,
                       CrashRecords::Request& request) {
  const auto oldest = request.crashes.extract(
      std::min_element(request.crashes.begin(), request.crashes.end(),
                       [&records](const auto& a, const auto& b) {
                         return IsOlder(records, a, b);
                       }));
  RemoveSuspect(records, oldest.value(), identity, false);
}

void RemoveRequest(CrashRecords& records, Requests::iterator request) {
  for (const EndpointStart& endpoint : request->second.crashes) {
    RemoveSuspect(records, endpoint, request->first, false);
  }
  records.requests.erase(request);
}

// Removes the team's request with the fewest crashes; the oldest of several.
void RemoveLeastSuspicious(CrashRecords& records, const std::string& team) {
  auto least = records.requests.end();
  std::tuple<size_t, Duration> lowest;
  for (auto at = records.requests.begin(); at != records.requests.end(); ++at) {
    const std::tuple<size_t, Duration> rank{at->second.crashes.size(),
                                            at->second.seen_at};
    if (at->first.team == team &&
        (least == records.requests.end() || rank < lowest)) {
      least = at;
      lowest = rank;
    }
  }
  if (least != records.requests.end()) {
    RemoveRequest(records, least);
  }
}

std::map<std::string, size_t> SuspectsByTeam(const CrashRecords& records) {
  std::map<std::string, size_t> counts;
  for (const auto& [request, record] : records.requests) {
    ++counts[request.team];
  }
  return counts;
}

void MakeRoomFor(CrashRecords& records, const std::string& team) {
  const std::map<std::string, size_t> counts = SuspectsByTeam(records);
  const auto own = counts.find(team);
  if (own != counts.end() && own->second >= kMaxSuspectsPerTeam) {
    RemoveLeastSuspicious(records, team);
  } else if (records.requests.size() >= kMaxSuspects) {
    const auto largest = std::max_element(
        counts.begin(), counts.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    RemoveLeastSuspicious(records, largest->first);
  }
}

// True if no other suspect began shortly before the crash.
bool IsLikelyCause(const CrashRecords::Crash& crash,
                   const RequestIdentity& request) {
  return !crash.others_missing && crash.suspects.at(request) &&
         std::count_if(crash.suspects.begin(), crash.suspects.end(),
                       [](const auto& entry) { return entry.second; }) == 1;
}

// Returns until when the request must not run.
Duration HeldUntil(const CrashRecords& records,
                   const Requests::value_type& request) {
  const auto& [identity, record] = request;
  const size_t count = record.crashes.size();
  if (count < 2) {
    return {};
  }
  const CrashRecords::Crash& newest = records.crashes.at(
      *std::max_element(record.crashes.begin(), record.crashes.end(),
                        [&records](const auto& a, const auto& b) {
                          return IsOlder(records, a, b);
                        }));
  if (count < kMinCrashes) {
    return IsLikelyCause(newest, identity) ? newest.at + kHoldTime : Duration{};
  }
  return newest.at + kHoldTime * (1 << (count - kMinCrashes));
}

}  // namespace

bool RecordCrashedRun(CrashRecords& records,
                      const CrashedRun& run,
                      Duration now) {
  if (const auto completed = records.completed_at.find(run.request);
      completed != records.completed_at.end() &&
      run.crashed_at <= completed->second) {
    return false;
  }
  if (run.seen_at + kCrashRecordLifetime <= now) {
    return false;
  }
  if (!records.requests.contains(run.request)) {
    MakeRoomFor(records, run.request.team);
  }
  CrashRecords::Request& request = records.requests[run.request];
  const bool is_renewed =
      run.seen_at > request.seen_at + kCrashRecordLifetime / kRenewalDivisor;
  request.seen_at = std::max(request.seen_at, run.seen_at);
  const bool is_known = request.crashes.contains(run.endpoint);
  if (!is_known && request.crashes.size() >= kMaxCrashesPerRequest) {
    RemoveOldestCrash(records, run.request, request);
  }
  request.crashes.insert(run.endpoint);
  const auto [found, is_new_crash] = records.crashes.try_emplace(run.endpoint);
  CrashRecords::Crash& crash = found->second;
  crash.at = std::max(crash.at, run.crashed_at);
  // One instance that knows all suspects is enough.
  crash.others_missing =
      run.others_missing && (is_new_crash || crash.others_missing);
  crash.suspects[run.request] |= run.began_recently;
  return !is_known || is_renewed;
}

bool RecordCompletion(CrashRecords& records,
                      const RequestIdentity& request,
                      Duration completed_at) {
  const auto found = records.requests.find(request);
  if (found == records.requests.end()) {
    return false;
  }
  std::erase_if(found->second.crashes, [&](const EndpointStart& endpoint) {
    const auto crash = records.crashes.find(endpoint);
    if (crash != records.crashes.end() && crash->second.at > completed_at) {
      return false;
    }
    RemoveSuspect(records, endpoint, request, true);
    return true;
  });
  if (found->second.crashes.empty()) {
    records.requests.erase(found);
  }
  // Without an entry, a late report makes the request a suspect again until it
  // completes once more.
  if (records.completed_at.size() < kMaxSuspects) {
    Duration& known = records.completed_at[request];
    known = std::max(known, completed_at);
  }
  return true;
}

bool RecordDeadlyArrival(CrashRecords& records,
                         const RequestIdentity& request,
                         Duration now) {
  const auto found = records.requests.find(request);
  if (found == records.requests.end() ||
      now < found->second.seen_at + kCrashRecordLifetime / kRenewalDivisor) {
    return false;
  }
  found->second.seen_at = now;
  return true;
}

Suspicion SuspicionOf(const CrashRecords& records,
                      const RequestIdentity& request,
                      Duration now) {
  const auto found = records.requests.find(request);
  if (found == records.requests.end()) {
    return Suspicion::kNone;
  }
  const std::set<EndpointStart>& crashes = found->second.crashes;
  size_t proven = 0;
  size_t recent = 0;
  for (const EndpointStart& endpoint : crashes) {
    const CrashRecords::Crash& crash = records.crashes.at(endpoint);
    proven += IsProvenCause(crash, now) ? 1 : 0;
    recent += crash.suspects.at(request) ? 1 : 0;
  }
  if (crashes.size() >= kMinCrashes && proven >= kMinProvenCrashes) {
    return Suspicion::kDeadly;
  }
  if (HeldUntil(records, *found) > now) {
    return Suspicion::kHeld;
  }
  if (recent > 1 || crashes.size() > 2) {
    return Suspicion::kRepeatedSuspect;
  }
  return recent > 0 || crashes.size() > 1 ? Suspicion::kSuspect
                                          : Suspicion::kNone;
}

// One crash proves little: most requests that had just begun there are sound,
// and running apart costs them time. Several copies at once could crash most of
// a small service, though.
bool RunsApart(Suspicion suspicion, size_t endpoints) {
  switch (suspicion) {
    case Suspicion::kNone:
      return false;
    case Suspicion::kSuspect:
      return endpoints <= kMaxSmallService;
    default:
      return true;
  }
}

Duration TimeUntilAllowed(const CrashRecords& records,
                          const RequestIdentity& request,
                          Duration now) {
  const auto found = records.requests.find(request);
  if (found == records.requests.end()) {
    return Duration::zero();
  }
  const Duration until =
      SuspicionOf(records, request, now) == Suspicion::kDeadly
          ? found->second.seen_at + kCrashRecordLifetime
          : HeldUntil(records, *found);
  return std::max(until - now, Duration::zero());
}

std::vector<CrashedRun> CrashedRunsOf(const CrashRecords& records,
                                      const RequestIdentity& request) {
  std::vector<CrashedRun> runs;
  const auto found = records.requests.find(request);
  if (found == records.requests.end()) {
    return runs;
  }
  for (const EndpointStart& endpoint : found->second.crashes) {
    const CrashRecords::Crash& crash = records.crashes.at(endpoint);
    runs.push_back({.request = request,
                    .endpoint = endpoint,
                    .crashed_at = crash.at,
                    .began_recently = crash.suspects.at(request),
                    .others_missing = crash.others_missing,
                    .seen_at = found->second.seen_at});
  }
  return runs;
}

void DropExpiredCrashes(CrashRecords& records, Duration now) {
  for (auto at = records.requests.begin(); at != records.requests.end();) {
    const auto request = at++;
    if (request->second.seen_at + kCrashRecordLifetime <= now) {
      RemoveRequest(records, request);
    }
  }
  std::erase_if(records.completed_at, [now](const auto& entry) {
    return entry.second + kCompletionLifetime <= now;
  });
}

}  // namespace celerykeel
