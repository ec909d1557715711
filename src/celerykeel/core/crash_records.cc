#include "celerykeel/core/crash_records.h"

#include <algorithm>  // for std::all_of, std::count_if, std::max_element
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

// A request of a group whose other requests crash endpoints has not crashed any
// itself, and may be sound. It is tried this long after their newest crash; the
// time doubles with each further crash.
constexpr Duration kOtherBodyHoldTime = std::chrono::seconds(30);

using Identities = std::set<RequestIdentity>;

// Returns the suspects that count as copies of the request.
Identities CopiesOf(const CrashRecords& records,
                    const RequestIdentity& request) {
  // Asked for each call, and mostly there are none.
  if (records.requests.empty()) {
    return {};
  }
  if (const auto group = records.groups.find(GroupOf(request));
      group != records.groups.end() && !group->second.is_mixed) {
    return group->second.suspects;
  }
  return records.requests.contains(request) ? Identities{request}
                                            : Identities{};
}

std::set<EndpointStart> CrashesOf(const CrashRecords& records,
                                  const Identities& copies) {
  std::set<EndpointStart> crashes;
  for (const RequestIdentity& copy : copies) {
    const auto& own = records.requests.at(copy).crashes;
    crashes.insert(own.begin(), own.end());
  }
  return crashes;
}

// True if all suspects of the crash, or all that began recently, are copies.
bool AreCopies(const CrashRecords::Crash& crash,
               const Identities& copies,
               bool only_recent) {
  return std::all_of(
      crash.suspects.begin(), crash.suspects.end(), [&](const auto& entry) {
        return (only_recent && !entry.second) || copies.contains(entry.first);
      });
}

bool HasRecentCopy(const CrashRecords::Crash& crash, const Identities& copies) {
  return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                     [&](const auto& entry) {
                       return entry.second && copies.contains(entry.first);
                     });
}

bool IsProvenCause(const CrashRecords::Crash& crash,
                   const Identities& copies,
                   Duration now) {
  return AreCopies(crash, copies, false) && !crash.others_missing &&
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

void EraseRequest(CrashRecords& records, Requests::iterator request) {
  if (const auto group = records.groups.find(GroupOf(request->first));
      group != records.groups.end()) {
    group->second.suspects.erase(request->first);
    if (group->second.suspects.empty()) {
      records.groups.erase(group);
    }
  }
  records.requests.erase(request);
}

void RemoveRequest(CrashRecords& records, Requests::iterator request) {
  for (const EndpointStart& endpoint : request->second.crashes) {
    RemoveSuspect(records, endpoint, request->first, false);
  }
  EraseRequest(records, request);
}

void AddToGroup(CrashRecords& records, const RequestIdentity& request) {
  const RequestIdentity identity = GroupOf(request);
  CrashRecords::Group& group = records.groups[identity];
  group.suspects.insert(request);
  group.is_mixed = group.is_mixed || records.sound_groups.contains(identity);
}

// @return true if the group has suspects and was not known to be mixed.
bool RecordSoundGroup(CrashRecords& records,
                      const RequestIdentity& request,
                      Duration completed_at) {
  const RequestIdentity identity = GroupOf(request);
  if (records.sound_groups.size() < kMaxSoundGroups ||
      records.sound_groups.contains(identity)) {
    records.sound_groups[identity] = completed_at;
  }
  const auto group = records.groups.find(identity);
  if (group == records.groups.end() || group->second.is_mixed) {
    return false;
  }
  group->second.is_mixed = true;
  return true;
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
bool IsLikelyCause(const CrashRecords::Crash& crash, const Identities& copies) {
  return !crash.others_missing && HasRecentCopy(crash, copies) &&
         AreCopies(crash, copies, true);
}

const CrashRecords::Crash& NewestOf(const CrashRecords& records,
                                    const std::set<EndpointStart>& crashes) {
  return records.crashes.at(*std::max_element(
      crashes.begin(), crashes.end(), [&records](const auto& a, const auto& b) {
        return IsOlder(records, a, b);
      }));
}

// Returns until when copies with these crashes must not run.
Duration HeldUntil(const CrashRecords& records,
                   const Identities& copies,
                   const std::set<EndpointStart>& crashes) {
  const size_t count = crashes.size();
  if (count < 2) {
    return {};
  }
  const CrashRecords::Crash& newest = NewestOf(records, crashes);
  if (count < kMinCrashes) {
    return IsLikelyCause(newest, copies) ? newest.at + kHoldTime : Duration{};
  }
  const size_t further = std::min(count, kMaxCrashesPerRequest) - kMinCrashes;
  return newest.at + kHoldTime * (1 << further);
}

// Returns until when a request must not run whose copies are deadly, if it has
// crashed nothing itself.
Duration OtherBodyHeldUntil(const CrashRecords& records,
                            const std::set<EndpointStart>& crashes) {
  const size_t further =
      std::min(crashes.size(), kMaxCrashesPerRequest) - kMinCrashes;
  return NewestOf(records, crashes).at + kOtherBodyHoldTime * (1 << further);
}

bool AreDeadly(const CrashRecords& records,
               const Identities& copies,
               const std::set<EndpointStart>& crashes,
               Duration now) {
  const auto proven = static_cast<size_t>(std::count_if(
      crashes.begin(), crashes.end(), [&](const EndpointStart& endpoint) {
        return IsProvenCause(records.crashes.at(endpoint), copies, now);
      }));
  return crashes.size() >= kMinCrashes && proven >= kMinProvenCrashes;
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
  AddToGroup(records, run.request);
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
  const bool is_news = RecordSoundGroup(records, request, completed_at);
  const auto found = records.requests.find(request);
  if (found == records.requests.end()) {
    return is_news;
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
    EraseRequest(records, found);
  }
  // Without an entry, a late report makes the request a suspect again until it
  // completes once more.
  if (records.completed_at.size() < kMaxSuspects) {
    Duration& known = records.completed_at[request];
    known = std::max(known, completed_at);
  }
  return true;
}

std::vector<RequestIdentity> RecordDeadlyArrival(CrashRecords& records,
                                                 const RequestIdentity& request,
                                                 Duration now) {
  std::vector<RequestIdentity> renewed;
  for (const RequestIdentity& copy : CopiesOf(records, request)) {
    CrashRecords::Request& record = records.requests.at(copy);
    if (now >= record.seen_at + kCrashRecordLifetime / kRenewalDivisor) {
      record.seen_at = now;
      renewed.push_back(copy);
    }
  }
  return renewed;
}

bool IsMixed(const CrashRecords& records, const RequestIdentity& request) {
  const auto group = records.groups.find(GroupOf(request));
  return group != records.groups.end() && group->second.is_mixed;
}

RequestIdentity IdentityOfCopies(const CrashRecords& records,
                                 const RequestIdentity& request) {
  return IsMixed(records, request) ? request : GroupOf(request);
}

size_t CountCrashes(const CrashRecords& records,
                    const RequestIdentity& request) {
  return CrashesOf(records, CopiesOf(records, request)).size();
}

bool HasOtherSuspects(const CrashRecords& records,
                      const EndpointStart& crash,
                      const RequestIdentity& request) {
  return !AreCopies(records.crashes.at(crash), CopiesOf(records, request),
                    false);
}

Suspicion SuspicionOf(const CrashRecords& records,
                      const RequestIdentity& request,
                      Duration now) {
  const Identities copies = CopiesOf(records, request);
  if (copies.empty()) {
    return Suspicion::kNone;
  }
  const std::set<EndpointStart> crashes = CrashesOf(records, copies);
  if (AreDeadly(records, copies, crashes, now)) {
    if (copies.contains(request)) {
      return Suspicion::kDeadly;
    }
    return OtherBodyHeldUntil(records, crashes) > now
               ? Suspicion::kHeld
               : Suspicion::kRepeatedSuspect;
  }
  if (HeldUntil(records, copies, crashes) > now) {
    return Suspicion::kHeld;
  }
  const auto recent =
      std::count_if(crashes.begin(), crashes.end(), [&](const auto& endpoint) {
        return HasRecentCopy(records.crashes.at(endpoint), copies);
      });
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
  const Identities copies = CopiesOf(records, request);
  if (copies.empty()) {
    return Duration::zero();
  }
  const std::set<EndpointStart> crashes = CrashesOf(records, copies);
  Duration until = HeldUntil(records, copies, crashes);
  if (AreDeadly(records, copies, crashes, now)) {
    until = copies.contains(request)
                ? records.requests.at(request).seen_at + kCrashRecordLifetime
                : OtherBodyHeldUntil(records, crashes);
  }
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
  std::erase_if(records.sound_groups, [now](const auto& entry) {
    return entry.second + kSoundGroupLifetime <= now;
  });
}

}  // namespace celerykeel
