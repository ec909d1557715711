#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr
#include <string>      // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"            // for Duration
#include "celerykeel/net/http_guard.h"       // for HttpServerOptions
#include "celerykeel/net/operator_server.h"  // for ListenError

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace celerykeel {

/// @brief Header under which a request's Content-Type reaches the handlers.
/// The library would otherwise parse forms and multipart bodies itself, and
/// the body as it came would be lost.
inline constexpr char kBodyTypeHeader[] = "Celerykeel-Body-Type";

/// @brief Serves callers: any method and path go to one handler, and nothing
/// that a caller does or omits holds a thread beyond the timeouts.
class HttpServer {
 public:
  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;
  /// Renders the refusal of a request that the server itself refuses.
  using ErrorHandler = std::function<void(int status, httplib::Response&)>;

  struct Options {
    std::string listen;  // host:port
    HttpServerOptions limits;
    Handler handler;
    ErrorHandler on_error;
    std::string busy_answer;  // body of 503, application/problem+json
  };

  struct Counters {
    uint64_t connections = 0;  // open now
    uint64_t refused = 0;      // for want of a free thread, so far
  };

  static tl::expected<std::unique_ptr<HttpServer>, ListenError> Create(
      Options options);

  /// Lets running handlers finish, then ends.
  ~HttpServer();

  /// @brief Takes no more connections and lets running handlers finish.
  void Stop();

  /// @brief From now on each answer closes its connection.
  void CloseConnectionsAfterAnswers();

  Counters Count() const;

 private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

/// @brief In a handler's thread: false once the caller has gone away.
bool CallerIsConnected();

}  // namespace celerykeel
