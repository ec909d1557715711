#include <arpa/inet.h>  // for inet_pton

#include <algorithm>    // for std::all_of
#include <cmath>        // for std::isfinite
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string_view>  // for std::string_view

#include "celerykeel/core/ticket_check.h"
#include "celerykeel/core/ticket_objects.h"  // for ForEachKind, FieldPath

namespace celerykeel {

namespace {

// All JSON parsers represent integers up to this one exactly.
constexpr TicketNumber kMaxTicketNumber = (uint64_t{1} << 53) - 1;
constexpr size_t kMaxIdLength = 128;
constexpr size_t kMaxTextLength = 1000;
constexpr double kMaxRate = 1e9;
constexpr uint32_t kHighestPort = 65'535;
constexpr size_t kSaltDigits = 32;
constexpr size_t kDigestDigits = 64;
constexpr std::string_view kWantedId =
    "1 to 128 letters, digits or any of . _ - : / @";

struct Fault {
  std::string_view member;
  std::string_view wanted;
};

using MaybeFault = std::optional<Fault>;

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("._-:/@").find(c) != std::string_view::npos;
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), IsIdCharacter);
}

bool IsHex(std::string_view text, size_t digits) {
  return text.size() == digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsPositive(double number) {
  return std::isfinite(number) && number > 0 && number <= kMaxRate;
}

bool IsIpNumber(const std::string& text) {
  in_addr number{};
  return inet_pton(AF_INET, text.c_str(), &number) == 1;
}

bool IsMethod(std::string_view text) {
  return text.size() <= kMaxIdLength &&
         text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") ==
             std::string_view::npos;
}

MaybeFault FindFault(const Team& team) {
  if (!IsPositive(team.rate)) {
    return Fault{"rate", "requests per second, a number above 0"};
  }
  if (!IsPositive(team.burst) || team.burst < 1) {
    return Fault{"burst", "requests, a number of at least 1"};
  }
  if (!IsPositive(team.weight)) {
    return Fault{"weight", "a number above 0, or none for 1"};
  }
  if (!team.profile.empty() && !IsId(team.profile)) {
    return Fault{"profile", kWantedId};
  }
  return std::nullopt;
}

MaybeFault FindFault(const Key& key) {
  if (!IsId(key.team)) {
    return Fault{"team", kWantedId};
  }
  if (!IsHex(key.salt, kSaltDigits)) {
    return Fault{"salt", "32 lower-case hex digits, as `key make` prints"};
  }
  if (!IsHex(key.digest, kDigestDigits)) {
    return Fault{"digest", "64 lower-case hex digits, as `key make` prints"};
  }
  return std::nullopt;
}

MaybeFault FindFault(const Model& model) {
  if (!IsId(model.version)) {
    return Fault{"version", kWantedId};
  }
  return std::nullopt;
}

MaybeFault FindFault(const Adapter& adapter) {
  if (!IsId(adapter.model)) {
    return Fault{"model", kWantedId};
  }
  if (!IsId(adapter.version)) {
    return Fault{"version", kWantedId};
  }
  return std::nullopt;
}

MaybeFault FindEngineFault(const Endpoint& endpoint) {
  if (!IsId(endpoint.model)) {
    return Fault{"model", kWantedId};
  }
  if (!endpoint.service.empty()) {
    return Fault{"service", "nothing, since this is a MODEL_ENGINE"};
  }
  if (endpoint.slots == 0) {
    return Fault{"slots", "requests that it runs at once, at least 1"};
  }
  return std::nullopt;
}

MaybeFault FindServiceFault(const Endpoint& endpoint) {
  if (!IsId(endpoint.service)) {
    return Fault{"service", kWantedId};
  }
  if (!endpoint.model.empty()) {
    return Fault{"model", "nothing, since this is a PLAIN_SERVICE"};
  }
  if (!endpoint.adapters.empty()) {
    return Fault{"adapters", "nothing, since this is a PLAIN_SERVICE"};
  }
  return std::nullopt;
}

MaybeFault FindFault(const Endpoint& endpoint) {
  if (endpoint.kind == EndpointKind::kUnspecified) {
    return Fault{"kind", "MODEL_ENGINE or PLAIN_SERVICE"};
  }
  if (!IsIpNumber(endpoint.host)) {
    return Fault{"host", "an IP number, such as 10.0.3.7"};
  }
  if (endpoint.port == 0 || endpoint.port > kHighestPort) {
    return Fault{"port", "a number from 1 to 65535"};
  }
  if (!IsId(endpoint.availability_zone)) {
    return Fault{"availabilityZone", kWantedId};
  }
  return endpoint.kind == EndpointKind::kModelEngine
             ? FindEngineFault(endpoint)
             : FindServiceFault(endpoint);
}

MaybeFault FindFault(const Route& route) {
  if (!IsId(route.service)) {
    return Fault{"service", kWantedId};
  }
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.size() > kMaxTextLength) {
    return Fault{"pathPrefix", "a path that begins with /"};
  }
  if (!IsMethod(route.method)) {
    return Fault{"method", "a method in capitals, or none for all methods"};
  }
  if (!IsPositive(route.value)) {
    return Fault{"value", "a number above 0, or none for 1"};
  }
  return std::nullopt;
}

MaybeFault FindFault(const Profile& profile) {
  if (!IsPositive(profile.program_latency_weight)) {
    return Fault{"programLatencyWeight", "a number above 0, or none for 1"};
  }
  return std::nullopt;
}

std::optional<TicketRefusal> FindTicketFault(const Ticket& ticket) {
  if (ticket.number == 0 || ticket.number > kMaxTicketNumber) {
    return InvalidField{"number", "a number from 1 to 2^53 - 1"};
  }
  if (ticket.operator_name.size() > kMaxTextLength) {
    return InvalidField{"operator", "at most 1000 characters"};
  }
  if (ticket.comment.size() > kMaxTextLength) {
    return InvalidField{"comment", "at most 1000 characters"};
  }
  return std::nullopt;
}

template <typename T>
std::optional<TicketRefusal> FindObjectFault(const ObjectKind<T>& kind,
                                             const Ticket& ticket) {
  std::set<std::string_view> seen;
  size_t index = 0;
  for (const T& object : ticket.*kind.in_ticket) {
    if (!IsId(object.id)) {
      return InvalidField{FieldPath(kind.field, index, "id"),
                          std::string(kWantedId)};
    }
    if (!seen.insert(object.id).second) {
      return NamedTwice{FieldPath(kind.field, index),
                        ObjectName(kind.name, object.id)};
    }
    // Only the id of a removed object is checked.
    if (const MaybeFault fault = FindFault(object); fault && !object.removed) {
      return InvalidField{FieldPath(kind.field, index, fault->member),
                          std::string(fault->wanted)};
    }
    ++index;
  }
  return std::nullopt;
}

bool IsEmpty(const Ticket& ticket) {
  bool empty = true;
  ForEachKind([&](const auto& kind) {
    empty = empty && (ticket.*kind.in_ticket).empty();
  });
  return empty;
}

}  // namespace

tl::expected<void, TicketRefusal> CheckTicketFields(const Ticket& ticket) {
  std::optional<TicketRefusal> found = FindTicketFault(ticket);
  if (!found && IsEmpty(ticket)) {
    found = EmptyTicket{};
  }
  ForEachKind([&](const auto& kind) {
    if (!found) {
      found = FindObjectFault(kind, ticket);
    }
  });
  if (found) {
    return tl::unexpected(*found);
  }
  return {};
}

}  // namespace celerykeel
