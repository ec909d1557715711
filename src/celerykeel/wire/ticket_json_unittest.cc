#include "celerykeel/wire/ticket_json.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TicketJsonError Fault(std::string_view text) {
  const auto parsed = ParseTicketJson(text);
  REQUIRE_FALSE(parsed.has_value());
  return parsed.error();
}

TEST_CASE("a ticket survives parsing and rendering unchanged") {
  const auto ticket = ParseTicketJson(
      R"({"number": 7, "teams": [{"id": "coop", "rate": 2.5, "burst": 5}]})");
  REQUIRE(ticket.has_value());
  CHECK(ticket->number == 7);
  CHECK(ticket->teams[0].weight == 1);
  CHECK(ParseTicketJson(TicketToJson(*ticket)) == *ticket);
  CHECK(TicketToJson(Ticket{}) == "{}");
}

TEST_CASE("64-bit integers are rendered as JSON numbers and parsed exactly") {
  Ticket ticket;
  ticket.number = (uint64_t{1} << 53) - 1;
  Model model;
  model.id = "assistant";
  model.weight_bytes = 16'000'000'001;
  ticket.models = {model};
  const std::string text = TicketToJson(ticket);
  CHECK(text.find("\"number\": 9007199254740991") != std::string::npos);
  CHECK(text.find("\"weightBytes\": 16000000001") != std::string::npos);
  CHECK(ParseTicketJson(text) == ticket);
}

TEST_CASE("an error names its field") {
  CHECK(Fault(R"({"nope": 1})").field == "nope");
  const auto inner = Fault(R"({"teams": [{"id": "a"}, {"ratee": 3}]})");
  CHECK(inner.fault == TicketJsonFault::kUnknownField);
  CHECK(inner.field == "teams[1].ratee");
  const auto value = Fault(R"({"teams": [{"rate": "fast"}]})");
  CHECK(value.fault == TicketJsonFault::kInvalidValue);
  CHECK(value.field == "teams[0].rate");
  CHECK(Fault(R"({"endpoints": [{"kind": "ENGINE"}]})").field ==
        "endpoints[0].kind");
  CHECK(Fault(R"({"number": -1})").field == "number");
}

TEST_CASE("a duplicate name is an error") {
  CHECK(Fault(R"({"number": 1, "number": 2})").field == "number");
  CHECK(ParseTicketJson(R"({"teams": [{"id": "a"}, {"id": "b"}]})"));
}

TEST_CASE("a text that is not a JSON object is reported as such") {
  for (const char* text : {"", "{", "[]", "null", "{\"number\": 1} x"}) {
    CHECK(Fault(text).fault == TicketJsonFault::kNotJson);
  }
}

}  // namespace
}  // namespace celerykeel
