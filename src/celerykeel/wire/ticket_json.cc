#include "celerykeel/wire/ticket_json.h"

#include <google/protobuf/util/json_util.h>  // for JsonStringToMessage

#include <algorithm>  // for std::min
#include <optional>   // for std::optional
#include <set>        // for std::set
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/wire/fleet_codec.h"  // for FromProto, ToProto

namespace celerykeel {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kUnknownFieldSuffix = ": Cannot find field.";
constexpr int kIndent = 2;

// Protobuf's JSON parser silently takes the last of two equal names in one
// object. Duplicate names are therefore rejected before it parses the text.
std::optional<std::string> FindDuplicateName(std::string_view text) {
  std::vector<std::set<std::string>> open;
  std::optional<std::string> repeated;
  const auto watch = [&](int, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      open.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      open.pop_back();
    } else if (event == Json::parse_event_t::key) {
      auto name = parsed.get<std::string>();
      if (!open.back().insert(name).second && !repeated) {
        repeated = std::move(name);
      }
    }
    return true;
  };
  const Json ignored = Json::parse(text, watch, /*allow_exceptions=*/false);
  return ignored.is_discarded() ? std::nullopt : repeated;
}

// Protobuf's messages read `(teams[0].rate): invalid value ...` for a value and
// `(teams[1]) ratee: Cannot find field.` for a name. The lines after the first
// repeat the input.
TicketJsonError FromMessage(std::string_view message) {
  TicketJsonError error;
  std::string_view rest = message;
  if (const size_t close = rest.find(')');
      rest.starts_with('(') && close != std::string_view::npos) {
    error.fault = TicketJsonFault::kInvalidValue;
    error.field = rest.substr(1, close - 1);
    rest.remove_prefix(close + 1);
  }
  if (rest.ends_with(kUnknownFieldSuffix)) {
    std::string_view name =
        rest.substr(0, rest.size() - kUnknownFieldSuffix.size());
    name.remove_prefix(name.starts_with(' ') ? 1 : 0);
    error.fault = TicketJsonFault::kUnknownField;
    error.field += error.field.empty() ? "" : ".";
    error.field += name;
    return error;
  }
  rest.remove_prefix(std::min(rest.find_first_not_of(": "), rest.size()));
  error.detail = rest.substr(0, rest.find('\n'));
  return error;
}

// Protobuf renders 64-bit integers as JSON strings.
void StringToNumber(nlohmann::ordered_json& object, const char* name) {
  if (const auto found = object.find(name); found != object.end()) {
    *found = std::stoull(found->get<std::string>());
  }
}

void StringsToNumbers(nlohmann::ordered_json& ticket,
                      const char* list,
                      const char* name) {
  if (const auto found = ticket.find(list); found != ticket.end()) {
    for (nlohmann::ordered_json& object : *found) {
      StringToNumber(object, name);
    }
  }
}

}  // namespace

tl::expected<Ticket, TicketJsonError> ParseTicketJson(std::string_view text) {
  if (auto name = FindDuplicateName(text)) {
    return tl::unexpected(TicketJsonError{TicketJsonFault::kInvalidValue,
                                          std::move(*name),
                                          "the name stands twice"});
  }
  pb::Ticket message;
  const auto status = google::protobuf::util::JsonStringToMessage(
      {text.data(), text.size()}, &message);
  if (!status.ok()) {
    return tl::unexpected(
        FromMessage({status.message().data(),
                     static_cast<size_t>(status.message().size())}));
  }
  return FromProto(message);
}

std::string TicketToJson(const Ticket& ticket) {
  std::string text;
  google::protobuf::util::MessageToJsonString(ToProto(ticket), &text);
  auto json = nlohmann::ordered_json::parse(text);
  StringToNumber(json, "number");
  StringsToNumbers(json, "models", "weightBytes");
  StringsToNumbers(json, "endpoints", "cacheTokens");
  return json.dump(kIndent);
}

std::string RenderError(const TicketJsonError& error) {
  switch (error.fault) {
    case TicketJsonFault::kUnknownField:
      return error.field +
             " is no field of a ticket; see docs/operators/tickets.md";
    case TicketJsonFault::kInvalidValue:
      return error.field + ": " + error.detail;
    case TicketJsonFault::kNotJson:
      break;
  }
  return "the ticket is no JSON object: " + error.detail;
}

}  // namespace celerykeel
