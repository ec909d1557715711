#include "celerykeel/ctl/key_make.h"

#include <openssl/rand.h>  // for RAND_bytes

#include <array>    // for std::array
#include <cstdlib>  // for std::abort
#include <utility>  // for std::move

#include "celerykeel/core/roster.h"       // for FormatIncarnation
#include "celerykeel/wire/ticket_json.h"  // for TicketToJson

namespace celerykeel {

namespace {

constexpr size_t kIdDigits = 8;

template <size_t kSize>
std::array<uint8_t, kSize> RandomBytes() {
  std::array<uint8_t, kSize> bytes{};
  // Without random bytes no key may be made.
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    std::abort();
  }
  return bytes;
}

std::string MakeId(const std::string& team) {
  uint64_t number = 0;
  for (const uint8_t byte : RandomBytes<sizeof(number)>()) {
    number = number << 8 | byte;
  }
  return team + "-" + FormatIncarnation(number).substr(0, kIdDigits);
}

// The ticket's JSON of one key, without the fields that it leaves empty.
nlohmann::ordered_json KeyJson(const MintedKey& minted) {
  Ticket ticket;
  ticket.keys = {minted.key};
  return nlohmann::ordered_json::parse(TicketToJson(ticket))["keys"][0];
}

}  // namespace

MintedKey MakeKey(const CtlOptions& options) {
  const std::string id =
      options.key_id.empty() ? MakeId(options.team) : options.key_id;
  return MintKey(id, options.team, RandomBytes<kKeyRandomBytes>());
}

Ticket KeyTicket(const MintedKey& minted, const CtlOptions& options) {
  Ticket ticket;
  ticket.number = options.number;
  ticket.operator_name = options.operator_name;
  ticket.comment = "gives key " + minted.key.id;
  ticket.keys = {minted.key};
  return ticket;
}

Report ShowKey(const MintedKey& minted, const CtlOptions& options) {
  Report report;
  report.data = {{"key", minted.text}, {"for_ticket", KeyJson(minted)}};
  if (!options.ticket_file.empty()) {
    report.data["ticket_file"] = options.ticket_file;
    report.text = minted.text + "\n";
    return report;
  }
  report.text = "key, shown only now:\n" + minted.text +
                "\nfor the list \"keys\" of a ticket:\n" +
                KeyJson(minted).dump(2) + "\n";
  return report;
}

}  // namespace celerykeel
