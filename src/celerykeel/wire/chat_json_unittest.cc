#include "celerykeel/wire/chat_json.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TEST_CASE("a request is parsed into messages and settings") {
  const auto request = ParseChatRequest(
      R"({"model":"plum","temperature":0,"stream":true,"max_tokens":7,)"
      R"("messages":[{"role":"assistant","content":"a","refusal":null,)"
      R"("tool_calls":[],"logprobs":1},{"role":"user","content":"b"}]})");
  REQUIRE(request.has_value());
  CHECK(request->model == "plum");
  CHECK(request->stream);
  CHECK(request->max_tokens == 7);
  CHECK(request->messages ==
        std::vector<std::string>{R"({"content":"a","role":"assistant"})",
                                 R"({"content":"b","role":"user"})"});
  CHECK(
      BuildChatBody(request->settings, request->messages, 5, false) ==
      R"({"model":"plum","temperature":0,"max_tokens":5,"messages":[)"
      R"({"content":"a","role":"assistant"},{"content":"b","role":"user"}]})");
}

TEST_CASE("an invalid request gives its error") {
  const auto error_of = [](std::string_view body) {
    const auto request = ParseChatRequest(body);
    REQUIRE_FALSE(request.has_value());
    return request.error();
  };
  CHECK(error_of("[") == ChatError::kNotJson);
  CHECK(error_of(R"({"messages":[]})") == ChatError::kNoMessages);
  CHECK(error_of(R"({"messages":[{}]})") == ChatError::kBadMessage);
  CHECK(error_of(R"({"messages":[{"role":"user"}],"max_tokens":-1})") ==
        ChatError::kBadSetting);
}

TEST_CASE("events split between two reads are parsed correctly") {
  const std::string bytes = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: x\n\n";
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    EventSplitter splitter;
    auto events = SplitEvents(splitter, bytes.substr(0, cut));
    for (auto& event : SplitEvents(splitter, bytes.substr(cut))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "1");
    CHECK(events[1].data == "b");
  }
}

TEST_CASE("streamed events give the message, its tool calls and the usage") {
  ChatStream stream;
  for (const char* const data :
       {R"({"id":"x","choices":[{"delta":{"content":"a"}}]})",
        R"({"id":"x","choices":[{"delta":{"tool_calls":[{"index":0,)"
        R"("id":"t","function":{"name":"book","arguments":"{"}}]}}]})",
        R"({"id":"x","choices":[{"delta":{"tool_calls":[{"index":0,)"
        R"("function":{"arguments":"}"}}]},"finish_reason":"tool_calls"}],)"
        R"("usage":{"prompt_tokens":3,"completion_tokens":2}})"}) {
    CHECK(AddChatEvent(stream, data) == ChatEvent::kText);
  }
  CHECK(AddChatEvent(stream, "[DONE]") == ChatEvent::kDone);
  CHECK(AddChatEvent(stream, "{") == ChatEvent::kUnparsable);
  CHECK(AddChatEvent(stream, R"({"id":"y","choices":[]})") ==
        ChatEvent::kOtherAnswer);
  const AssistantAnswer answer = FinishChatStream(stream);
  CHECK(answer.usage.prompt == 3);
  CHECK(answer.message ==
        R"({"content":"a","role":"assistant","tool_calls":[{"function":)"
        R"({"arguments":"{}","name":"book"},"id":"t","type":"function"}]})");
  const auto complete = ParseChatAnswer(RenderChatAnswer(stream, "plum"));
  REQUIRE(complete.has_value());
  CHECK(complete->message == answer.message);
}

}  // namespace
}  // namespace celerykeel
