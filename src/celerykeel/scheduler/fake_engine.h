#pragma once

#include <httplib.h>  // for httplib::Server

#include <atomic>  // for std::atomic
#include <map>     // for std::map
#include <mutex>   // for std::mutex
#include <string>  // for std::string
#include <thread>  // for std::thread

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {

/// @brief A model engine and plain service inside a test: it answers with the
/// texts of all messages, joined, a token for each message.
class FakeEngine {
 public:
  FakeEngine() {
    this->server.Post("/v1/chat/completions",
                      [this](const auto& request, auto& response) {
                        this->Chat(request, response);
                      });
    this->server.Get(R"(/v1/requests/([^/]+))",
                     [this](const auto& request, auto& response) {
                       this->Resume(request, response);
                     });
    this->server.Delete(R"(/cache/([^/]+))",
                        [this](const auto&, auto&) { ++this->releases; });
    this->server.Get("/cache", [this](const auto&, auto& response) {
      const std::lock_guard lock(this->mutex);
      nlohmann::json holdings = nlohmann::json::object();
      if (!this->held.empty()) {
        holdings[this->held] = 16;
      }
      response.set_content(nlohmann::json{{"holdings", holdings}}.dump(),
                           "application/json");
    });
    this->server.Post("/act", [this](const auto& request, auto& response) {
      this->Act(request, response);
    });
    this->server.set_keep_alive_timeout(1);
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }

  ~FakeEngine() {
    this->hold = false;
    this->server.stop();
    this->thread.join();
  }

  uint32_t Port() const { return static_cast<uint32_t>(this->port); }

  /// @brief Holds something under a cache name.
  void Hold(const std::string& name) {
    const std::lock_guard lock(this->mutex);
    this->held = name;
  }

  std::atomic<int> chats{0};
  std::atomic<int> acts{0};
  std::atomic<int> resumes{0};
  std::atomic<int> releases{0};
  std::atomic<int> credentials{0};
  std::atomic<int> break_streams{0};  // after their first event
  std::atomic<bool> can_resume{true};
  std::atomic<bool> duplicate_events{false};
  std::atomic<bool> drop_act_answers{false};
  std::atomic<bool> hold{false};  // answers wait

 private:
  void Wait() const {
    while (this->hold) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  static nlohmann::json Delta(const std::string& id,
                              nlohmann::json delta,
                              nlohmann::json reason) {
    return {{"id", id},
            {"choices", nlohmann::json::array({{{"index", 0},
                                                {"delta", std::move(delta)},
                                                {"finish_reason", reason}}})}};
  }

  // Events of an answer from number `first` on, up to `last`.
  std::string Events(const std::string& id,
                     const nlohmann::json& messages,
                     size_t first,
                     size_t last) const {
    std::string events;
    for (size_t i = first; i <= last && i <= messages.size(); ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: " +
          Delta(id, {{"content", messages[i - 1]["content"]}}, nullptr).dump() +
          "\n\n";
      events += event;
      events += this->duplicate_events ? event : "";
    }
    if (last > messages.size()) {
      nlohmann::json end = Delta(id, nlohmann::json::object(), "stop");
      end["usage"] = {{"prompt_tokens", messages.size()},
                      {"completion_tokens", messages.size()}};
      events += "id: " + std::to_string(messages.size() + 1) +
                "\ndata: " + end.dump() + "\n\ndata: [DONE]\n\n";
    }
    return events;
  }

  void Chat(const httplib::Request& request, httplib::Response& response) {
    ++this->chats;
    this->credentials += request.has_header("Authorization") ? 1 : 0;
    this->Wait();
    const auto body = nlohmann::json::parse(request.body);
    const std::string id = request.get_header_value("Request-Id");
    {
      const std::lock_guard lock(this->mutex);
      this->requests[id] = body["messages"];
    }
    if (body.value("stream", false)) {
      this->Stream(id, body["messages"], 1, response);
      return;
    }
    std::string text;
    for (const auto& message : body["messages"]) {
      text += message["content"].get<std::string>();
    }
    const nlohmann::json answer = {
        {"id", id},
        {"choices",
         nlohmann::json::array(
             {{{"index", 0},
               {"message", {{"role", "assistant"}, {"content", text}}},
               {"finish_reason", "stop"}}})},
        {"usage", {{"prompt_tokens", 3}, {"completion_tokens", 2}}}};
    response.set_content(answer.dump(), "application/json");
  }

  void Stream(const std::string& id,
              const nlohmann::json& messages,
              size_t first,
              httplib::Response& response) {
    const bool breaks =
        this->break_streams.load() > 0 && this->break_streams.fetch_sub(1) > 0;
    const size_t last = breaks ? first : messages.size() + 1;
    response.set_chunked_content_provider(
        "text/event-stream", [events = this->Events(id, messages, first, last),
                              breaks](size_t, httplib::DataSink& sink) {
          sink.write(events.data(), events.size());
          if (!breaks) {
            sink.done();
          }
          return !breaks;
        });
  }

  void Resume(const httplib::Request& request, httplib::Response& response) {
    ++this->resumes;
    const std::lock_guard lock(this->mutex);
    const auto found = this->requests.find(request.matches[1]);
    if (!this->can_resume || found == this->requests.end()) {
      response.status = 404;
      return;
    }
    this->Stream(found->first, found->second,
                 std::stoul(request.get_param_value("from")) + 1, response);
  }

  void Act(const httplib::Request&, httplib::Response& response) {
    ++this->acts;
    this->Wait();
    if (this->drop_act_answers) {
      response.set_chunked_content_provider(
          "text/plain", [](size_t, httplib::DataSink&) { return false; });
      return;
    }
    response.set_content("done", "text/plain");
  }

  httplib::Server server;
  std::mutex mutex;
  std::map<std::string, nlohmann::json> requests;
  std::string held;
  int port = 0;
  std::thread thread;
};

}  // namespace celerykeel
