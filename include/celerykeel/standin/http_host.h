#pragma once

#include <cstddef>      // for size_t
#include <functional>   // for std::function
#include <memory>       // for std::unique_ptr
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/net/log.h"              // for Log
#include "celerykeel/net/operator_server.h"  // for ListenError
#include "celerykeel/net/settings.h"         // for SettingsReader

namespace httplib {
class Server;
struct Request;
}  // namespace httplib

namespace celerykeel {

struct HttpHostOptions {
  std::string listen;    // host:port; port 0 takes any free port
  size_t threads = 256;  // connections served at once
  std::function<void(httplib::Server&)> add_routes;
};

/// @brief A stand-in's HTTP server on a thread of its own. It answers
/// /healthz besides the routes it is given.
class HttpHost {
 public:
  static tl::expected<std::unique_ptr<HttpHost>, ListenError> Create(
      const HttpHostOptions& options);

  /// @brief Stops listening and waits for handlers under way.
  ~HttpHost();

  int Port() const;

 private:
  struct State;
  explicit HttpHost(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

/// @brief The socket of the connection that a request came on; it stays the
/// same until the handler returns.
std::optional<int> FindConnection(const httplib::Request& request);

/// @brief Closes the caller's connection, so that no (further) byte of an
/// answer reaches it.
void CloseConnection(const httplib::Request& request);

/// @brief Whether the caller has closed this connection.
bool CallerHasGone(int connection);

/// @brief A query parameter; `fallback` if it is missing or not a number.
uint64_t QueryNumber(const httplib::Request& request,
                     std::string_view name,
                     uint64_t fallback);

std::string QueryText(const httplib::Request& request, std::string_view name);

/// @brief Logs the address and serves until SIGTERM or SIGINT.
void WaitUntilStopped(std::string_view part, std::string_view address);

/// @brief The end of a stand-in's main: reports what is wrong with its
/// settings, or serves until a signal to stop.
/// @return the exit status.
template <typename Server, typename Options>
int RunStandin(std::string_view part,
               const SettingsReader& reader,
               const Options& options) {
  if (!reader.Mistakes().empty()) {
    return ReportMistakes(part, reader);
  }
  const auto server = Server::Create(options);
  if (!server) {
    Log(part, "cannot listen", {{"address", server.error().address}});
    return kExitFailed;
  }
  WaitUntilStopped(part, options.listen);
  return kExitDone;
}

}  // namespace celerykeel
