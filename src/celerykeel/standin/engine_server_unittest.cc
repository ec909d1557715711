#include "celerykeel/standin/engine_server.h"

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Client

#include <thread>   // for std::thread
#include <utility>  // for std::move

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {
namespace {

using nlohmann::json;

constexpr char kChat[] = "/v1/chat/completions";

EngineServerOptions Quick() {
  EngineServerOptions options;
  options.listen = "127.0.0.1:0";
  options.model = "m";
  options.threads = 16;
  options.limits.decode_per_token = std::chrono::milliseconds(1);
  options.event_lag = {};
  options.load_lag = {};
  options.resume_grace = std::chrono::milliseconds(20);
  options.load_time = {};
  return options;
}

std::string Body(const std::string& content, bool stream, int tokens = 12) {
  return json{{"model", "m"},
              {"stream", stream},
              {"min_tokens", tokens},
              {"messages", {{{"role", "user"}, {"content", content}}}}}
      .dump();
}

struct Fixture {
  std::unique_ptr<EngineServer> server;
  httplib::Client client;

  explicit Fixture(const EngineServerOptions& options = Quick())
      : server(std::move(*EngineServer::Create(options))),
        client("127.0.0.1", this->server->Port()) {}

  httplib::Result Chat(const std::string& body,
                       const httplib::Headers& headers = {}) {
    return this->client.Post(kChat, headers, body, "application/json");
  }

  void Control(const std::string& action) {
    CHECK(this->client.Post("/control/" + action)->status == 200);
  }

  json Show(const std::string& path) {
    return json::parse(this->client.Get(path)->body);
  }

  // Waits for something that the engine does by itself.
  void WaitFor(const char* field, const json& value) {
    while (this->Show("/witness")[field] != value) {
      std::this_thread::yield();
    }
  }

  // Starts a long stream, drops the connection after its first bytes.
  void StartAndLeave(const std::string& id, int tokens) {
    httplib::Request request;
    request.method = "POST";
    request.path = kChat;
    request.headers = {{"Request-Id", id}, {"Program", "p"}};
    request.body = Body("long", true, tokens);
    request.content_receiver = [](const char*, size_t, uint64_t, uint64_t) {
      return false;
    };
    httplib::Client leaver("127.0.0.1", this->server->Port());
    CHECK_FALSE(leaver.send(request));
  }
};

std::vector<int> EventIds(const std::string& stream) {
  std::vector<int> ids;
  for (size_t at = stream.find("id: "); at != std::string::npos;
       at = stream.find("\nid: ", at + 1)) {
    ids.push_back(std::stoi(stream.substr(stream.find(' ', at) + 1)));
  }
  return ids;
}

TEST_CASE("an answer is the same whole, streamed and repeated, and runs once") {
  Fixture fixture;
  const httplib::Headers named = {{"Request-Id", "r1"}, {"Program", "p"}};
  const auto whole = fixture.Chat(Body("when?", false), named);
  REQUIRE(whole);
  REQUIRE(whole->status == 200);
  CHECK(whole->get_header_value("Request-Id") == "r1");
  CHECK(fixture.Chat(Body("when?", false), named)->body == whole->body);
  const auto streamed = fixture.Chat(Body("when?", true), named);
  const json answer = json::parse(whole->body);
  CHECK(EventIds(streamed->body).size() ==
        answer["usage"]["completion_tokens"].get<size_t>() + 1);
  CHECK(streamed->body.ends_with("data: [DONE]\n\n"));
  CHECK(fixture.Chat(Body("other", false), named)->status == 409);
  CHECK(fixture.Show("/witness")["runs"]["r1"] == 1);
}

TEST_CASE("a stream resumes where it broke") {
  Fixture fixture;
  fixture.Control("die-mid-stream?after=3");
  const auto broken = fixture.Chat(Body("long", true), {{"Request-Id", "r1"}});
  CHECK_FALSE(broken);
  const auto rest = fixture.client.Get("/v1/requests/r1?from=4");
  REQUIRE(rest);
  const auto ids = EventIds(rest->body);
  REQUIRE_FALSE(ids.empty());
  CHECK(ids.front() == 4);
  CHECK(ids.back() == 13);
}

TEST_CASE("a torn event, a duplicated one and a lost answer") {
  Fixture fixture;
  fixture.Control("torn");
  CHECK_FALSE(fixture.Chat(Body("a", true)));
  fixture.Control("duplicate?count=1");
  const auto ids = EventIds(fixture.Chat(Body("b", true))->body);
  CHECK(ids[0] == 1);
  CHECK(ids[1] == 1);
  CHECK(ids[2] == 2);
  fixture.Control("lose-answers");
  CHECK_FALSE(fixture.Chat(Body("c", false)));
}

TEST_CASE("a request is cancelled by its caller, or when nobody reads it") {
  Fixture fixture;
  fixture.StartAndLeave("r1", 100'000);
  fixture.WaitFor("cancelled", 1);
  CHECK(fixture.client.Get("/v1/requests/r1")->status == 410);
  EngineServerOptions patient = Quick();
  patient.resume_grace = std::chrono::hours(1);
  Fixture other(patient);
  other.StartAndLeave("r2", 100'000);
  CHECK(other.client.Delete("/v1/requests/r2")->status == 204);
  CHECK(other.Show("/witness")["cancelled"] == 1);
  CHECK(other.Show("/witness")["running"] == 0);
}

TEST_CASE("every other answer waits for a later one, and is not abandoned") {
  for (const bool stream : {false, true}) {
    Fixture fixture;
    fixture.Control("crossed?on=1&ms=600000");
    std::thread first([&fixture, stream] {
      httplib::Client client("127.0.0.1", fixture.server->Port());
      const auto result = client.Post(kChat, {{"Request-Id", "r1"}},
                                      Body("first", stream, 200), "");
      CHECK((result && result->body.find(R"("finish_reason":"stop")") !=
                           std::string::npos));
    });
    fixture.WaitFor("runs", {{"r1", 1}});
    fixture.WaitFor("running", 0);
    CHECK(fixture.Show("/witness")["answers"] == 0);
    CHECK(fixture.Chat(Body("second", false)));
    first.join();
    CHECK(fixture.Show("/witness")["answers"] == 2);
  }
}

TEST_CASE("a program's cache is listed, moved and dropped") {
  Fixture from;
  Fixture to;
  const std::string content(400, 'x');
  from.Chat(Body(content, false), {{"Program", "t/p"}});
  const json held = from.Show("/cache")["holdings"];
  REQUIRE(held.contains("t/p"));
  const json events = from.Show("/cache/events?from=1")["events"];
  CHECK(events.back()["held_tokens"] == held["t/p"]);
  const auto exported =
      from.client.Post("/cache/t/p/export?drop=1", "", "application/json");
  CHECK(from.Show("/cache")["holdings"].empty());
  to.client.Post("/cache/t/p/import", exported->body, "application/json");
  CHECK(to.Show("/cache")["holdings"] == held);
  const auto answer = to.Chat(Body(content, false), {{"Program", "t/p"}});
  CHECK(json::parse(
            answer->body)["usage"]["prompt_tokens_details"]["cached_tokens"] >=
        96);
  CHECK(to.client.Delete("/cache/t/p")->status == 204);
  CHECK(to.Show("/cache")["holdings"].empty());
}

TEST_CASE("orders load models, and old fences are refused where checked") {
  EngineServerOptions options = Quick();
  options.checks_fencing = true;
  Fixture fixture(options);
  const auto order = [&](int fence, const char* kind) {
    const json body = {{"fence", fence},
                       {"order", {{"kind", kind}, {"name", "m"}}}};
    return fixture.client.Post("/orders", body.dump(), "")->status;
  };
  CHECK(order(5, "unload") == 200);
  CHECK(fixture.Chat(Body("a", false))->status == 404);
  CHECK(order(4, "load") == 409);
  CHECK(order(5, "load") == 200);
  CHECK(fixture.Chat(Body("a", false), {{"Fence", "9"}, {"Program", "p"}})
            ->status == 200);
  CHECK(fixture.Chat(Body("b", false), {{"Fence", "8"}, {"Program", "p"}})
            ->status == 409);
  CHECK(fixture.Chat(Body("b", false), {{"Fence", "8"}, {"Program", "q"}})
            ->status == 200);
  CHECK(fixture.Show("/witness")["stale_fences"] == 2);
}

TEST_CASE("credentials are seen") {
  Fixture fixture;
  fixture.Chat(Body("a", false), {{"Authorization", "Bearer k"}});
  fixture.Chat(Body("b", false));
  CHECK(fixture.Show("/witness")["credentials"] == 1);
}

}  // namespace
}  // namespace celerykeel
