#include "celerykeel/standin/chat.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for std::max

#include <fmt/format.h>       // for fmt::format
#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/standin/tokens.h"  // for SplitTokens

namespace celerykeel {

namespace {

using nlohmann::json;

constexpr char kFiller[] = " and";  // one token

std::string TextOf(const json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  if (content.is_array()) {
    for (const json& part : content) {
      if (part.is_object() && part.contains("text") &&
          part["text"].is_string()) {
        text += part["text"].get<std::string>();
      }
    }
  }
  return text;
}

uint32_t NumberOf(const json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_number_unsigned()
             ? found->get<uint32_t>()
             : 0;
}

json UsageJson(const ChatUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

json Envelope(const ChatAnswer& answer, const char* object, json choice) {
  return {{"id", answer.id},
          {"object", object},
          {"created", 0},
          {"model", answer.model},
          {"choices", json::array({std::move(choice)})}};
}

std::string ServerSentEvent(uint64_t id, const json& data) {
  return fmt::format("id: {}\ndata: {}\n\n", id, data.dump());
}

}  // namespace

tl::expected<Chat, BadChat> ParseChat(std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("messages") ||
      !parsed["messages"].is_array() || parsed["messages"].empty()) {
    return tl::unexpected(BadChat{"messages must be a list with an entry"});
  }
  Chat chat;
  chat.model = parsed.contains("model") && parsed["model"].is_string()
                   ? parsed["model"].get<std::string>()
                   : "";
  for (const json& message : parsed["messages"]) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return tl::unexpected(BadChat{"a message must have a role"});
    }
    const auto role = message["role"].get<std::string>();
    const std::string text =
        message.contains("content") ? TextOf(message["content"]) : "";
    chat.prompt += role + text;
    if (role == "user") {
      chat.last_message = text;
    }
  }
  // The answer becomes part of the next prompt, which then extends this one.
  chat.prompt += "assistant";
  chat.stream = parsed.contains("stream") && parsed["stream"] == true;
  if (const auto found = parsed.find("stream_options");
      found != parsed.end() && found->is_object()) {
    chat.stream_usage =
        found->contains("include_usage") && (*found)["include_usage"] == true;
  }
  chat.max_tokens = std::max(NumberOf(parsed, "max_tokens"),
                             NumberOf(parsed, "max_completion_tokens"));
  chat.min_tokens = NumberOf(parsed, "min_tokens");
  return chat;
}

ChatAnswer MakeAnswer(const Chat& chat, std::string_view request_id) {
  const uint64_t digest = XXH3_64bits(chat.prompt.data(), chat.prompt.size());
  ChatAnswer answer{.id = std::string(request_id),
                    .model = chat.model,
                    .tokens = SplitTokens(
                        fmt::format("{:016x}: {}", digest, chat.last_message)),
                    .finish_reason = "stop"};
  while (answer.tokens.size() < chat.min_tokens) {
    answer.tokens.emplace_back(kFiller);
  }
  if (chat.max_tokens > 0 && answer.tokens.size() > chat.max_tokens) {
    answer.tokens.resize(chat.max_tokens);
    answer.finish_reason = "length";
  }
  return answer;
}

std::string RenderWhole(const ChatAnswer& answer, const ChatUsage& usage) {
  std::string text;
  for (const std::string& token : answer.tokens) {
    text += token;
  }
  json body = Envelope(answer, "chat.completion",
                       {{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", text}}},
                        {"finish_reason", answer.finish_reason}});
  body["usage"] = UsageJson(usage);
  return body.dump();
}

std::string RenderEvent(const ChatAnswer& answer,
                        const ChatUsage& usage,
                        bool with_usage,
                        uint64_t token) {
  constexpr char kObject[] = "chat.completion.chunk";
  if (token <= answer.tokens.size()) {
    json delta = {{"content", answer.tokens[token - 1]}};
    if (token == 1) {
      delta["role"] = "assistant";
    }
    return ServerSentEvent(token, Envelope(answer, kObject,
                                           {{"index", 0},
                                            {"delta", std::move(delta)},
                                            {"finish_reason", nullptr}}));
  }
  json last = Envelope(answer, kObject,
                       {{"index", 0},
                        {"delta", json::object()},
                        {"finish_reason", answer.finish_reason}});
  if (with_usage) {
    last["usage"] = UsageJson(usage);
  }
  return ServerSentEvent(token, last) + "data: [DONE]\n\n";
}

}  // namespace celerykeel
