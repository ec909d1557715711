#pragma once

#include <array>       // for std::array
#include <cstdio>      // for std::FILE
#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr
#include <string>      // for std::string
#include <thread>      // for std::thread
#include <vector>      // for std::vector

#include "celerykeel/node/start.h"                // for StartNode
#include "celerykeel/testing/endpoint_standin.h"  // for EndpointStandin
#include "celerykeel/testing/store_standin.h"     // for StoreStandin

namespace celerykeel::testing {

/// @brief The answer that a caller received.
struct CallerAnswer {
  int status = 0;  // 0: the connection ended without a complete answer
  std::string body;
  std::string retry_after;
};

/// @brief Runs several instances in this process, each with its event loop in
/// its own thread, and stand-ins for the store and two endpoints. Each fleet
/// has its own subnet of the loopback range, 127.<x>.<y>.0/24.
class NodeFleet {
 public:
  /// @param versions software versions of the two endpoints; empty: the
  /// endpoint joins later.
  /// @param zones of the two endpoints; all instances are in zone "z".
  explicit NodeFleet(int instances,
                     std::array<std::string, 2> versions = {"v1", "v1"},
                     std::array<std::string, 2> zones = {"z", "z"});
  ~NodeFleet();
  NodeFleet(const NodeFleet&) = delete;
  NodeFleet& operator=(const NodeFleet&) = delete;

  /// @brief Waits until every instance is ready and in touch with the others,
  /// all slots are held and the versions of all endpoints are recorded.
  bool WaitUntilServing();

  /// @brief Stops an instance abruptly, as SIGKILL would: its sockets close,
  /// and no slot is handed over.
  void Kill(size_t index);
  /// @brief Restarts an instance at the same address.
  void Start(size_t index);

  /// @brief Begins the planned stop of an instance and returns immediately.
  void Stop(size_t index);
  /// @brief Closes the listening socket for callers, as a planned stop does
  /// after a few seconds. Open connections remain.
  void StopAccepting(size_t index);
  /// @brief Blocks the event loop of an instance for `time` and returns
  /// immediately.
  void Freeze(size_t index, std::chrono::milliseconds time);
  /// @brief Lets new connections of an instance to endpoints fail, and closes
  /// its idle ones; kNone lets them succeed again.
  void CutOff(size_t index, ConnectFault fault);
  /// @brief Waits until an instance connects to endpoints itself again.
  bool WaitUntilReachingEndpoints(size_t index);
  /// @brief True if the instance holds the program's slot.
  bool Holds(size_t index, const std::string& program);

  /// @brief Listening addresses of an instance for callers and for peers.
  Tcp::endpoint CallersAddress(size_t index) const;
  Tcp::endpoint PeerAddress(size_t index) const;

  /// @brief Returns the log lines that all instances have written.
  std::string Logs();

  /// @brief Marks an endpoint as draining in the store and waits until all
  /// instances have received the change, from the store or from a reader.
  bool Drain(size_t endpoint);

  /// @brief Writes or removes the evacuation of a zone, and waits until it is
  /// in force, or revoked, at all instances.
  bool Evacuate(const std::string& zone, bool in_force);

  /// @brief Publishes a version of the configuration with `text` inserted
  /// before `mark`.
  void PublishWith(uint64_t version,
                   const std::string& mark,
                   const std::string& text);
  /// @brief Waits until the version is in force at all instances.
  bool WaitUntilInForce(uint64_t version);

  /// @brief Writes an entry by which the endpoint is cold, and waits until all
  /// instances have received it.
  bool MakeCold(size_t endpoint, std::chrono::milliseconds left);

  /// @brief As Drain, while the store deletes its older records, so that the
  /// change is found only in the complete list. The state may be "ready" too.
  bool PutStateCompacted(size_t endpoint, const std::string& state);

  /// @brief Appends a record to the log of a program's slot.
  void AppendToSlot(const std::string& program, const SlotRecord& record);

  /// @brief Returns how often the log of a program's slot has a turn.
  int CountTurnRecords(const std::string& program, const std::string& turn);

  /// @brief Crashes the endpoint that runs a request; -1 if none does.
  int CrashEndpointOf(const std::string& id);

  /// @brief Writes the entry of an endpoint that was not listed so far, and
  /// waits until an instance sends requests to it.
  bool Join(size_t endpoint, const std::string& version, size_t instance);

  /// @brief Lets an instance forget a version of the endpoints' service, as if
  /// it had missed its record and the news of it.
  void ForgetVersion(size_t instance, const std::string& version);

  /// @brief Removes an endpoint's entry from the store. Instances that are
  /// started later do not know the endpoint.
  void RemoveEntry(size_t endpoint);

  /// @brief Waits until all instances have recorded an endpoint's departure.
  bool WaitUntilDeparted(size_t endpoint);

  /// @brief Waits until all instances know a rate limit of an endpoint.
  bool WaitUntilLimited(size_t endpoint);

  /// @brief Waits until the store has the crashes of a deadly request, as all
  /// instances know them.
  bool WaitUntilDeadlyStored();

  /// @brief Returns the metrics of an instance.
  std::string MetricsOf(size_t index);

  /// @brief Sends a request to an instance and waits for its answer.
  CallerAnswer Send(size_t index,
                    const std::string& method,
                    const std::string& target,
                    const HeaderList& headers,
                    const std::string& body);

  /// @brief Runs `task` on the loop of the stand-ins and waits for its end.
  void RunOnStandinLoop(const std::function<void()>& task);

  /// @brief Publishes another number of slots of both endpoints.
  void SetEndpointSlots(uint32_t slots);

  /// @brief Publishes the next version of the configuration, without the key
  /// "k1".
  void RevokeKey();

  /// @brief Publishes a version of the configuration with 2,000 more routes,
  /// /added/0/ and so on.
  void AddRoutes(int version);

  /// @brief Waits until an instance has a version of the configuration.
  bool WaitUntilInForce(size_t index, uint64_t version);

  /// @brief Makes direct calls of an instance to the store, all at the same
  /// time.
  /// @return how many were answered.
  int CallStore(size_t index, int calls);

  /// @brief Lets an instance expect that outages of the store last `length`.
  void ExpectOutages(size_t index, Duration length);

  /// @brief The slot of a program of the team "orchard".
  static uint32_t SlotOf(const std::string& program);

  double link_mbps = 0;  // in the settings of instances; used by Start
  StoreStandin store;
  StoreAccess store_access[5];  // one for each of at most 5 instances
  EndpointStandin endpoints[2];

 private:
  struct Instance {
    std::unique_ptr<Node> node;
    std::thread thread;
    std::FILE* log = nullptr;  // kept across restarts
  };

  /// @brief Waits until the condition holds on each instance.
  bool WaitForAll(const std::function<bool(const Node&)>& condition);
  /// @brief Runs `task` on the loop of each instance, one at a time.
  void OnEach(const std::function<void(Node&)>& task);
  std::string Ip(size_t host) const;
  NodeOptions OptionsOf(size_t index) const;
  void PutDeployment();
  void PutEndpoint(size_t index, const std::string& state);
  CallerAnswer SendTo(const std::string& address, const OutRequest& request);
  bool IsServing();

  int subnet = 0;
  std::array<std::string, 2> versions;
  std::array<std::string, 2> zones;
  std::array<std::chrono::milliseconds, 2> cold_left{};
  std::array<uint64_t, 2> entries_written{};
  uint32_t endpoint_slots = 24;
  std::array<WallMillis, 2> endpoint_starts{1, 1};  // increases with each
  asio::io_context standin_loop{1};
  std::thread standin_thread;
  std::vector<Instance> instances;
};

}  // namespace celerykeel::testing
