#pragma once

#include <chrono>      // for std::chrono::milliseconds
#include <cstddef>     // for size_t
#include <functional>  // for std::function
#include <string>      // for std::string
#include <vector>      // for std::vector

namespace celerykeel::testing {

/// @brief What each connection of a crowd sends: `first`, then `again` until
/// it is closed or `connection_bytes` are sent.
struct CrowdBytes {
  std::string first = {};
  std::string again = {};
  size_t connection_bytes = 0;  // 0: no limit
  bool reads = true;            // takes answers and drops them
  size_t piece_bytes = 65536;   // of one send
};

/// @brief Connections that all send the same bytes, from the calling thread.
class Crowd {
 public:
  Crowd(std::string ip, uint16_t port, size_t connections, CrowdBytes bytes);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// @brief Sends until `total_bytes` were sent over all connections. A
  /// connection that is closed or has sent all is replaced. Ends early if
  /// nothing could be sent for `idle`, after as many replacements as would have
  /// sent `total_bytes` with 16 KiB each, or if `stop` returns true; it is
  /// asked about once for each MiB.
  void Send(size_t total_bytes,
            std::chrono::milliseconds idle,
            const std::function<bool()>& stop);

  size_t sent_bytes = 0;
  size_t replaced = 0;  // connections

 private:
  struct Member {
    int descriptor = -1;
    size_t sent = 0;
  };
  void Open(Member& member);
  bool SendSome(Member& member);

  std::string ip;
  uint16_t port;
  CrowdBytes bytes;
  std::vector<Member> members;
};

}  // namespace celerykeel::testing
