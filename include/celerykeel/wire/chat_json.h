#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <span>         // for std::span
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/call.h"  // for TokenUsage

namespace celerykeel {

enum class ChatError {
  kNotJson,
  kNoMessages,  // `messages` is missing or no array
  kBadMessage,  // a message is no object, or has no role
  kBadSetting,  // `stream` or `max_tokens` has another type
  kNoChoice,    // an answer without a message
};

/// @brief An OpenAI chat request, with its messages apart from the rest.
struct ChatRequest {
  std::vector<std::string> messages;  // JSON, in canonical form
  std::string settings;  // JSON object without messages, stream, max_tokens
  std::string model;
  bool stream = false;
  bool wants_usage = false;  // stream_options.include_usage
  uint64_t max_tokens = 0;   // 0: not given
};

/// @brief Reads the body of a chat request.
tl::expected<ChatRequest, ChatError> ParseChatRequest(std::string_view body);

/// @brief The body of a request to an engine.
std::string BuildChatBody(std::string_view settings,
                          std::span<const std::string> messages,
                          uint64_t max_tokens,
                          bool stream);

/// @brief What the history and the budget take from an answer.
struct AssistantAnswer {
  std::string message;  // JSON of the assistant's message, in canonical form
  TokenUsage usage;
};

/// @brief Reads a whole answer of an engine.
tl::expected<AssistantAnswer, ChatError> ParseChatAnswer(std::string_view body);

struct ToolCallParts {
  std::string id;
  std::string type;
  std::string name;
  std::string arguments;
};

/// @brief A streamed answer as far as it has come.
struct ChatStream {
  std::string id;  // of the answer, the same in all its events
  std::string finish_reason;
  std::string role = "assistant";
  std::string content;
  std::map<uint64_t, ToolCallParts> tool_calls;  // by index
  TokenUsage usage;
  uint64_t chunks = 0;
};

/// @brief What one event of a stream holds.
enum class ChatEvent {
  kText,     // part of the answer
  kUsage,    // only the usage
  kDone,     // [DONE]
  kError,    // the engine reports a failure
  kTorn,     // cannot be read
  kForeign,  // part of another answer
};

/// @brief Adds the data of one server-sent event to the stream.
ChatEvent AddChatEvent(ChatStream& stream, std::string_view data);

AssistantAnswer FinishChatStream(const ChatStream& stream);

/// @brief The whole answer that a streamed one adds up to.
std::string RenderChatAnswer(const ChatStream& stream, std::string_view model);

/// @brief A whole answer as the events of a stream, without [DONE].
std::string RenderChatEvents(std::string_view answer);

inline constexpr std::string_view kChatDoneEvent = "data: [DONE]\n\n";

/// @brief One server-sent event.
struct ServerSentEvent {
  std::string id;
  std::string data;
};

/// @brief Cuts a stream of bytes into server-sent events.
struct EventSplitter {
  std::string rest;  // bytes of an event that is not whole
};

/// @return the events that became whole with `bytes`.
std::vector<ServerSentEvent> SplitEvents(EventSplitter& splitter,
                                         std::string_view bytes);

/// @brief The names in an engine's answer to GET /cache; nothing if it cannot
/// be read.
std::optional<std::vector<std::string>> ParseCacheNames(std::string_view body);

}  // namespace celerykeel
