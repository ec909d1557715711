#include "celerykeel/core/endpoint_speed.h"

#include <algorithm>   // for std::count_if
#include <cmath>       // for std::fmod
#include <deque>       // for std::deque
#include <functional>  // for std::function
#include <memory>      // for std::shared_ptr
#include <queue>       // for std::priority_queue
#include <random>      // for std::mt19937

#include <doctest/doctest.h>

#include "celerykeel/core/endpoint_assessment.h"  // for AssessSpeeds

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One load: how endpoint `index` serves calls at `now`.
struct Load {
  const char* name;
  double utilization = 0.5;
  std::function<double(int index, double now)> factor =
      [](int /*index*/, double /*now*/) { return 1.0; };
  std::function<double(int index, double now)> failing =
      [](int /*index*/, double /*now*/) { return 0.0; };
  double hot_share = 0;  // of one subject; set: calls have affinity
  // Max share of late calls: about twice what the model gives for any fleet.
  double bound = 0;
};

// A fleet of instances before seven endpoints of six slots, each with a queue.
// Instances learn of each other's calls and samples every 0.4 s, 0 to 0.6 s
// late.
class QueueModel {
 public:
  QueueModel(const Load& given, int instances)
      : load(given), fleet(static_cast<size_t>(instances)) {
    for (size_t i = 0; i < this->fleet.size(); ++i) {
      for (int e = 0; e < kEndpoints; ++e) {
        RecordEntry(this->fleet[i].table, {.id = Id(e),
                                           .service = "s",
                                           .address = Id(e) + ":1",
                                           .zone = "z",
                                           .version = "v",
                                           .slots = kSlots,
                                           .warming = std::nullopt,
                                           .started_at = 1});
      }
      this->At(0.4 * this->Uniform(), [this, i] { this->Heartbeat(i); });
    }
    this->At(0, [this] { this->Arrive(); });
  }

  // Returns the share of calls that were late or failed.
  double Run() {
    while (this->now < kEnd) {
      const auto next = this->events.top();
      this->events.pop();
      this->now = next.at;
      (*next.run)();
    }
    return double(this->late) / double(this->calls);
  }

 private:
  static constexpr int kEndpoints = 7;
  static constexpr uint32_t kSlots = 6;
  static constexpr double kMean = 0.04;    // seconds of service
  static constexpr double kTarget = 0.25;  // latency that callers expect
  static constexpr double kEnd = 14;
  static constexpr double kFrom = 3;  // calls before it are not counted

  struct Event {
    double at;
    std::shared_ptr<std::function<void()>> run;
    bool operator<(const Event& other) const { return this->at > other.at; }
  };
  struct Instance {
    EndpointTable table;
    EndpointSpeeds speeds;
  };
  struct Request {
    size_t instance;
    uint64_t call;
    double began;
  };
  struct Server {
    uint32_t running = 0;
    std::deque<Request> waiting;
  };

  static std::string Id(int endpoint) { return "e" + std::to_string(endpoint); }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  Duration Now() const { return Duration(int64_t((this->now + 100) * 1e9)); }
  void At(double when, std::function<void()> run) {
    this->events.push(
        {when, std::make_shared<std::function<void()>>(std::move(run))});
  }

  void Heartbeat(size_t index) {
    Instance& self = this->fleet[index];
    TickSpeeds(self.speeds, this->Now());
    const auto reports =
        ReportSpeeds(self.speeds, this->fleet.size(), this->Now());
    std::map<std::string, uint32_t> loads;
    for (const auto& [id, endpoint] : self.table.endpoints) {
      loads[id] = endpoint.in_flight;
    }
    this->At(this->now + 0.6 * this->Uniform(), [this, index, reports, loads] {
      std::map<std::string, uint32_t>& last = this->reported[index];
      for (size_t peer = 0; peer < this->fleet.size(); ++peer) {
        if (peer != index) {
          RecordSpeedReports(this->fleet[peer].speeds, std::to_string(index),
                             reports, this->Now());
          for (const auto& [id, running] : loads) {
            this->fleet[peer].table.endpoints[id].in_flight_from_peers +=
                running - last[id];
          }
        }
      }
      last = loads;
    });
    AssessSpeeds(self.speeds, self.table, std::to_string(index),
                 this->fleet.size(), this->Now());
    this->At(this->now + 0.4, [this, index] { this->Heartbeat(index); });
  }

  void Arrive() {
    const double rate = this->load.utilization * kEndpoints * kSlots / kMean;
    this->At(this->now - std::log(1 - this->Uniform()) / rate,
             [this] { this->Arrive(); });
    const std::string id = std::to_string(this->arrived++);
    const bool affine = this->load.hot_share > 0;
    const std::string subject = !affine ? id
                                : this->Uniform() < this->load.hot_share
                                    ? "hot"
                                    : std::to_string(this->random() % 500);
    const size_t instance = this->random() % this->fleet.size();
    Instance& self = this->fleet[instance];
    EndpointStatus* chosen = ChooseEndpoint(self.table,
                                            {.service = "s",
                                             .zone = "z",
                                             .subject = subject,
                                             .preferred = {},
                                             .prefers_subject = affine,
                                             .call = id,
                                             .may_probe = true},
                                            this->Now());
    const uint64_t call =
        BeginTimedCall(self.speeds, {"s", "r", false}, *chosen, this->Now());
    ++chosen->in_flight;
    const int endpoint = chosen->entry.id[1] - '0';
    if (this->Uniform() < this->load.failing(endpoint, this->now)) {
      this->At(this->now + 0.01, [this, instance, call, endpoint] {
        Instance& caller = this->fleet[instance];
        --caller.table.endpoints[Id(endpoint)].in_flight;
        RecordFailed(caller.speeds, call, this->Now());
        RecordFailure(caller.table, Id(endpoint), this->Now());
        this->Count(true);
      });
      return;
    }
    this->servers[endpoint].waiting.push_back({instance, call, this->now});
    this->Serve(endpoint);
  }

  void Serve(int endpoint) {
    Server& server = this->servers[endpoint];
    while (server.running < kSlots && !server.waiting.empty()) {
      const Request request = server.waiting.front();
      server.waiting.pop_front();
      ++server.running;
      const double time = kMean * (0.5 + this->Uniform()) *
                          this->load.factor(endpoint, this->now);
      this->At(this->now + time, [this, endpoint, request] {
        --this->servers[endpoint].running;
        Instance& caller = this->fleet[request.instance];
        --caller.table.endpoints[Id(endpoint)].in_flight;
        RecordAnswered(caller.speeds, request.call, this->Now());
        RecordSuccess(caller.table, Id(endpoint));
        this->Count(this->now - request.began > kTarget);
        this->Serve(endpoint);
      });
    }
  }

  void Count(bool is_late) {
    if (this->now >= kFrom) {
      ++this->calls;
      this->late += is_late ? 1 : 0;
    }
  }

  Load load;
  std::vector<Instance> fleet;
  std::map<size_t, std::map<std::string, uint32_t>> reported;
  std::array<Server, kEndpoints> servers;
  std::priority_queue<Event> events;
  std::mt19937 random{7};
  double now = 0;
  uint64_t arrived = 0;
  uint64_t calls = 0;
  uint64_t late = 0;
};

// Before, 10 and 83 instances had 5% and 44% of late calls with even endpoints:
// all instances took the endpoints that were the least loaded up to a second
// ago.
const Load kEven{.name = "even", .bound = 0.005};
const Load kUneven{
    .name = "speeds differ up to 1.6 times",
    .utilization = 0.6,
    .factor = [](int index, double /*now*/) { return 1 + 0.1 * index; },
    .bound = 0.015};
const Load kSlowForAWhile{.name = "two are 8 times slower for 5 s",
                          .factor =
                              [](int index, double now) {
                                return index < 2 && now > 4 && now < 9 ? 8.0
                                                                       : 1.0;
                              },
                          .bound = 0.035};
const Load kFailing{
    .name = "two fail 0.4 of their calls",
    .failing = [](int index, double /*now*/) { return index < 2 ? 0.4 : 0.0; },
    .bound = 0.05};
const Load kFlapping{.name = "one is down and up every 0.8 s",
                     .failing =
                         [](int index, double now) {
                           return index == 0 && std::fmod(now, 1.6) < 0.8 ? 1.0
                                                                          : 0.0;
                         },
                     .bound = 0.035};
const Load kHotKey{.name = "a key has 28% of the calls",
                   .hot_share = 0.28,
                   .bound = 0.015};

// Guards against callers that wait at slow or failing endpoints which others
// have found out before, and against all instances choosing the same endpoint.
TEST_CASE("uneven endpoints: late calls of a fleet with old knowledge") {
  for (const int instances : {10, 83}) {
    for (const Load& load :
         {kEven, kUneven, kSlowForAWhile, kFailing, kFlapping, kHotKey}) {
      const double late = QueueModel(load, instances).Run();
      INFO(load.name, ", ", instances, " instances");
      CHECK(late <= load.bound);
    }
  }
}

// Guards against a service that loses most of its endpoints to assessments, and
// against an assessment that stays after its endpoint has recovered.
TEST_CASE("a third of a service counts as slow, for a few seconds") {
  EndpointTable table;
  EndpointSpeeds speeds;
  std::vector<SpeedReport> reports;
  for (int e = 0; e < 9; ++e) {
    const std::string id = "e" + std::to_string(e);
    RecordEntry(table, {.id = id,
                        .service = "s",
                        .address = id + ":1",
                        .zone = "z",
                        .version = "v",
                        .slots = 4,
                        .warming = std::nullopt,
                        .started_at = 1});
    reports.push_back({id, {.calls = 20, .failures = e < 5 ? 18.0 : 0.0}});
  }
  RecordSpeedReports(speeds, "peer", reports, seconds(100));
  const auto count_slow = [&](Duration now) {
    AssessSpeeds(speeds, table, "self", 2, now);
    return std::count_if(
        table.endpoints.begin(), table.endpoints.end(),
        [](const auto& entry) { return IsSlow(entry.second); });
  };
  CHECK(count_slow(seconds(100)) == 3);
  CHECK(count_slow(seconds(102)) == 3);
  CHECK(count_slow(seconds(107)) == 0);
}

// Guards against endpoints that count as failing because some callers send
// requests which fail at each of them.
TEST_CASE("requests that fail everywhere make no endpoint slow") {
  EndpointTable table;
  EndpointSpeeds speeds;
  std::vector<SpeedReport> reports;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    RecordEntry(table, {.id = id,
                        .service = "s",
                        .address = "a:1",
                        .zone = "z",
                        .version = "v",
                        .slots = 4,
                        .warming = std::nullopt,
                        .started_at = 1});
    reports.push_back({id, {.calls = 30, .failures = 15}});
  }
  RecordSpeedReports(speeds, "peer", reports, seconds(100));
  AssessSpeeds(speeds, table, "self", 2, seconds(100));
  for (const auto& [id, endpoint] : table.endpoints) {
    CHECK_FALSE(IsSlow(endpoint));
  }
}

// Guards against a process that was paused, and takes its own pause for slow
// endpoints.
TEST_CASE("after a pause of the process, no endpoint counts as slow") {
  EndpointTable table;
  EndpointSpeeds speeds;
  RecordEntry(table, {.id = "e",
                      .service = "s",
                      .address = "a:1",
                      .zone = "z",
                      .version = "v",
                      .slots = 4,
                      .warming = std::nullopt,
                      .started_at = 1});
  EndpointStatus& endpoint = table.endpoints["e"];
  Duration now = seconds(100);
  const auto call = [&](Duration time) {
    const uint64_t number =
        BeginTimedCall(speeds, {"s", "r", false}, endpoint, now);
    now += time;
    RecordAnswered(speeds, number, now);
  };
  const auto is_slow_after = [&](Duration pause) {
    for (int i = 0; i < 20; ++i) {
      TickSpeeds(speeds, now);
      call(milliseconds(10));
    }
    for (int i = 0; i < 4; ++i) {
      BeginTimedCall(speeds, {"s", "r", false}, endpoint, now);
    }
    call(pause);
    TickSpeeds(speeds, now);
    AssessSpeeds(speeds, table, "self", 1, now);
    return IsSlow(endpoint);
  };
  CHECK_FALSE(is_slow_after(seconds(2)));
  CHECK(is_slow_after(milliseconds(400)));
}

}  // namespace
}  // namespace celerykeel
