#include "celerykeel/standin/engine_server.h"

#include <httplib.h>  // for httplib::Server

#include <atomic>   // for std::atomic
#include <utility>  // for std::move

#include <fmt/format.h>       // for fmt::format
#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/standin/chat.h"         // for ParseChat
#include "celerykeel/standin/credentials.h"  // for HasCredential
#include "celerykeel/standin/http_host.h"    // for HttpHost
#include "celerykeel/standin/tokens.h"       // for SplitTokens

namespace celerykeel {

namespace {

constexpr char kJson[] = "application/json";

void Refuse(httplib::Response& response, int status, std::string_view detail) {
  response.status = status;
  const nlohmann::json body = {{"error", {{"message", detail}}}};
  response.set_content(body.dump(), kJson);
}

}  // namespace

struct EngineServer::State {
  EngineServerOptions options;
  std::atomic<uint64_t> requests = 0;
  std::atomic<uint64_t> credentials = 0;
  std::unique_ptr<HttpHost> host;

  void Complete(const httplib::Request& request, httplib::Response& response) {
    const uint64_t number = ++this->requests;
    this->credentials += HasCredential(request) ? 1 : 0;
    const auto chat = ParseChat(request.body);
    if (!chat) {
      return Refuse(response, 400, chat.error().detail);
    }
    const std::string id = request.has_header("Request-Id")
                               ? request.get_header_value("Request-Id")
                               : fmt::format("unnamed-{}", number);
    const ChatAnswer answer = MakeAnswer(*chat, id);
    const ChatUsage usage{.prompt_tokens = SplitTokens(chat->prompt).size(),
                          .completion_tokens = answer.tokens.size(),
                          .cached_tokens = 0};
    if (!chat->stream) {
      return response.set_content(RenderWhole(answer, usage), kJson);
    }
    response.set_chunked_content_provider(
        "text/event-stream", [answer, usage](size_t, httplib::DataSink& sink) {
          for (uint64_t token = 1; token <= answer.tokens.size() + 1; ++token) {
            const std::string event = RenderEvent(answer, usage, true, token);
            if (!sink.write(event.data(), event.size())) {
              return false;
            }
          }
          sink.done();
          return true;
        });
  }

  void Witness(httplib::Response& response) const {
    const nlohmann::json witness = {{"requests", this->requests.load()},
                                    {"credentials", this->credentials.load()},
                                    {"holdings", nlohmann::json::object()}};
    response.set_content(witness.dump(), kJson);
  }
};

tl::expected<std::unique_ptr<EngineServer>, ListenError> EngineServer::Create(
    const EngineServerOptions& options) {
  auto state = std::make_unique<State>();
  State* const running = state.get();
  running->options = options;
  const auto add_routes = [running](httplib::Server& server) {
    server.Post("/v1/chat/completions",
                [running](const auto& request, auto& response) {
                  running->Complete(request, response);
                });
    server.Get("/witness", [running](const auto&, auto& response) {
      running->Witness(response);
    });
    server.Get("/load", [](const auto&, auto& response) {
      response.set_content(R"({"running":0,"waiting":0})", kJson);
    });
    server.Get("/cache", [](const auto&, auto& response) {
      response.set_content(R"({"holdings":{}})", kJson);
    });
  };
  auto host = HttpHost::Create({.listen = options.listen,
                                .threads = options.threads,
                                .add_routes = add_routes});
  if (!host) {
    return tl::unexpected(host.error());
  }
  running->host = std::move(*host);
  return std::unique_ptr<EngineServer>(new EngineServer(std::move(state)));
}

EngineServer::EngineServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

EngineServer::~EngineServer() = default;

int EngineServer::Port() const {
  return this->state->host->Port();
}

}  // namespace celerykeel
