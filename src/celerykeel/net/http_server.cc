#include "celerykeel/net/http_server.h"

#include <httplib.h>     // for httplib::Server, httplib::TaskQueue
#include <poll.h>        // for poll
#include <sys/socket.h>  // for listen, recv, send, shutdown

#include <atomic>   // for std::atomic
#include <deque>    // for std::deque
#include <thread>   // for std::thread
#include <utility>  // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/net/socket_stream.h"  // for SocketStream

namespace celerykeel {

namespace {

constexpr int kBacklog = 1024;  // the library's own is 5
constexpr Duration kStopCheck = std::chrono::milliseconds(100);
constexpr size_t kMaxRequestsPerConnection = 1'000'000;
constexpr size_t kMaxLingering = 256;
constexpr Duration kLinger = std::chrono::seconds(1);
constexpr int kDrainPollMillis = 50;
constexpr size_t kMaxTargetBytes = 4096;
constexpr size_t kMaxHeaderBytes = 65'536;

thread_local bool refuse_connection = false;
// The request reached the handler, so its body was read to its end.
thread_local bool request_was_read = false;
thread_local SocketStream* current_stream = nullptr;

// A pool whose every task has a thread at once; a task beyond that runs in the
// accepting thread, marked to be refused there.
class BoundedPool : public httplib::TaskQueue {
 public:
  BoundedPool(size_t thread_count, std::atomic<uint64_t>& running_count)
      : pool(thread_count), limit(thread_count), running(running_count) {}

  void enqueue(std::function<void()> task) override {
    if (this->running.load() >= this->limit) {
      refuse_connection = true;
      task();
      refuse_connection = false;
      return;
    }
    ++this->running;
    this->pool.enqueue([this, task = std::move(task)] {
      task();
      --this->running;
    });
  }

  void shutdown() override { this->pool.shutdown(); }

 private:
  httplib::ThreadPool pool;
  const size_t limit;
  std::atomic<uint64_t>& running;
};

// Refused connections stay open for a moment: a close with unread bytes would
// reset the connection, and the caller would not see its answer. Used by the
// accepting thread only.
class LingeringSockets {
 public:
  ~LingeringSockets() {
    while (!this->sockets.empty()) {
      this->CloseOldest();
    }
  }

  void Add(int fd) {
    const Duration now = Now();
    while (!this->sockets.empty() &&
           (this->sockets.size() >= kMaxLingering ||
            this->sockets.front().second + kLinger < now)) {
      this->CloseOldest();
    }
    this->sockets.emplace_back(fd, now);
  }

 private:
  void CloseOldest() {
    close(this->sockets.front().first);
    this->sockets.pop_front();
  }

  std::deque<std::pair<int, Duration>> sockets;
};

// Takes what the caller still sends, so that the answer is not lost to a
// reset.
void DrainBriefly(int fd) {
  char bytes[4096];
  const Duration until = Now() + kLinger;
  while (Now() < until) {
    pollfd item{.fd = fd, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, kDrainPollMillis) <= 0 ||
        recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

size_t HeaderBytes(const httplib::Request& request) {
  size_t total = 0;
  for (const auto& [name, value] : request.headers) {
    total += name.size() + value.size();
  }
  return total;
}

// Runs once the head is read, before the library looks at it.
void NormalizeHead(httplib::Request& request) {
  // Answers are whole and as they came: no ranges, no compression.
  request.ranges.clear();
  request.headers.erase("Range");
  request.headers.erase("Accept-Encoding");
  request.headers.erase(kBodyTypeHeader);
  if (const auto type = request.headers.find("Content-Type");
      type != request.headers.end()) {
    std::string value = type->second;
    request.headers.erase("Content-Type");
    request.headers.emplace(kBodyTypeHeader, std::move(value));
  }
  // Without a length the library would read until the connection ends.
  if (!request.has_header("Content-Length") &&
      !request.has_header("Transfer-Encoding")) {
    request.headers.emplace("Content-Length", "0");
  }
}

bool HasUnknownEncoding(const httplib::Request& request) {
  const size_t count = request.get_header_value_count("Transfer-Encoding");
  return count > 1 || (count == 1 && request.get_header_value(
                                         "Transfer-Encoding") != "chunked");
}

int RefusalStatus(const httplib::Request& request) {
  if (HasAmbiguousLength(request) || HasUnknownEncoding(request)) {
    return 400;
  }
  if (request.target.size() > kMaxTargetBytes) {
    return 414;
  }
  if (HeaderBytes(request) > kMaxHeaderBytes) {
    return 431;
  }
  if (request.has_header("Content-Encoding")) {
    return 415;
  }
  return 0;
}

}  // namespace

// The library leaves the handling of a connection to this one virtual
// function; overriding it is the only way to the socket.
class GuardedServer : public httplib::Server {
 public:
  explicit GuardedServer(HttpServer::Options given_options)
      : options(std::move(given_options)) {}

  void RaiseBacklog() { ::listen(this->svr_sock_.load(), kBacklog); }

  const HttpServer::Options options;
  std::atomic<uint64_t> running{0};
  std::atomic<uint64_t> refused{0};
  std::atomic<bool> close_after_answer{false};

 private:
  bool process_and_close_socket(int fd) override {
    if (refuse_connection) {
      this->Refuse(fd);
      return false;
    }
    this->Serve(fd);
    ::shutdown(fd, SHUT_WR);
    DrainBriefly(fd);
    close(fd);
    return true;
  }

  void Refuse(int fd) {
    ++this->refused;
    const std::string& body = this->options.busy_answer;
    const std::string answer =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Connection: close\r\nContent-Type: application/problem+json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(fd, SHUT_WR);
    this->lingering.Add(fd);
  }

  void Serve(int fd) {
    const HttpServerOptions& limits = this->options.limits;
    SocketStream stream(
        fd, {.request_timeout = limits.read_timeout,
             .write_timeout = limits.write_timeout,
             .request_bytes = limits.max_body_bytes * 2 + kMaxHeaderBytes * 2});
    current_stream = &stream;
    bool closed = false;
    while (!closed && this->WaitForRequest(stream)) {
      stream.BeginRequest();
      request_was_read = false;
      const bool last = this->IsCrowded() || this->close_after_answer.load();
      if (!this->process_request(stream, last, closed, NormalizeHead)) {
        break;
      }
      closed = closed || last || !request_was_read;
    }
    current_stream = nullptr;
  }

  // An idle connection would keep its thread from others.
  bool IsCrowded() const {
    return this->running.load() * 4 > this->options.limits.threads * 3;
  }

  bool WaitForRequest(const SocketStream& stream) const {
    const Duration until = Now() + this->options.limits.keep_alive_timeout;
    while (this->svr_sock_.load() != INVALID_SOCKET && Now() < until) {
      if (stream.WaitForRequest(kStopCheck)) {
        return true;
      }
      if (this->close_after_answer.load() || this->IsCrowded()) {
        return stream.WaitForRequest(kStopCheck);
      }
    }
    return false;
  }

  LingeringSockets lingering;
};

struct HttpServer::State {
  explicit State(Options options) : server(std::move(options)) {}

  GuardedServer server;
  std::thread thread;
};

tl::expected<std::unique_ptr<HttpServer>, ListenError> HttpServer::Create(
    Options options) {
  auto state = std::make_unique<State>(std::move(options));
  GuardedServer& server = state->server;
  const HttpServerOptions& limits = server.options.limits;
  ConfigureServer(server, limits);
  server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server.new_task_queue = [&server] {
    return new BoundedPool(server.options.limits.threads, server.running);
  };
  server.set_pre_routing_handler(
      [&server](const httplib::Request& request, httplib::Response& response) {
        const int status = RefusalStatus(request);
        if (status == 0) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        // The body stays unread, so nothing may follow it.
        response.status = status;
        response.set_header("Connection", "close");
        server.options.on_error(status, response);
        return httplib::Server::HandlerResponse::Handled;
      });
  server.set_error_handler(httplib::Server::HandlerWithResponse(
      [&server](const httplib::Request&, httplib::Response& response) {
        if (!request_was_read && current_stream->IsOverLimit()) {
          response.status = 413;
        }
        if (response.body.empty()) {
          server.options.on_error(response.status, response);
        }
        return httplib::Server::HandlerResponse::Handled;
      }));
  server.set_exception_handler([&server](const httplib::Request&,
                                         httplib::Response& response,
                                         const std::exception_ptr&) {
    response.status = 500;
    server.options.on_error(response.status, response);
  });
  const httplib::Server::Handler handler =
      [&server](const httplib::Request& request, httplib::Response& response) {
        request_was_read = true;
        // The library bounds a body with a length only; of one in chunks the
        // stream bounds the bytes that are taken in at all.
        if (request.body.size() > server.options.limits.max_body_bytes) {
          response.status = 413;
          server.options.on_error(response.status, response);
          return;
        }
        server.options.handler(request, response);
      };
  constexpr char kAny[] = R"([\s\S]*)";
  server.Get(kAny, handler);
  server.Post(kAny, handler);
  server.Put(kAny, handler);
  server.Patch(kAny, handler);
  server.Delete(kAny, handler);
  server.Options(kAny, handler);
  const auto [host, port] = SplitAddress(server.options.listen);
  if (!server.bind_to_port(host, port)) {
    return tl::unexpected(ListenError{server.options.listen});
  }
  server.RaiseBacklog();
  state->thread = std::thread([&server] { server.listen_after_bind(); });
  // A stop before the server runs would be lost.
  while (!server.is_running()) {
    std::this_thread::yield();
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

HttpServer::~HttpServer() {
  this->Stop();
}

void HttpServer::Stop() {
  if (this->state->thread.joinable()) {
    this->state->server.close_after_answer.store(true);
    this->state->server.stop();
    this->state->thread.join();
  }
}

void HttpServer::CloseConnectionsAfterAnswers() {
  this->state->server.close_after_answer.store(true);
}

HttpServer::Counters HttpServer::Count() const {
  return {.connections = this->state->server.running.load(),
          .refused = this->state->server.refused.load()};
}

bool CallerIsConnected() {
  return current_stream == nullptr || current_stream->IsConnected();
}

}  // namespace celerykeel
