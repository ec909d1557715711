#pragma once

#include <httplib.h>  // for httplib::Stream

#include <string>  // for std::string

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

struct SocketLimits {
  Duration request_timeout{};  // for a whole request, head and body
  Duration write_timeout{};    // for each write
  size_t request_bytes = 0;    // head and body
};

/// @brief A connection's socket as the library wants it. The library's own
/// stream gives each read a new timeout, so a caller that sends a byte now
/// and then holds a thread without end, and it waits by select(), which fails
/// beyond 1,024 descriptors. Here a request as a whole has a deadline.
class SocketStream : public httplib::Stream {
 public:
  SocketStream(int given_socket, SocketLimits given_limits);

  /// @brief Waits for the first byte of the next request.
  /// @return false if none came in time or the caller closed.
  bool WaitForRequest(Duration timeout) const;
  /// @brief Starts the deadline of a request.
  void BeginRequest();
  /// @brief True once a request went beyond the limit of its bytes.
  bool IsOverLimit() const;
  /// @brief False once the caller has closed its side.
  bool IsConnected() const;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  int socket() const override;

 private:
  bool Fill();

  int fd;
  SocketLimits limits;
  Duration deadline{};
  size_t received = 0;  // of this request, and what came with it
  std::string buffer;
  size_t taken = 0;  // of the buffer
};

}  // namespace celerykeel
