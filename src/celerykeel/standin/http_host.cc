#include "celerykeel/standin/http_host.h"

#include <arpa/inet.h>   // for inet_ntop
#include <httplib.h>     // for httplib::Server, httplib::Request
#include <netinet/in.h>  // for sockaddr_in
#include <sys/socket.h>  // for getpeername, recv, shutdown

#include <charconv>  // for std::from_chars
#include <chrono>    // for std::chrono::hours
#include <cstdint>   // for uint64_t
#include <thread>    // for std::thread

#include "celerykeel/net/http_guard.h"   // for ConfigureServer, SplitAddress
#include "celerykeel/net/log.h"          // for Log
#include "celerykeel/net/stop_signal.h"  // for WaitForStopSignal

namespace celerykeel {

namespace {

constexpr int kHighestDescriptor = 4096;

bool HasPeer(int descriptor, const std::string& host, int port) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
      peer.sin_family != AF_INET || ntohs(peer.sin_port) != port) {
    return false;
  }
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
  return host == text;
}

}  // namespace

struct HttpHost::State {
  httplib::Server server;
  std::thread thread;
  int port = 0;
};

tl::expected<std::unique_ptr<HttpHost>, ListenError> HttpHost::Create(
    const HttpHostOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  ConfigureServer(running->server, {.threads = options.threads});
  running->server.Get("/healthz",
                      [](const httplib::Request&, httplib::Response& response) {
                        response.set_content("ok\n", "text/plain");
                      });
  options.add_routes(running->server);
  const auto [host, port] = SplitAddress(options.listen);
  running->port = port;
  if (port == 0) {
    running->port = running->server.bind_to_any_port(host);
  } else if (!running->server.bind_to_port(host, port)) {
    running->port = -1;
  }
  if (running->port < 0) {
    return tl::unexpected(ListenError{options.listen});
  }
  running->thread =
      std::thread([running] { running->server.listen_after_bind(); });
  // A stop before the server runs would be lost.
  while (!running->server.is_running()) {
    std::this_thread::yield();
  }
  return std::unique_ptr<HttpHost>(new HttpHost(std::move(state)));
}

HttpHost::HttpHost(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

HttpHost::~HttpHost() {
  this->state->server.stop();
  this->state->thread.join();
}

int HttpHost::Port() const {
  return this->state->port;
}

// The library does not show a handler its socket, so it is found by its peer.
std::optional<int> FindConnection(const httplib::Request& request) {
  for (int descriptor = 0; descriptor < kHighestDescriptor; ++descriptor) {
    if (HasPeer(descriptor, request.remote_addr, request.remote_port)) {
      return descriptor;
    }
  }
  return std::nullopt;
}

void CloseConnection(const httplib::Request& request) {
  if (const auto connection = FindConnection(request); connection) {
    shutdown(*connection, SHUT_RDWR);
  }
}

bool CallerHasGone(int connection) {
  char byte = 0;
  const ssize_t got =
      recv(connection, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string QueryText(const httplib::Request& request, std::string_view name) {
  return request.get_param_value(std::string(name));
}

uint64_t QueryNumber(const httplib::Request& request,
                     std::string_view name,
                     uint64_t fallback) {
  const std::string text = QueryText(request, name);
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && rest == end ? number : fallback;
}

void WaitUntilStopped(std::string_view part, std::string_view address) {
  Log(part, "listening", {{"address", address}});
  while (!WaitForStopSignal(std::chrono::hours(1))) {
  }
  Log(part, "stopping");
}

}  // namespace celerykeel
