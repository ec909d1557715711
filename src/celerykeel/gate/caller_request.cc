#include "celerykeel/gate/caller_request.h"

#include <algorithm>  // for std::all_of
#include <cctype>     // for std::isalnum
#include <charconv>   // for std::from_chars
#include <limits>     // for std::numeric_limits
#include <optional>   // for std::optional

#include <fmt/format.h>       // for fmt::format
#include <xxhash.h>           // for XXH3_128bits
#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/wire/problem_json.h"  // for Refuse

namespace celerykeel {

namespace {

constexpr size_t kMaxProgramIdBytes = 256;
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr size_t kMaxModelBytes = 256;
// Whoever writes the messages out again does so by recursion.
constexpr int kMaxJsonDepth = 100;
constexpr std::string_view kCallsPart = "calls";
constexpr std::string_view kOneCallPrefix = "once-";
constexpr std::string_view kBlanks = " \t";

tl::unexpected<pb::CallRefused> Malformed(std::string_view detail) {
  return tl::unexpected(Refuse(pb::BAD_REQUEST, detail));
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number = 0;
  const char* const end = text.data() + text.size();
  if (const auto [stop, error] = std::from_chars(text.data(), end, number);
      error != std::errc() || stop != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool SetBudgetPart(std::string_view name, uint64_t amount, pb::Budget& budget) {
  const bool fits = amount <= std::numeric_limits<uint32_t>::max();
  if (name == "tokens") {
    budget.set_tokens(amount);
    return true;
  }
  if (name == "calls" && fits) {
    budget.set_calls(static_cast<uint32_t>(amount));
    return true;
  }
  if (name == "seconds" && fits) {
    budget.set_seconds(static_cast<uint32_t>(amount));
    return true;
  }
  return false;
}

bool IsIdCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
         c == '_' || c == ':' || c == '@' || c == '-';
}

bool IsIdPart(std::string_view part) {
  return !part.empty() && part != kCallsPart && part != "." && part != ".." &&
         std::all_of(part.begin(), part.end(), IsIdCharacter);
}

std::string IdOfIdempotencyKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return fmt::format("{}{:016x}{:016x}", kOneCallPrefix, hash.high64,
                     hash.low64);
}

tl::expected<void, pb::CallRefused> SetHistory(std::string_view history,
                                               pb::CallRequest& request) {
  if (history != "append" && history != "whole" && !history.empty()) {
    return Malformed("Program-History is neither append nor whole");
  }
  request.set_whole_history(history == "whole");
  return {};
}

tl::expected<void, pb::CallRefused> SetCallNumber(std::string_view call,
                                                  pb::CallRequest& request) {
  const auto number = ParseNumber<uint32_t>(call);
  if (!number || *number == 0) {
    return Malformed(call.empty()
                         ? "Program-Id needs Program-Call, a number from 1"
                         : "Program-Call is not a whole number from 1");
  }
  request.set_call(*number);
  return {};
}

}  // namespace

tl::expected<pb::Budget, pb::CallRefused> ParseBudget(std::string_view text) {
  pb::Budget budget;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view part = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
    const size_t equals = part.find('=');
    if (equals == std::string_view::npos) {
      return Malformed("Program-Budget reads tokens=N, calls=N, seconds=N");
    }
    const auto amount = ParseNumber<uint64_t>(Trim(part.substr(equals + 1)));
    if (!amount || *amount == 0 ||
        !SetBudgetPart(Trim(part.substr(0, equals)), *amount, budget)) {
      return Malformed("Program-Budget reads tokens=N, calls=N, seconds=N");
    }
  }
  return budget;
}

bool IsProgramId(std::string_view id) {
  if (id.empty() || id.size() > kMaxProgramIdBytes) {
    return false;
  }
  for (;;) {
    const size_t slash = id.find('/');
    if (!IsIdPart(id.substr(0, slash))) {
      return false;
    }
    if (slash == std::string_view::npos) {
      return true;
    }
    id.remove_prefix(slash + 1);
  }
}

tl::expected<void, pb::CallRefused> ReadProgramHeaders(
    const ProgramHeaders& headers,
    std::string_view team,
    std::string_view fresh_id,
    pb::CallRequest& request) {
  if (headers.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return Malformed("Idempotency-Key is longer than 256 bytes");
  }
  request.mutable_program()->set_team(std::string(team));
  request.set_idempotency_key(headers.idempotency_key);
  if (auto history = SetHistory(headers.history, request); !history) {
    return history;
  }
  auto budget = ParseBudget(headers.budget);
  if (!budget) {
    return tl::unexpected(budget.error());
  }
  *request.mutable_budget() = *budget;
  if (headers.id.empty()) {
    if (!headers.call.empty() || !headers.parent.empty()) {
      return Malformed("Program-Call and Program-Parent need Program-Id");
    }
    request.mutable_program()->set_id(
        headers.idempotency_key.empty()
            ? std::string(fresh_id)
            : IdOfIdempotencyKey(headers.idempotency_key));
    return {};
  }
  if (!headers.parent.empty() && !IsProgramId(headers.parent)) {
    return Malformed("Program-Parent is not the id of a program");
  }
  const std::string id = CanonicalProgramId(headers.id, headers.parent);
  if (!IsProgramId(headers.id) || !IsProgramId(id)) {
    return Malformed(
        "Program-Id holds other than letters, digits and . _ : @ - /, is "
        "longer than 256 bytes, or has a part that is empty or \"calls\"");
  }
  request.mutable_program()->set_id(id);
  request.set_parent(headers.parent);
  return SetCallNumber(headers.call, request);
}

tl::expected<void, pb::CallRefused> ReadChatBody(std::string_view body,
                                                 pb::CallRequest& request) {
  bool too_deep = false;
  const auto json = nlohmann::json::parse(
      body,
      [&too_deep](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        too_deep = too_deep || depth > kMaxJsonDepth;
        return !too_deep;
      },
      false);
  if (too_deep || json.is_discarded() || !json.is_object()) {
    return Malformed("the body is not a JSON object, or nested too deeply");
  }
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty() ||
      model->get_ref<const std::string&>().size() > kMaxModelBytes) {
    return Malformed("\"model\" is not the name of a model");
  }
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty() ||
      !std::all_of(
          messages->begin(), messages->end(),
          [](const nlohmann::json& message) { return message.is_object(); })) {
    return Malformed("\"messages\" is not a list of messages");
  }
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_boolean() && !stream->is_null()) {
    return Malformed("\"stream\" is neither true nor false");
  }
  request.set_kind(pb::CHAT);
  request.set_model(model->get<std::string>());
  request.set_stream(stream != json.end() && stream->is_boolean() &&
                     stream->get<bool>());
  request.set_body(std::string(body));
  return {};
}

tl::expected<ProgramTarget, pb::CallRefused> ParseProgramTarget(
    std::string_view path) {
  ProgramTarget target{.id = std::string(path)};
  const size_t last = path.rfind('/');
  const std::string_view before = path.substr(0, last);
  const size_t middle = before.rfind('/');
  if (last != std::string_view::npos && middle != std::string_view::npos &&
      before.substr(middle + 1) == kCallsPart) {
    const auto number = ParseNumber<uint32_t>(path.substr(last + 1));
    if (!number || *number == 0) {
      return Malformed("the number of the call is not a whole number from 1");
    }
    target = {.id = std::string(before.substr(0, middle)), .call = *number};
  }
  if (!IsProgramId(target.id)) {
    return Malformed("the path does not name a program");
  }
  return target;
}

}  // namespace celerykeel
