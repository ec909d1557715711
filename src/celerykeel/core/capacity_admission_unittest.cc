#include "celerykeel/core/capacity_admission.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::min
#include <deque>      // for std::deque
#include <random>     // for std::mt19937_64
#include <vector>     // for std::vector

#include "celerykeel/core/recent_programs.h"  // for HashOfProgram

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSlots = 240;
constexpr int kCalls = 8;        // of a program, on average
constexpr int kStepMs = 10;      // of the simulation
constexpr int kServeMs = 600;    // of a call on an engine, on average
constexpr int kBetweenMs = 300;  // from an answer to the next call
constexpr int kCallMs = 2500;    // a caller's time for a call
constexpr int kReportMs = 400;
constexpr int kReportAgeMs = 400;
constexpr int kRunMs = 60000;

struct Program {
  uint64_t id = 0;
  std::string team;
  int left = kCalls;
  bool is_new = true;
  int next_ms = 0;   // when it sends its next call
  int began_ms = 0;  // of the current call
  int ends_ms = -1;  // of the call on an engine
  bool returned = false;
  bool waits = false;
};

struct Outcome {
  int whole = 0;
  int cut = 0;
  int refused = 0;
  int refused_while_free = 0;
  double lowest = 1e9;  // calls per slot, after the first 30 s
  double highest = 0;
  std::map<std::string, int> whole_of;
};

// Simulates a service whose engines serve `load` times as many programs as they
// can. Callers of refused programs return once, if they can wait that long.
Outcome Serve(double load, bool gated) {
  std::mt19937_64 random(3);
  std::vector<Program> programs;
  std::deque<size_t> queue;
  std::vector<size_t> running;
  CapacityGate gate;
  ServiceLoad reported;
  Outcome outcome;
  double due = 0;
  const double per_step = load * kSlots / (kCalls * kServeMs) * kStepMs;
  for (int now = 0; now < kRunMs; now += kStepMs) {
    due += per_step;
    const int begun = int(due);
    due -= begun;
    for (int i = 0; i < begun; ++i) {
      const uint64_t id = random();
      // One of five teams sends six of ten programs.
      const uint64_t team = id % 10 < 6 ? 0 : id % 4 + 1;
      programs.push_back({.id = id,
                          .team = std::to_string(team),
                          .left = kCalls / 2 + int(random() % (kCalls + 1)),
                          .next_ms = now,
                          .began_ms = now});
    }
    std::erase_if(running, [&](size_t index) {
      Program& program = programs[index];
      if (program.ends_ms > now) {
        return false;
      }
      program.left -= 1;
      program.next_ms = program.left > 0 ? now + kBetweenMs : -1;
      program.began_ms = program.next_ms;
      if (program.left == 0) {
        ++outcome.whole;
        ++outcome.whole_of[program.team];
      }
      return true;
    });
    std::erase_if(queue, [&](size_t index) {
      const bool late = now - programs[index].began_ms > kCallMs - kServeMs;
      outcome.cut += late ? 1 : 0;
      return late;
    });
    ServiceLoad load_now{
        .slots = kSlots,
        .in_flight = static_cast<double>(queue.size() + running.size()),
        .by_team = {}};
    for (const size_t index : queue) {
      load_now.by_team[programs[index].team] += 1;
    }
    for (const size_t index : running) {
      load_now.by_team[programs[index].team] += 1;
    }
    const double fullness = load_now.in_flight / kSlots;
    if (now > 30000) {
      outcome.lowest = std::min(outcome.lowest, fullness);
      outcome.highest = std::max(outcome.highest, fullness);
    }
    if (now % kReportMs == 0) {
      UpdateGate(gate, reported, milliseconds(now + 1000));
    }
    if (now % kReportMs == kReportMs - kReportAgeMs) {
      reported = load_now;
    }
    for (size_t index = 0; index < programs.size(); ++index) {
      Program& program = programs[index];
      if (program.next_ms < 0 || program.next_ms > now) {
        continue;
      }
      program.next_ms = -1;
      if (gated && program.is_new) {
        const auto told =
            RefuseIfFull(gate, {.team = program.team, .hash = program.id}, now);
        if (told) {
          ++outcome.refused;
          outcome.refused_while_free += fullness < 0.5 ? 1 : 0;
          const int wait = static_cast<int>(*told / milliseconds(1));
          if (!program.returned && wait <= kCallMs / 3) {
            program.returned = true;
            program.next_ms = now + wait;
          }
          continue;
        }
      }
      program.is_new = false;
      program.began_ms = now;
      queue.push_back(index);
    }
    while (!queue.empty() && static_cast<double>(running.size()) < kSlots) {
      programs[queue.front()].ends_ms =
          now + kServeMs / 2 + int(random() % kServeMs);
      running.push_back(queue.front());
      queue.pop_front();
    }
  }
  return outcome;
}

// Guards against engines that begin more programs than they can finish, so that
// most are cut in the middle.
TEST_CASE("a full service finishes the programs that it begins") {
  for (const double load : {1.5, 3.0, 6.0}) {
    const Outcome before = Serve(load, false);
    const Outcome after = Serve(load, true);
    MESSAGE("load " << load << ": whole " << before.whole << " -> "
                    << after.whole << ", cut " << before.cut << " -> "
                    << after.cut << ", refused " << after.refused
                    << ", calls per slot " << after.lowest << " to "
                    << after.highest);
    CHECK(after.whole >= 1.15 * before.whole);
    CHECK(after.cut * 100 <= after.whole);
    CHECK(after.refused_while_free == 0);
    // The load does not swing: slots stay taken.
    CHECK(after.lowest >= 0.75);
    CHECK(after.highest <= 1.3);
  }
}

TEST_CASE("nothing is refused while slots are free") {
  const Outcome after = Serve(0.8, true);
  CHECK(after.refused == 0);
  CHECK(after.cut == 0);
}

TEST_CASE("the team that takes more than its share yields first") {
  Outcome before = Serve(3, false);
  Outcome after = Serve(3, true);
  int worst_before = before.whole;
  int worst_after = after.whole;
  for (int team = 1; team <= 4; ++team) {
    worst_before =
        std::min(worst_before, before.whole_of[std::to_string(team)]);
    worst_after = std::min(worst_after, after.whole_of[std::to_string(team)]);
  }
  MESSAGE("whole programs of the worst-served small team "
          << worst_before << " -> " << worst_after << ", of the large one "
          << before.whole_of["0"] << " -> " << after.whole_of["0"]);
  CHECK(worst_after >= 2 * worst_before);
  CHECK(worst_after * 4 >= after.whole_of["0"]);
}

TEST_CASE(
    "a clump of calls does not make a service full, a lasting load does") {
  CapacityGate gate;
  const ServiceLoad full{.slots = 10, .in_flight = 14, .by_team = {}};
  UpdateGate(gate, full, seconds(50));
  UpdateGate(gate, full, seconds(50) + milliseconds(400));
  CHECK(gate.share == 1);
  UpdateGate(gate, full, seconds(50) + milliseconds(1200));
  CHECK(gate.share < 1);
  // Slots are free again, although the average is still high.
  UpdateGate(gate, {.slots = 10, .in_flight = 5, .by_team = {}},
             seconds(50) + milliseconds(1600));
  for (uint64_t i = 0; i < 100; ++i) {
    CHECK_FALSE(RefuseIfFull(gate, {.team = "t", .hash = i << 57}, 0));
  }
}

TEST_CASE("a refused program may begin when it was told to return") {
  CapacityGate gate;
  const ServiceLoad full{.slots = 10, .in_flight = 13, .by_team = {}};
  UpdateGate(gate, full, seconds(50));
  UpdateGate(gate, full, seconds(52));
  int urgent = 0;
  int ordinary = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    NewProgram program{.team = "t", .hash = HashOfProgram("t", id)};
    const WallMillis now = 1796368127000 + WallMillis{i} * 17;
    const auto told = RefuseIfFull(gate, program, now);
    urgent += told ? 0 : 1;
    if (told) {
      CHECK_FALSE(
          RefuseIfFull(gate, program, now + *told / milliseconds(1) + 1));
    }
    program.priority = 3;
    ordinary += RefuseIfFull(gate, program, now) ? 0 : 1;
  }
  CHECK(urgent > 1.5 * ordinary);
}

}  // namespace
}  // namespace celerykeel
