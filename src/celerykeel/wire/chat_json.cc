#include "celerykeel/wire/chat_json.h"

#include <nlohmann/json.hpp>  // for nlohmann::json

#include <utility>  // for std::move

namespace celerykeel {

namespace {

using nlohmann::json;

constexpr std::string_view kDone = "[DONE]";

// Replaces invalid UTF-8, which JSON cannot represent.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Parse(std::string_view text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

std::string TextOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

uint64_t NumberOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<uint64_t>()
             : 0;
}

bool IsEmptyValue(const json& value) {
  return value.is_null() || (value.is_array() && value.empty());
}

bool IsModelField(const std::string& field) {
  return field == "role" || field == "content" || field == "name" ||
         field == "tool_calls";
}

// Clients may drop the fields that an engine adds to an assistant's message.
// Only the fields that a model reads are stored and compared.
std::string CanonicalMessage(json message) {
  const bool is_assistant = TextOf(message, "role") == "assistant";
  for (auto field = message.begin(); field != message.end();) {
    const bool drop = IsEmptyValue(field.value()) ||
                      (is_assistant && !IsModelField(field.key()));
    field = drop ? message.erase(field) : std::next(field);
  }
  return Dump(message);
}

TokenUsage ReadUsage(const json& answer) {
  const auto usage = answer.find("usage");
  if (usage == answer.end() || !usage->is_object()) {
    return {};
  }
  TokenUsage result{.prompt = NumberOf(*usage, "prompt_tokens"),
                    .completion = NumberOf(*usage, "completion_tokens"),
                    .cached = 0};
  if (const auto details = usage->find("prompt_tokens_details");
      details != usage->end() && details->is_object()) {
    result.cached = NumberOf(*details, "cached_tokens");
  }
  return result;
}

const json* FirstChoice(const json& answer, const char* field) {
  const auto choices = answer.find("choices");
  if (choices == answer.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return nullptr;
  }
  const auto found = choices->front().find(field);
  return found == choices->front().end() ? nullptr : &*found;
}

tl::expected<void, ChatError> ReadMessages(const json& body,
                                           ChatRequest& request) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return tl::unexpected(ChatError::kNoMessages);
  }
  for (const json& message : *messages) {
    if (!message.is_object() || TextOf(message, "role").empty()) {
      return tl::unexpected(ChatError::kBadMessage);
    }
    request.messages.push_back(CanonicalMessage(message));
  }
  return {};
}

tl::expected<void, ChatError> ReadSettings(json& body, ChatRequest& request) {
  if (const auto stream = body.find("stream");
      stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return tl::unexpected(ChatError::kBadSetting);
    }
    request.stream = stream->get<bool>();
  }
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
      continue;
    }
    if (!found->is_number_unsigned() || found->get<uint64_t>() == 0) {
      return tl::unexpected(ChatError::kBadSetting);
    }
    request.max_tokens = found->get<uint64_t>();
  }
  if (const auto options = body.find("stream_options");
      options != body.end() && options->is_object()) {
    request.wants_usage = options->value("include_usage", json()) == true;
  }
  return {};
}

void AddToolCalls(ChatStream& stream, const json& delta) {
  const auto calls = delta.find("tool_calls");
  if (calls == delta.end() || !calls->is_array()) {
    return;
  }
  for (const json& call : *calls) {
    if (!call.is_object()) {
      continue;
    }
    ToolCallParts& parts = stream.tool_calls[NumberOf(call, "index")];
    parts.id += TextOf(call, "id");
    if (std::string type = TextOf(call, "type"); !type.empty()) {
      parts.type = std::move(type);
    }
    if (const auto function = call.find("function");
        function != call.end() && function->is_object()) {
      parts.name += TextOf(*function, "name");
      parts.arguments += TextOf(*function, "arguments");
    }
  }
}

// Sets `value` if the line is `<field><value>`, with an optional space between.
// `field` ends with a colon. Returns false for other lines.
bool ReadField(std::string_view line,
               std::string_view field,
               std::string_view& value) {
  if (line.substr(0, field.size()) != field) {
    return false;
  }
  value = line.substr(field.size());
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return true;
}

ServerSentEvent ParseEvent(std::string_view text) {
  ServerSentEvent event;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    std::string_view value;
    if (ReadField(line, "id:", value)) {
      event.id = value;
    } else if (ReadField(line, "data:", value)) {
      event.data += event.data.empty() ? "" : "\n";
      event.data += value;
    }
  }
  return event;
}

// Returns where the first event ends and where the next begins; npos if the
// first is incomplete.
std::pair<size_t, size_t> FindEventEnd(std::string_view bytes) {
  const size_t plain = bytes.find("\n\n");
  const size_t windows = bytes.find("\r\n\r\n");
  if (windows < plain) {
    return {windows, windows + 4};
  }
  return {plain, plain == std::string_view::npos ? plain : plain + 2};
}

}  // namespace

tl::expected<ChatRequest, ChatError> ParseChatRequest(std::string_view body) {
  json parsed = Parse(body);
  if (!parsed.is_object()) {
    return tl::unexpected(ChatError::kNotJson);
  }
  ChatRequest request;
  request.model = TextOf(parsed, "model");
  if (const auto read = ReadMessages(parsed, request); !read) {
    return tl::unexpected(read.error());
  }
  if (const auto read = ReadSettings(parsed, request); !read) {
    return tl::unexpected(read.error());
  }
  for (const char* name : {"messages", "stream", "stream_options", "max_tokens",
                           "max_completion_tokens"}) {
    parsed.erase(name);
  }
  request.settings = Dump(parsed);
  return request;
}

std::string BuildChatBody(std::string_view settings,
                          std::span<const std::string> messages,
                          uint64_t max_tokens,
                          bool stream) {
  std::string body(settings.substr(0, settings.rfind('}')));
  body += body.size() > 1 ? "," : "";
  if (max_tokens != 0) {
    body += "\"max_tokens\":" + std::to_string(max_tokens) + ",";
  }
  if (stream) {
    body += R"("stream":true,"stream_options":{"include_usage":true},)";
  }
  body += "\"messages\":[";
  for (size_t i = 0; i < messages.size(); ++i) {
    body += i == 0 ? "" : ",";
    body += messages[i];
  }
  body += "]}";
  return body;
}

tl::expected<AssistantAnswer, ChatError> ParseChatAnswer(
    std::string_view body) {
  const json answer = Parse(body);
  if (!answer.is_object()) {
    return tl::unexpected(ChatError::kNotJson);
  }
  const json* const message = FirstChoice(answer, "message");
  if (message == nullptr || !message->is_object()) {
    return tl::unexpected(ChatError::kNoChoice);
  }
  return AssistantAnswer{CanonicalMessage(*message), ReadUsage(answer)};
}

ChatEvent AddChatEvent(ChatStream& stream, std::string_view data) {
  if (data == kDone) {
    return ChatEvent::kDone;
  }
  const json event = Parse(data);
  if (!event.is_object()) {
    return ChatEvent::kUnparsable;
  }
  if (event.contains("error")) {
    return ChatEvent::kError;
  }
  if (std::string id = TextOf(event, "id"); stream.id.empty()) {
    stream.id = std::move(id);
  } else if (id != stream.id) {
    return ChatEvent::kOtherAnswer;
  }
  if (const TokenUsage usage = ReadUsage(event); usage.prompt != 0) {
    stream.usage = usage;
  }
  const json* const delta = FirstChoice(event, "delta");
  if (delta == nullptr) {
    return ChatEvent::kUsage;
  }
  ++stream.chunks;
  if (delta->is_object()) {
    stream.content += TextOf(*delta, "content");
    AddToolCalls(stream, *delta);
  }
  if (const json* const reason = FirstChoice(event, "finish_reason");
      reason != nullptr && reason->is_string()) {
    stream.finish_reason = reason->get<std::string>();
  }
  return ChatEvent::kText;
}

AssistantAnswer FinishChatStream(const ChatStream& stream) {
  json message = {{"role", stream.role}};
  if (!stream.content.empty() || stream.tool_calls.empty()) {
    message["content"] = stream.content;
  }
  for (const auto& [index, parts] : stream.tool_calls) {
    message["tool_calls"].push_back(
        {{"id", parts.id},
         {"type", parts.type.empty() ? "function" : parts.type},
         {"function", {{"name", parts.name}, {"arguments", parts.arguments}}}});
  }
  return {CanonicalMessage(std::move(message)), stream.usage};
}

std::string RenderChatAnswer(const ChatStream& stream, std::string_view model) {
  const TokenUsage& usage = stream.usage;
  const json answer = {
      {"id", stream.id},
      {"object", "chat.completion"},
      {"model", model},
      {"choices",
       json::array({{{"index", 0},
                     {"message", Parse(FinishChatStream(stream).message)},
                     {"finish_reason", stream.finish_reason}}})},
      {"usage",
       {{"prompt_tokens", usage.prompt},
        {"completion_tokens", usage.completion},
        {"total_tokens", usage.prompt + usage.completion},
        {"prompt_tokens_details", {{"cached_tokens", usage.cached}}}}}};
  return Dump(answer);
}

std::string RenderChatEvents(std::string_view answer) {
  json event = Parse(answer);
  if (!event.is_object() || FirstChoice(event, "message") == nullptr) {
    return {};
  }
  event["object"] = "chat.completion.chunk";
  for (json& choice : event["choices"]) {
    choice["delta"] = std::move(choice["message"]);
    choice.erase("message");
    if (const auto calls = choice["delta"].find("tool_calls");
        calls != choice["delta"].end() && calls->is_array()) {
      for (size_t i = 0; i < calls->size(); ++i) {
        (*calls)[i]["index"] = i;
      }
    }
  }
  return "data: " + Dump(event) + "\n\n";
}

std::vector<ServerSentEvent> SplitEvents(EventSplitter& splitter,
                                         std::string_view bytes) {
  splitter.rest += bytes;
  std::vector<ServerSentEvent> events;
  size_t taken = 0;
  const std::string_view all = splitter.rest;
  for (auto [end, next] = FindEventEnd(all); end != std::string_view::npos;
       std::tie(end, next) = FindEventEnd(all.substr(taken))) {
    if (ServerSentEvent event = ParseEvent(all.substr(taken, end));
        !event.data.empty()) {
      events.push_back(std::move(event));
    }
    taken += next;
  }
  splitter.rest.erase(0, taken);
  return events;
}

std::optional<std::vector<std::string>> ParseCacheNames(std::string_view body) {
  const json answer = Parse(body);
  const auto holdings =
      answer.is_object() ? answer.find("holdings") : answer.end();
  if (holdings == answer.end() || !holdings->is_object()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& [name, held] : holdings->items()) {
    names.push_back(name);
  }
  return names;
}

}  // namespace celerykeel
