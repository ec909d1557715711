#include "celerykeel/standin/link_server.h"

#include <arpa/inet.h>    // for inet_pton
#include <httplib.h>      // for httplib::Server
#include <sys/eventfd.h>  // for eventfd
#include <sys/socket.h>   // for socket, bind, listen
#include <unistd.h>       // for close, read, write

#include <algorithm>  // for std::clamp
#include <atomic>     // for std::atomic
#include <chrono>     // for std::chrono::ceil
#include <thread>     // for std::thread

#include "celerykeel/base/clock.h"              // for Now
#include "celerykeel/net/http_guard.h"          // for SplitAddress
#include "celerykeel/standin/http_host.h"       // for HttpHost
#include "celerykeel/standin/link_forwarder.h"  // for LinkForwarder

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestWait(1000);
constexpr size_t kControlThreads = 4;

sockaddr_in ParseSocketAddress(const std::string& text) {
  const auto [host, port] = SplitAddress(text);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// Returns the listening socket, or -1.
int Listen(const std::string& text) {
  const sockaddr_in address = ParseSocketAddress(text);
  const int listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

// How long poll may sleep before delayed bytes are released.
int WaitMillis(const LinkForwarder& forwarder, Duration now) {
  const auto release_at = NextRelease(forwarder);
  const auto wait = release_at
                        ? std::chrono::ceil<milliseconds>(*release_at - now)
                        : kLongestWait;
  return static_cast<int>(
      std::clamp(wait, milliseconds(0), kLongestWait).count());
}

}  // namespace

struct LinkServer::State {
  LinkForwarder forwarder;  // of the forwarding thread
  std::atomic<LinkMode> wanted = LinkMode::kOpen;
  std::atomic<LinkMode> reached = LinkMode::kOpen;
  std::atomic<bool> stopping = false;
  int waker = -1;  // an eventfd, written when `wanted` or `stopping` changes
  std::thread thread;
  std::unique_ptr<HttpHost> control;

  void Wake() const;
  void Forward();
  void Cut(const httplib::Request& request, httplib::Response& response);
};

void LinkServer::State::Wake() const {
  const uint64_t one = 1;
  [[maybe_unused]] const auto written = write(this->waker, &one, sizeof(one));
}

void LinkServer::State::Forward() {
  while (!this->stopping) {
    const Duration now = Now();
    std::vector<pollfd> entries = PollEntries(this->forwarder, now);
    entries.push_back({.fd = this->waker, .events = POLLIN, .revents = 0});
    poll(entries.data(), entries.size(), WaitMillis(this->forwarder, now));
    uint64_t wakes = 0;
    [[maybe_unused]] const auto got = read(this->waker, &wakes, sizeof(wakes));
    const LinkMode mode = this->wanted;
    if (mode == this->forwarder.mode) {
      MoveBytes(this->forwarder, entries, Now());
    } else {
      SetLinkMode(this->forwarder, mode);
    }
    this->reached = mode;
  }
}

// Answers when the link is as it was asked to be.
void LinkServer::State::Cut(const httplib::Request& request,
                            httplib::Response& response) {
  const bool is_on = QueryNumber(request, "on", 1) != 0;
  const bool hangs = QueryText(request, "mode") == "hang";
  const LinkMode mode = !is_on  ? LinkMode::kOpen
                        : hangs ? LinkMode::kHung
                                : LinkMode::kClosed;
  this->wanted = mode;
  this->Wake();
  while (this->reached != mode && !this->stopping) {
    std::this_thread::yield();
  }
  response.status = 200;
}

tl::expected<std::unique_ptr<LinkServer>, ListenError> LinkServer::Create(
    const LinkOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  running->forwarder.listener = Listen(options.listen);
  if (running->forwarder.listener < 0) {
    return tl::unexpected(ListenError{options.listen});
  }
  running->forwarder.target = ParseSocketAddress(options.to);
  running->forwarder.delay = options.delay;
  running->waker = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  auto control = HttpHost::Create(
      {.listen = options.control,
       .threads = kControlThreads,
       .add_routes = [running](httplib::Server& server) {
         server.Post("/control/cut",
                     [running](const auto& request, auto& response) {
                       running->Cut(request, response);
                     });
       }});
  if (!control) {
    close(running->forwarder.listener);
    close(running->waker);
    return tl::unexpected(control.error());
  }
  running->control = std::move(*control);
  running->thread = std::thread([running] { running->Forward(); });
  return std::unique_ptr<LinkServer>(new LinkServer(std::move(state)));
}

LinkServer::LinkServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

LinkServer::~LinkServer() {
  this->state->stopping = true;
  this->state->Wake();
  this->state->thread.join();
  this->state->control.reset();
  CloseConnections(this->state->forwarder);
  close(this->state->forwarder.listener);
  close(this->state->waker);
}

int LinkServer::Port() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(this->state->forwarder.listener,
              reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int LinkServer::ControlPort() const {
  return this->state->control->Port();
}

}  // namespace celerykeel
