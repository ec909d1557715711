#include "celerykeel/net/http_guard.h"

#include <httplib.h>  // for httplib::Server, httplib::ThreadPool

#include <charconv>  // for std::from_chars

namespace celerykeel {

namespace {

bool IsDigits(const std::string& text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

std::pair<time_t, time_t> SecondsAndMicros(Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds);
  return {seconds.count(), micros.count()};
}

}  // namespace

bool HasAmbiguousLength(const httplib::Request& request) {
  const size_t lengths = request.get_header_value_count("Content-Length");
  if (lengths > 1 ||
      (lengths == 1 && request.has_header("Transfer-Encoding"))) {
    return true;
  }
  return lengths == 1 && !IsDigits(request.get_header_value("Content-Length"));
}

void ConfigureServer(httplib::Server& server,
                     const HttpServerOptions& options) {
  server.new_task_queue = [threads = options.threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_payload_max_length(options.max_body_bytes);
  const auto [read_seconds, read_micros] =
      SecondsAndMicros(options.read_timeout);
  server.set_read_timeout(read_seconds, read_micros);
  const auto [write_seconds, write_micros] =
      SecondsAndMicros(options.write_timeout);
  server.set_write_timeout(write_seconds, write_micros);
  server.set_keep_alive_timeout(
      SecondsAndMicros(options.keep_alive_timeout).first);
  server.set_tcp_nodelay(true);
  server.set_pre_routing_handler(
      [](const httplib::Request& request, httplib::Response& response) {
        if (!HasAmbiguousLength(request)) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        response.status = 400;
        response.set_header("Connection", "close");
        response.set_content(
            R"({"type":"bad-request","title":"Bad request",)"
            R"("detail":"the length of the body is ambiguous","ran":"no"})",
            "application/problem+json");
        return httplib::Server::HandlerResponse::Handled;
      });
}

HostPort SplitAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return {address, 0};
  }
  HostPort result{address.substr(0, colon), 0};
  std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                  result.port);
  return result;
}

}  // namespace celerykeel
