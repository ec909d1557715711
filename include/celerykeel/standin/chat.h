#pragma once

#include <cstdint>      // for uint32_t, uint64_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

namespace celerykeel {

/// @brief A body that is not a chat completion request.
struct BadChat {
  std::string detail;
};

/// @brief A request of the OpenAI chat format, as far as the stand-in engine
/// looks at it.
struct Chat {
  std::string model;
  std::string prompt;        // roles and contents, then the answer's role
  std::string last_message;  // content of the last message of a user
  bool stream = false;
  bool stream_usage = false;  // stream_options.include_usage
  uint32_t max_tokens = 0;    // 0: no limit
  uint32_t min_tokens = 0;    // the answer is lengthened to this
};

struct ChatUsage {
  uint64_t prompt_tokens = 0;
  uint64_t completion_tokens = 0;
  uint64_t cached_tokens = 0;
};

/// @brief The answer that the engine will give, known from the start.
struct ChatAnswer {
  std::string id;
  std::string model;
  std::vector<std::string> tokens;
  std::string finish_reason;
};

tl::expected<Chat, BadChat> ParseChat(std::string_view body);

/// @brief A function of the request alone: a digest of the prompt, then the
/// last user message, so that a test can tell whose answer it has.
///
///     "0123456789abcdef: which day?"
ChatAnswer MakeAnswer(const Chat& chat, std::string_view request_id);

/// @brief The body of an answer that is not streamed.
std::string RenderWhole(const ChatAnswer& answer, const ChatUsage& usage);

/// @brief The server-sent event of a token; `token` counts from 1, and one
/// after the last is the event that ends the answer.
std::string RenderEvent(const ChatAnswer& answer,
                        const ChatUsage& usage,
                        bool with_usage,
                        uint64_t token);

}  // namespace celerykeel
