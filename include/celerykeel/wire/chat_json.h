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
  kNoMessages,  // `messages` is missing or not an array
  kBadMessage,  // a message is not an object, or has no role
  kBadSetting,  // `stream` or `max_tokens` has the wrong type
  kNoChoice,    // an answer without a message
};

/// @brief An OpenAI chat request, with its messages separated from its
/// settings.
struct ChatRequest {
  std::vector<std::string> messages;  // JSON, in canonical form
  std::string settings;  // JSON object without messages, stream, max_tokens
  std::string model;
  bool stream = false;
  bool wants_usage = false;  // stream_options.include_usage
  uint64_t max_tokens = 0;   // 0: not given
};

/// @brief Parses the body of a chat request.
tl::expected<ChatRequest, ChatError> ParseChatRequest(std::string_view body);

/// @brief Builds the body of a request to an engine.
std::string BuildChatBody(std::string_view settings,
                          std::span<const std::string> messages,
                          uint64_t max_tokens,
                          bool stream);

/// @brief The parts of an answer that enter the history and the budget.
struct AssistantAnswer {
  std::string message;  // JSON of the assistant's message, in canonical form
  TokenUsage usage;
};

/// @brief Parses a complete answer of an engine.
tl::expected<AssistantAnswer, ChatError> ParseChatAnswer(std::string_view body);

struct ToolCallParts {
  std::string id;
  std::string type;
  std::string name;
  std::string arguments;
};

/// @brief The part of a streamed answer that was received so far.
struct ChatStream {
  std::string id;  // of the answer, the same in all its events
  std::string finish_reason;
  std::string role = "assistant";
  std::string content;
  std::map<uint64_t, ToolCallParts> tool_calls;  // by index
  TokenUsage usage;
  uint64_t chunks = 0;
};

/// @brief Content of one event of a stream.
enum class ChatEvent {
  kText,         // part of the answer, text or tool calls
  kUsage,        // no part of the answer, at most the usage
  kDone,         // [DONE]
  kError,        // the engine reports a failure
  kUnparsable,   // cannot be parsed
  kOtherAnswer,  // part of another answer
};

/// @brief Adds the data of one server-sent event to the stream.
ChatEvent AddChatEvent(ChatStream& stream, std::string_view data);

AssistantAnswer FinishChatStream(const ChatStream& stream);

/// @brief Renders a streamed answer as one complete JSON answer.
std::string RenderChatAnswer(const ChatStream& stream, std::string_view model);

/// @brief Renders a complete answer as the single event of a stream, without
/// [DONE]. Returns an empty string if the answer has no message.
std::string RenderChatEvents(std::string_view answer);

inline constexpr std::string_view kChatDoneEvent = "data: [DONE]\n\n";

/// @brief One server-sent event.
struct ServerSentEvent {
  std::string id;
  std::string data;
};

/// @brief State for splitting a stream of bytes into server-sent events.
struct EventSplitter {
  std::string rest;  // bytes of an incomplete event
};

/// @brief Adds bytes of the stream.
/// @return the events that are now complete and have data.
std::vector<ServerSentEvent> SplitEvents(EventSplitter& splitter,
                                         std::string_view bytes);

/// @brief Parses the names in an engine's answer to GET /cache; nullopt if it
/// is invalid.
std::optional<std::vector<std::string>> ParseCacheNames(std::string_view body);

}  // namespace celerykeel
