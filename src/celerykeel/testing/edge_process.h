#pragma once

#include <sys/types.h>  // for pid_t

#include <functional>  // for std::function
#include <string>      // for std::string
#include <thread>      // for std::thread

#include "celerykeel/testing/endpoint_standin.h"  // for EndpointStandin
#include "celerykeel/testing/store_standin.h"     // for StoreStandin

namespace celerykeel::testing {

/// @brief Runs celerykeel-edge as a process of its own, on its own subnet of
/// the loopback range, and stand-ins for the store and one endpoint in this
/// process.
class EdgeProcess {
 public:
  /// @param settings fields added to the settings file, each as `,"name":1`.
  /// @param limits the configuration's limits for callers, as JSON.
  explicit EdgeProcess(const std::string& settings = "",
                       const std::string& limits = "{}");
  ~EdgeProcess();
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  /// @brief Kills the process, runs `change` on the stand-ins' loop and starts
  /// the process again.
  void Restart(const std::function<void()>& change);

  /// @brief Waits until the process is ready and answers an ordinary request.
  /// Meanwhile the endpoint writes its entry to the store, as all endpoints do
  /// at each heartbeat.
  bool WaitUntilServing();

  /// @brief Sends one ordinary request over a new connection.
  /// @return the status; 0 if no answer came.
  int SendOrdinary();

  /// @brief Sends `bytes` over a new connection and reads the answer until its
  /// end, the end of the connection, or 8 s without bytes.
  std::string Exchange(const std::string& bytes);

  bool IsAlive();
  /// @brief Returns a line of /proc/PID/status such as VmHWM, in bytes.
  size_t Memory(const std::string& name) const;
  /// @brief Waits until the process has used no CPU time for a while, so that
  /// it has read what was sent; at most 15 s.
  void WaitUntilIdle();
  /// @brief Returns the number of open descriptors.
  size_t Descriptors() const;

  std::string Ip() const;
  static constexpr uint16_t kCallersPort = 8101;
  static constexpr uint16_t kReadinessPort = 8102;
  static constexpr uint16_t kPeerPort = 8103;

  StoreStandin store;
  StoreAccess store_access;
  EndpointStandin endpoint;

 private:
  void PutHeartbeat();

  int subnet = 0;
  int heartbeats = 0;
  pid_t process = -1;
  int requests = 0;  // sent by SendOrdinary
  asio::io_context loop{1};
  std::thread thread;
};

/// @brief Opens a connection; -1 on an error.
int OpenConnection(const std::string& ip, uint16_t port);

}  // namespace celerykeel::testing
