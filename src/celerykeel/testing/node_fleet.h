#pragma once

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

/// @brief What a caller got.
struct CallerAnswer {
  int status = 0;  // 0: the connection ended without a whole answer
  std::string body;
  std::string retry_after;
};

/// @brief A few instances in this process, each with a loop in a thread of its
/// own, before stand-ins of the store and of two endpoints. Its addresses are
/// in a part of the loopback range that is this fleet's own.
class NodeFleet {
 public:
  explicit NodeFleet(int instances);
  ~NodeFleet();
  NodeFleet(const NodeFleet&) = delete;
  NodeFleet& operator=(const NodeFleet&) = delete;

  /// @brief Waits until every instance is ready and all slots are held.
  bool WaitUntilServing();

  /// @brief Ends an instance as a kill would: its sockets close, nothing is
  /// handed over.
  void Kill(size_t index);
  /// @brief Starts it again, at the same address.
  void Start(size_t index);

  /// @brief Stops an instance as planned, and returns at once.
  void Stop(size_t index);
  /// @brief Keeps an instance from running for a while, and returns at once.
  void Freeze(size_t index, std::chrono::milliseconds time);
  /// @brief True if the instance holds the program's slot.
  bool Holds(size_t index, const std::string& program);

  /// @brief Where an instance takes callers, and other instances.
  Tcp::endpoint CallersAddress(size_t index) const;
  Tcp::endpoint PeerAddress(size_t index) const;

  /// @brief All log lines of all instances so far.
  std::string Logs();

  /// @brief Writes that an endpoint leaves, and waits until instances know.
  bool Drain(size_t endpoint);

  /// @brief Waits until all instances know that an endpoint said it leaves.
  bool WaitUntilDeparted(size_t endpoint);

  /// @brief The metrics of an instance.
  std::string MetricsOf(size_t index);

  /// @brief Sends a request to an instance and waits for its answer.
  CallerAnswer Send(size_t index,
                    const std::string& method,
                    const std::string& target,
                    const HeaderList& headers,
                    const std::string& body);

  /// @brief Runs `task` where the stand-ins run.
  void OnStandins(const std::function<void()>& task);

  /// @brief Puts a configuration in force that withdraws the key "k1", with
  /// the next version.
  void WithdrawKey();

  /// @brief The slot of a program of the team "orchard".
  static uint32_t SlotOf(const std::string& program);

  StoreStandin store;
  StoreDoor doors[3];  // of the instances
  EndpointStandin endpoints[2];

 private:
  struct Instance {
    std::unique_ptr<Node> node;
    std::thread thread;
    std::FILE* log = nullptr;  // over restarts
  };

  /// @brief Waits until the condition holds on each instance.
  bool WaitForAll(const std::function<bool(const Node&)>& condition);
  /// @brief Runs `task` on the loop of each instance, one after the other.
  void OnEach(const std::function<void(Node&)>& task);
  std::string Ip(size_t host) const;
  NodeOptions OptionsOf(size_t index) const;
  void PutDeployment();
  void PutEndpoint(size_t index, const std::string& state);
  CallerAnswer SendTo(const std::string& address, const OutRequest& request);
  bool IsServing();

  int subnet = 0;
  asio::io_context standin_loop{1};
  std::thread standin_thread;
  std::vector<Instance> instances;
};

}  // namespace celerykeel::testing
