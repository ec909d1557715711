#include "celerykeel/net/messenger.h"

#include <sys/eventfd.h>  // for eventfd
#include <unistd.h>       // for read, write, close

#include <atomic>    // for std::atomic
#include <cstring>   // for std::memcpy
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <thread>    // for std::thread
#include <utility>   // for std::move
#include <vector>    // for std::vector

#include <zmq.hpp>  // for zmq::context_t, zmq::socket_t, zmq::poll

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/net/bounded_ring.h"  // for BoundedRing

namespace celerykeel {

namespace {

constexpr int kHandshakeMillis = 3000;
constexpr int kHeartbeatMillis = 2000;
constexpr int kHeartbeatTimeoutMillis = 6000;
constexpr int kReconnectMillis = 50;
constexpr int kReconnectMaxMillis = 1000;
constexpr int kMessagesPerTurn = 256;  // of one socket, before the others

struct Outgoing {
  Peer to;
  std::string payload;
};

// A connection that we made, with the socket on which the library reports
// that it broke.
struct Connection {
  zmq::socket_t socket;
  zmq::socket_t monitor;
  Duration used_at{};
};

std::string_view View(const zmq::message_t& message) {
  return {static_cast<const char*>(message.data()), message.size()};
}

void SetCommonOptions(zmq::socket_t& socket, int64_t max_message_bytes) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeMillis);
  socket.set(zmq::sockopt::sndhwm, 0);
  socket.set(zmq::sockopt::rcvhwm, 0);
}

uint16_t MonitoredEvent(const zmq::message_t& message) {
  uint16_t event = 0;
  if (message.size() >= sizeof(event)) {
    std::memcpy(&event, message.data(), sizeof(event));
  }
  return event;
}

}  // namespace

Peer PeerAt(std::string_view address) {
  return Peer{.routing_id = {}, .address = std::string(address)};
}

struct Messenger::State {
  State(MessengerOptions given_options, MessengerHandlers given_handlers)
      : options(std::move(given_options)),
        handlers(std::move(given_handlers)),
        outgoing(options.ring_capacity) {}

  ~State() {
    if (this->wake >= 0) {
      close(this->wake);
    }
  }

  void Wake() const {
    const uint64_t one = 1;
    [[maybe_unused]] const auto written = write(this->wake, &one, sizeof(one));
  }

  void Run() {
    while (!this->stopping.load()) {
      this->PollOnce();
      this->SendQueued();
      this->TickIfDue();
    }
    this->connections.clear();
    this->router.reset();
  }

  void PollOnce() {
    std::vector<zmq::pollitem_t> items;
    items.push_back({nullptr, this->wake, ZMQ_POLLIN, 0});
    if (this->router) {
      items.push_back({this->router->handle(), 0, ZMQ_POLLIN, 0});
    }
    for (auto& [address, connection] : this->connections) {
      items.push_back({connection.socket.handle(), 0, ZMQ_POLLIN, 0});
      items.push_back({connection.monitor.handle(), 0, ZMQ_POLLIN, 0});
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->options.tick);
    zmq::poll(items, wait);
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      uint64_t count = 0;
      [[maybe_unused]] const auto got = read(this->wake, &count, sizeof(count));
    }
    this->ReceiveFromRouter();
    this->ReceiveFromConnections();
  }

  void ReceiveFromRouter() {
    for (int i = 0; this->router && i < kMessagesPerTurn; ++i) {
      zmq::message_t id;
      if (!this->router->recv(id, zmq::recv_flags::dontwait)) {
        return;
      }
      // A peer of ours sends one frame; whatever else follows is foreign and
      // is read to its end and dropped.
      zmq::message_t payload;
      int frames = 0;
      bool more = id.more();
      while (more && this->router->recv(payload, zmq::recv_flags::none)) {
        ++frames;
        more = payload.more();
      }
      if (frames == 1) {
        this->handlers.on_message(
            *this->owner, Peer{.routing_id = id.to_string(), .address = {}},
            View(payload));
      }
    }
  }

  void ReceiveFromConnections() {
    for (auto& [address, connection] : this->connections) {
      const Peer peer = PeerAt(address);
      zmq::message_t message;
      for (int i = 0; i < kMessagesPerTurn; ++i) {
        if (!connection.socket.recv(message, zmq::recv_flags::dontwait)) {
          break;
        }
        connection.used_at = Now();
        if (!message.more()) {
          this->handlers.on_message(*this->owner, peer, View(message));
        }
      }
      while (connection.monitor.recv(message, zmq::recv_flags::dontwait)) {
        // An event has two frames: its number, then the address.
        if (message.more() && this->handlers.on_disconnect &&
            (MonitoredEvent(message) & ZMQ_EVENT_DISCONNECTED) != 0) {
          this->handlers.on_disconnect(*this->owner, peer);
        }
      }
    }
  }

  void SendQueued() {
    while (auto item = this->outgoing.TryPop()) {
      if (!item->to.address.empty()) {
        this->SendTo(item->to.address, item->payload);
      } else if (this->router) {
        this->Answer(item->to.routing_id, item->payload);
      }
    }
  }

  void SendTo(const std::string& address, std::string_view payload) {
    auto found = this->connections.find(address);
    if (found == this->connections.end()) {
      auto connection = this->Connect(address);
      if (!connection) {
        return;
      }
      found = this->connections.emplace(address, std::move(*connection)).first;
    }
    found->second.used_at = Now();
    found->second.socket.send(zmq::buffer(payload), zmq::send_flags::dontwait);
  }

  std::optional<Connection> Connect(const std::string& address) {
    try {
      Connection connection{zmq::socket_t(this->context, ZMQ_DEALER),
                            zmq::socket_t(this->context, ZMQ_PAIR)};
      SetCommonOptions(connection.socket, this->options.max_message_bytes);
      connection.socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMillis);
      connection.socket.set(zmq::sockopt::heartbeat_timeout,
                            kHeartbeatTimeoutMillis);
      connection.socket.set(zmq::sockopt::reconnect_ivl, kReconnectMillis);
      connection.socket.set(zmq::sockopt::reconnect_ivl_max,
                            kReconnectMaxMillis);
      const std::string monitor =
          "inproc://monitor-" + std::to_string(this->next_monitor++);
      zmq_socket_monitor(connection.socket.handle(), monitor.c_str(),
                         ZMQ_EVENT_DISCONNECTED);
      connection.monitor.set(zmq::sockopt::linger, 0);
      connection.monitor.connect(monitor);
      connection.socket.connect("tcp://" + address);
      return connection;
    } catch (const zmq::error_t&) {
      return std::nullopt;
    }
  }

  // A peer that has gone away is no error: it asks again when it is back.
  void Answer(const std::string& routing_id, std::string_view payload) {
    try {
      this->router->send(zmq::buffer(routing_id),
                         zmq::send_flags::sndmore | zmq::send_flags::dontwait);
      this->router->send(zmq::buffer(payload), zmq::send_flags::dontwait);
    } catch (const zmq::error_t&) {
      ++this->unroutable;
    }
  }

  void TickIfDue() {
    const Duration now = Now();
    if (now - this->ticked_at < this->options.tick) {
      return;
    }
    this->ticked_at = now;
    if (this->handlers.on_tick) {
      this->handlers.on_tick(*this->owner);
    }
    std::erase_if(this->connections, [&](const auto& entry) {
      return now - entry.second.used_at > this->options.idle_timeout;
    });
  }

  Messenger* owner = nullptr;
  MessengerOptions options;
  MessengerHandlers handlers;
  BoundedRing<Outgoing> outgoing;
  zmq::context_t context{1};
  std::optional<zmq::socket_t> router;
  std::map<std::string, Connection> connections;
  uint64_t next_monitor = 0;
  uint64_t unroutable = 0;
  Duration ticked_at{};
  int wake = -1;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

tl::expected<std::unique_ptr<Messenger>, MessengerError> Messenger::Create(
    MessengerOptions options,
    MessengerHandlers handlers) {
  auto state = std::make_unique<State>(std::move(options), std::move(handlers));
  state->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (const std::string& address = state->options.listen; !address.empty()) {
    try {
      state->router.emplace(state->context, ZMQ_ROUTER);
      SetCommonOptions(*state->router, state->options.max_message_bytes);
      state->router->set(zmq::sockopt::router_mandatory, 1);
      state->router->bind("tcp://" + address);
    } catch (const zmq::error_t& error) {
      return tl::unexpected(MessengerError{address, error.num()});
    }
  }
  std::unique_ptr<Messenger> messenger(new Messenger(std::move(state)));
  State* const running = messenger->state.get();
  running->owner = messenger.get();
  running->thread = std::thread([running] { running->Run(); });
  return messenger;
}

Messenger::Messenger(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

Messenger::~Messenger() {
  this->state->stopping.store(true);
  this->state->Wake();
  this->state->thread.join();
}

bool Messenger::Send(const Peer& to, std::string payload) {
  if (!this->state->outgoing.Push(Outgoing{to, std::move(payload)})) {
    return false;
  }
  this->state->Wake();
  return true;
}

}  // namespace celerykeel
