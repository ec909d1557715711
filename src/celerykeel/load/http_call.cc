#include "celerykeel/load/http_call.h"

#include <httplib.h>          // for httplib::Client
#include <nlohmann/json.hpp>  // for nlohmann::json

#include <string_view>  // for std::string_view

#include "celerykeel/base/clock.h"      // for Now
#include "celerykeel/net/http_guard.h"  // for SplitAddress

namespace celerykeel {

namespace {

constexpr int kReadSeconds = 60;
constexpr std::string_view kEnd = "data: [DONE]";

httplib::Headers HeadersOf(const LoadCall& call) {
  httplib::Headers headers;
  if (!call.key.empty()) {
    headers.emplace("Authorization", "Bearer " + call.key);
  }
  if (!call.program.empty()) {
    headers.emplace("Program-Id", call.program);
    headers.emplace("Program-Call", std::to_string(call.call));
  }
  return headers;
}

std::string BodyOf(const LoadCall& call) {
  return nlohmann::json{
      {"model", call.model},
      {"stream", true},
      {"max_tokens", call.max_tokens},
      {"messages", {{{"role", "user"}, {"content", call.prompt}}}}}
      .dump();
}

uint64_t CountEvents(std::string_view text) {
  uint64_t count = 0;
  for (size_t at = text.find("\n\n"); at != std::string_view::npos;
       at = text.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

}  // namespace

LoadResult RunLoadCall(const LoadCall& call) {
  const auto [host, port] = SplitAddress(call.address);
  httplib::Client client(host, port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(kReadSeconds);
  LoadResult result;
  std::string text;
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = HeadersOf(call);
  request.headers.emplace("Content-Type", "application/json");
  request.body = BodyOf(call);
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    if (text.empty()) {
      result.first_event_at = Now();
    }
    text.append(data, size);
    return true;
  };
  const auto answer = client.send(request);
  result.finished_at = Now();
  result.status = answer ? answer->status : 0;
  result.whole = text.find(kEnd) != std::string::npos;
  result.events = CountEvents(text);
  return result;
}

}  // namespace celerykeel
