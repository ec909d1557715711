#pragma once

#include <cstddef>  // for size_t
#include <string>   // for std::string

#include "celerykeel/core/time.h"  // for Duration

namespace httplib {
class Server;
struct Request;
}  // namespace httplib

namespace celerykeel {

struct HttpServerOptions {
  size_t threads = 64;   // connections served at once
  size_t waiting = 256;  // connections accepted and not yet served
  size_t max_body_bytes = size_t{8} * 1024 * 1024;
  Duration read_timeout = std::chrono::seconds(5);
  Duration write_timeout = std::chrono::seconds(10);
  Duration keep_alive_timeout = std::chrono::seconds(30);
};

/// @brief True if two readers of the connection may not agree where the body
/// ends.
bool HasAmbiguousLength(const httplib::Request& request);

/// @brief Sets limits on a server, and refuses what the library lets pass:
/// Content-Length with Transfer-Encoding, several or negative Content-Length.
void ConfigureServer(httplib::Server& server, const HttpServerOptions& options);

/// @brief Splits `host:port`; the port is 0 if there is none.
struct HostPort {
  std::string host;
  int port = 0;
};
HostPort SplitAddress(const std::string& address);

}  // namespace celerykeel
