#pragma once

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Client

#include <cstddef>  // for size_t
#include <memory>   // for std::unique_ptr
#include <string>   // for std::string
#include <utility>  // for std::move
#include <vector>   // for std::vector

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/gate/fakes_unittest.h"  // for FakeFeed, FakeScheduler
#include "celerykeel/gate/gate_server.h"     // for GateServer
#include "celerykeel/net/http_guard.h"       // for SplitAddress

namespace celerykeel::testing {

inline constexpr char kChat[] =
    R"({"model":"plum-7b","messages":[{"role":"user","content":"hi"}]})";
inline constexpr char kStreamedChat[] =
    R"({"model":"plum-7b","stream":true,"messages":[{"role":"user"}]})";

// Thread sanitizer on arm64 has room for about 500 threads in a process.
inline constexpr size_t kServerThreads = 64;

inline std::vector<pb::CallReply> AnswerChat(const pb::CallMessage& message) {
  const pb::CallRequest& request = message.request();
  if (!request.stream()) {
    return {Accepted(request.id()), Finished(request.id(), "{\"answer\":1}")};
  }
  return {Accepted(request.id(), false),
          Chunk(request.id(), "data: {\"a\":1}\n\n"),
          Chunk(request.id(), "data: [DONE]\n\n"), Finished(request.id(), "")};
}

/// A gate between a client and one fake scheduler.
struct GateFixture {
  explicit GateFixture(FakeScheduler::Script script = AnswerChat,
                       GateServerOptions options = {},
                       RateService* rates = nullptr)
      : scheduler_address(FreeAddress()),
        scheduler(scheduler_address, std::move(script)),
        link(OwnerLink::Create().value()),
        gate_address(FreeAddress()),
        client(SplitAddress(gate_address).host,
               SplitAddress(gate_address).port) {
    this->feed.AddMember(1, this->scheduler_address);
    options.listen = this->gate_address;
    options.limits.threads = kServerThreads;
    this->server =
        GateServer::Create(options, {.view = [this] { return feed.View(); },
                                     .link = this->link.get(),
                                     .rates = rates,
                                     .metrics = nullptr})
            .value();
    this->client.set_bearer_token_auth(kKeyText);
    this->client.set_read_timeout(20, 0);
  }

  httplib::Result PostChat(const httplib::Headers& headers = {},
                           const char* body = kChat) {
    return this->client.Post("/v1/chat/completions", headers, body,
                             "application/json");
  }

  FakeFeed feed;
  std::string scheduler_address;
  FakeScheduler scheduler;
  std::unique_ptr<OwnerLink> link;
  std::string gate_address;
  httplib::Client client;
  std::unique_ptr<GateServer> server;
};

inline std::string ProblemType(const httplib::Result& result) {
  CHECK(result->get_header_value("Content-Type") == "application/problem+json");
  return nlohmann::json::parse(result->body).at("type");
}

}  // namespace celerykeel::testing
