#include "celerykeel/core/crash_records.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::any_of
#include <random>     // for std::mt19937_64

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kStart = seconds(1000);

RequestIdentity Request(uint64_t number, const std::string& team = "orchard") {
  return {.team = team,
          .hash_high = 0,
          .hash_low = number,
          .group_high = 1,
          .group_low = number};
}

// Returns a request of the group that begins like all others of it.
RequestIdentity Alike(uint64_t number) {
  return {.team = "orchard",
          .hash_high = 2,
          .hash_low = number,
          .group_high = 2,
          .group_low = 0};
}

EndpointStart Endpoint(int number) {
  return {.endpoint = "e" + std::to_string(number), .started_at = 1};
}

CrashedRun RunOf(const RequestIdentity& request, int endpoint, Duration at) {
  return {.request = request,
          .endpoint = Endpoint(endpoint),
          .crashed_at = at,
          .began_recently = true,
          .others_missing = false,
          .seen_at = at};
}

// Records a crash of an endpoint at which the requests were unfinished.
void Crash(CrashRecords& records,
           int endpoint,
           const std::vector<RequestIdentity>& requests,
           Duration at) {
  for (const RequestIdentity& request : requests) {
    CHECK(RecordCrashedRun(records, RunOf(request, endpoint, at), at));
  }
}

TEST_CASE("a request that alone crashes three endpoints is deadly") {
  CrashRecords records;
  const RequestIdentity deadly = Request(1);
  CHECK(SuspicionOf(records, deadly, kStart) == Suspicion::kNone);
  Crash(records, 1, {deadly}, kStart);
  CHECK(SuspicionOf(records, deadly, kStart) == Suspicion::kSuspect);
  Crash(records, 2, {deadly}, kStart + seconds(1));
  CHECK(SuspicionOf(records, deadly, kStart + seconds(2)) == Suspicion::kHeld);
  CHECK(TimeUntilAllowed(records, deadly, kStart + seconds(2)) == seconds(2));
  CHECK(SuspicionOf(records, deadly, kStart + seconds(4)) ==
        Suspicion::kRepeatedSuspect);
  Crash(records, 3, {deadly}, kStart + seconds(4));
  CHECK(SuspicionOf(records, deadly, kStart + seconds(5)) ==
        Suspicion::kDeadly);
  CHECK(TimeUntilAllowed(records, deadly, kStart + seconds(5)) ==
        kCrashRecordLifetime - seconds(1));
  CHECK(SuspicionOf(records, Request(1, "small"), kStart + seconds(5)) ==
        Suspicion::kNone);
}

// Guards against refusing sound requests that ran beside a deadly one.
TEST_CASE("a request that ran beside crashes with other causes isn't deadly") {
  CrashRecords records;
  const RequestIdentity deadly = Request(1);
  const RequestIdentity beside = Request(2);
  for (int crash = 0; crash < 6; ++crash) {
    Crash(records, crash, {deadly, beside}, kStart + seconds(crash));
  }
  const Duration later = kStart + seconds(10);
  CHECK(SuspicionOf(records, beside, later) != Suspicion::kDeadly);
  SUBCASE("its completion clears it, and shows the cause") {
    CHECK(RecordCompletion(records, beside, later));
    CHECK(SuspicionOf(records, beside, later) == Suspicion::kNone);
    CHECK(SuspicionOf(records, deadly, later) == Suspicion::kDeadly);
    CHECK(!RecordCompletion(records, beside, later));
  }
  SUBCASE("also if its record was replaced by others") {
    for (uint64_t i = 0; i < kMaxSuspectsPerTeam; ++i) {
      Crash(records, 7, {Request(100 + i)}, later);
    }
    CHECK(SuspicionOf(records, deadly, later + seconds(1)) !=
          Suspicion::kDeadly);
  }
}

TEST_CASE("reports of a crash are complete after a moment") {
  CrashRecords records;
  const RequestIdentity request = Request(1);
  Crash(records, 1, {request}, kStart);
  Crash(records, 2, {request}, kStart);
  Crash(records, 3, {request}, kStart);
  CHECK(SuspicionOf(records, request, kStart + milliseconds(10)) ==
        Suspicion::kHeld);
  Crash(records, 2, {Request(2)}, kStart + milliseconds(20));
  Crash(records, 3, {Request(2)}, kStart + milliseconds(20));
  CHECK(SuspicionOf(records, request, kStart + seconds(1)) == Suspicion::kHeld);
  CHECK(SuspicionOf(records, request, kStart + seconds(4)) ==
        Suspicion::kRepeatedSuspect);
}

TEST_CASE("a late report of a crash before a completion is ignored") {
  CrashRecords records;
  const RequestIdentity request = Request(1);
  Crash(records, 1, {request}, kStart);
  CHECK(RecordCompletion(records, request, kStart + seconds(2)));
  const Duration late = kStart + seconds(3);
  CHECK(
      !RecordCrashedRun(records, RunOf(request, 2, kStart + seconds(1)), late));
  CHECK(RecordCrashedRun(records, RunOf(request, 2, late), late));
  CHECK(SuspicionOf(records, request, late) == Suspicion::kSuspect);
}

TEST_CASE("a report is news once, and again after a long time") {
  CrashRecords records;
  const RequestIdentity request = Request(1);
  CrashedRun run = RunOf(request, 1, kStart);
  CHECK(RecordCrashedRun(records, run, kStart));
  CHECK(!RecordCrashedRun(records, run, kStart));
  CHECK(RecordDeadlyArrival(records, request, kStart + seconds(1)).empty());
  CHECK(RecordDeadlyArrival(records, request, kStart + minutes(5)) ==
        std::vector<RequestIdentity>{request});
  run.seen_at = kStart + minutes(9);
  CHECK(RecordCrashedRun(records, run, kStart + minutes(9)));
  DropExpiredCrashes(records, kStart + minutes(18));
  REQUIRE(CrashedRunsOf(records, request).size() == 1);
  DropExpiredCrashes(records, kStart + minutes(19));
  CHECK(records.requests.empty());
  CHECK(records.crashes.empty());
  CHECK(!RecordCrashedRun(records, run, kStart + minutes(19)));
}

// Guards against memory without a bound, and against a team that displaces the
// records of the others, if a caller makes up bodies.
TEST_CASE("a team's suspects displace only its own, the least suspicious") {
  CrashRecords records;
  const RequestIdentity other = Request(1, "small");
  const RequestIdentity deadly = Request(1);
  for (int crash = 0; crash < 3; ++crash) {
    Crash(records, crash, {other}, kStart);
    Crash(records, 10 + crash, {deadly}, kStart);
  }
  for (int i = 0; i < 5000; ++i) {
    Crash(records, 20 + i, {Request(10 + static_cast<uint64_t>(i))},
          kStart + milliseconds(i));
    RecordCompletion(records, Request(10 + static_cast<uint64_t>(i) / 2),
                     kStart + milliseconds(i));
  }
  CHECK(records.requests.size() <= kMaxSuspectsPerTeam + 1);
  CHECK(records.crashes.size() <= records.requests.size() + 4);
  CHECK(records.completed_at.size() <= kMaxSuspects);
  CHECK(SuspicionOf(records, other, kStart + seconds(9)) == Suspicion::kDeadly);
  CHECK(SuspicionOf(records, deadly, kStart + seconds(9)) ==
        Suspicion::kDeadly);
}

TEST_CASE("many teams together keep to the bound") {
  CrashRecords records;
  for (int i = 0; i < 5000; ++i) {
    Crash(records, i, {Request(1, "team" + std::to_string(i))}, kStart);
  }
  CHECK(records.requests.size() == kMaxSuspects);
  CHECK(records.crashes.size() == kMaxSuspects);
}

// A service whose requests run one step on the endpoint that they come to, and
// come again until they complete. Requests of a repeated suspicion run alone.
struct CrashDay {
  static constexpr int kRequests = 40;
  static constexpr int kEndpoints = 8;
  static constexpr int kDeadly = 2;  // requests 0 and 1

  explicit CrashDay(uint64_t seed) : random(seed) {}

  int Draw(int below) {
    return static_cast<int>(this->random() % static_cast<uint64_t>(below));
  }

  // Runs the requests that come in one step.
  void Step(Duration now) {
    std::vector<std::vector<RequestIdentity>> running(kEndpoints);
    int alone = kEndpoints;
    for (int i = 0; i < 10; ++i) {
      const RequestIdentity request =
          Request(static_cast<uint64_t>(this->Draw(kRequests)));
      switch (SuspicionOf(this->records, request, now)) {
        case Suspicion::kDeadly:
          this->refused.insert(request);
          break;
        case Suspicion::kHeld:
          break;
        case Suspicion::kSuspect:
        case Suspicion::kRepeatedSuspect:
          if (alone > 1) {
            running[static_cast<size_t>(--alone)] = {request};
          }
          break;
        default:
          running[static_cast<size_t>(this->Draw(alone))].push_back(request);
      }
    }
    for (const auto& requests : running) {
      const bool has_crashed =
          std::any_of(requests.begin(), requests.end(),
                      [](const auto& one) { return one.hash_low < kDeadly; });
      this->starts += has_crashed ? 1 : 0;
      for (const RequestIdentity& request : requests) {
        this->crashes[request] += has_crashed ? 1 : 0;
        if (has_crashed) {
          RecordCrashedRun(this->records, RunOf(request, this->starts, now),
                           now);
        } else {
          RecordCompletion(this->records, request, now);
        }
      }
    }
  }

  std::mt19937_64 random;
  CrashRecords records;
  std::map<RequestIdentity, int> crashes;
  std::set<RequestIdentity> refused;
  int starts = 0;
};

TEST_CASE("a deadly request crashes few endpoints, and no other is refused") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    CrashDay day(seed);
    for (int step = 0; step < 300; ++step) {
      day.Step(kStart + step * milliseconds(300));
    }
    CHECK(day.refused == std::set<RequestIdentity>{Request(0), Request(1)});
    // The users allow three crashes and three retries.
    CHECK(day.crashes[Request(0)] <= 6);
    CHECK(day.crashes[Request(1)] <= 6);
  }
}

// Guards against a deadly request that each sound one clears which begins with
// the same bytes.
TEST_CASE("sound requests that begin alike do not clear a deadly one") {
  CrashRecords records;
  const RequestIdentity deadly = Alike(0);
  Duration now = kStart;
  for (uint64_t sound = 1; sound <= 30; ++sound) {
    now += seconds(1);
    if (sound % 10 == 0) {
      Crash(records, static_cast<int>(sound), {deadly, Alike(sound)}, now);
      CHECK(SuspicionOf(records, Alike(100 + sound), now + seconds(1)) ==
            Suspicion::kNone);
    }
    RecordCompletion(records, Alike(sound), now + milliseconds(500));
  }
  now += seconds(1);
  CHECK(SuspicionOf(records, deadly, now) == Suspicion::kDeadly);
  CHECK(SuspicionOf(records, Alike(30), now) == Suspicion::kNone);
  CHECK(SuspicionOf(records, Alike(200), now) == Suspicion::kNone);
  CHECK(IdentityOfCopies(records, deadly) == deadly);
  CHECK(records.groups.size() == 1);
}

// Guards against copies that differ in length, and each crash endpoints anew.
TEST_CASE("requests that begin alike are copies while none completes") {
  CrashRecords records;
  for (uint64_t copy = 0; copy < 3; ++copy) {
    const Duration at = kStart + copy * seconds(4);
    Crash(records, static_cast<int>(copy), {Alike(copy)}, at);
    CHECK(CountCrashes(records, Alike(9)) == copy + 1);
  }
  const Duration now = kStart + seconds(9);
  CHECK(SuspicionOf(records, Alike(0), now) == Suspicion::kDeadly);
  CHECK(IdentityOfCopies(records, Alike(9)) == GroupOf(Alike(9)));
  // A body that crashed nothing may be sound. It is tried alone, later.
  CHECK(SuspicionOf(records, Alike(9), now) == Suspicion::kHeld);
  CHECK(TimeUntilAllowed(records, Alike(9), now) == seconds(29));
  const Duration later = kStart + seconds(39);
  CHECK(SuspicionOf(records, Alike(9), later) == Suspicion::kRepeatedSuspect);
  SUBCASE("it crashes an endpoint too, and the next one waits for longer") {
    Crash(records, 9, {Alike(9)}, later);
    CHECK(SuspicionOf(records, Alike(9), later + seconds(1)) ==
          Suspicion::kDeadly);
    CHECK(TimeUntilAllowed(records, Alike(10), later) == seconds(60));
  }
  SUBCASE("it completes, and no other pays for the copies") {
    CHECK(RecordCompletion(records, Alike(9), later));
    CHECK(SuspicionOf(records, Alike(10), later) == Suspicion::kNone);
    CHECK(SuspicionOf(records, Alike(0), later) == Suspicion::kSuspect);
  }
  SUBCASE("a group's entry and its memory end with its suspects") {
    for (uint64_t copy = 0; copy < 3; ++copy) {
      RecordCompletion(records, Alike(copy), later);
    }
    CHECK(records.groups.empty());
    DropExpiredCrashes(records, later + kSoundGroupLifetime);
    CHECK(records.sound_groups.empty());
  }
}

// Guards against blame from builds that know the group of a request alone, and
// against their completions clearing a request.
TEST_CASE("reports of a group alone neither clear nor blame its requests") {
  CrashRecords records;
  const RequestIdentity unknown = GroupOf(Alike(0));
  for (int crash = 0; crash < 3; ++crash) {
    Crash(records, crash, {unknown}, kStart);
    Crash(records, 10 + crash, {Alike(7)}, kStart);
  }
  const Duration now = kStart + seconds(1);
  CHECK(RecordCompletion(records, unknown, now));
  CHECK(SuspicionOf(records, Alike(7), now) == Suspicion::kDeadly);
  CHECK(SuspicionOf(records, Alike(1), now) == Suspicion::kNone);
}

// Guards against holding back the sound calls of a large service because an
// endpoint crashed once under them.
TEST_CASE("a first suspicion sets a call apart in a small service only") {
  CHECK_FALSE(RunsApart(Suspicion::kNone, 2));
  CHECK(RunsApart(Suspicion::kSuspect, 4));
  CHECK_FALSE(RunsApart(Suspicion::kSuspect, 9));
  CHECK(RunsApart(Suspicion::kRepeatedSuspect, 9));
  CHECK(RunsApart(Suspicion::kHeld, 9));
  CHECK(RunsApart(Suspicion::kDeadly, 9));
}

}  // namespace
}  // namespace celerykeel
