// Reads a ticket as operators write it, and passes it through the log's form.
#include <cstdio>   // for std::printf
#include <variant>  // for std::get

#include "celerykeel/wire/fleet_codec.h"  // for EncodeFleetRecord
#include "celerykeel/wire/ticket_json.h"  // for ParseTicketJson

int main() {
  const auto wrong =
      celerykeel::ParseTicketJson(R"({"teams": [{"ratee": 5}]})");
  std::printf("%s\n", RenderError(wrong.error()).c_str());

  const auto ticket = celerykeel::ParseTicketJson(
      R"({"number": 7, "teams": [{"id": "coop", "rate": 5, "burst": 10}]})");
  const std::string record = celerykeel::EncodeFleetRecord(*ticket);
  const auto decoded = celerykeel::DecodeFleetRecord(record);
  std::printf("%zu bytes in the log\n%s\n", record.size(),
              TicketToJson(std::get<celerykeel::Ticket>(decoded)).c_str());
  return std::get<celerykeel::Ticket>(decoded) == *ticket ? 0 : 1;
}
