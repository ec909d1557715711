#pragma once

#include <cstdint>      // for uint32_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"  // for Duration, WallMillis

namespace celerykeel {

/// @brief What an endpoint says of itself.
struct EndpointEntry {
  std::string id;  // of this start; an address may be used by others later
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  uint32_t slots = 1;
  bool leaving = false;  // serves what it has, takes nothing new
  Duration warming{};    // it stays slow for so long
  WallMillis started_at = 0;
  uint64_t beat = 0;  // grows with each entry of one start
};

/// @brief An endpoint, and what this instance knows of it.
struct EndpointStatus {
  EndpointEntry entry;
  uint32_t in_flight = 0;             // calls of this instance
  uint32_t in_flight_peers = 0;       // calls of the others, as last told
  std::optional<Duration> lapsed_at;  // its entry went while the store was away
  Duration avoid_until{};             // after failures
  uint32_t failures = 0;              // in a row
};

/// @brief The endpoints of all services, by id.
struct EndpointTable {
  std::map<std::string, EndpointStatus, std::less<>> endpoints;
  // Endpoints that said in an answer that they leave, and when that start of
  // theirs began. Kept apart, as an entry may lapse and come back.
  std::map<std::string, WallMillis, std::less<>> departures;
  // When the store was last found to be back after it had been away.
  std::optional<Duration> store_back_at;
};

/// @brief Takes an entry, unless it is of an earlier start than the one known.
void NoteEntry(EndpointTable& table, const EndpointEntry& entry);

/// @brief The entry of an endpoint was removed. If the store was away shortly
/// before, the endpoint may live and has `kReturnTime` to come back.
void NoteRemoved(EndpointTable& table, std::string_view id, Duration now);

/// @brief An answer of the endpoint said that it leaves. Its entry may still
/// say otherwise; only a newer start of it takes work again.
/// @param started_at of the start that the answer came from.
/// @return true if this is news.
bool NoteDeparture(EndpointTable& table,
                   std::string_view id,
                   WallMillis started_at);

/// @brief Drops endpoints whose time to come back is over.
void DropLapsed(EndpointTable& table, Duration now);

/// @brief A call at the endpoint failed in a way that speaks against it.
void NoteFailure(EndpointTable& table, std::string_view id, Duration now);
void NoteSuccess(EndpointTable& table, std::string_view id);

/// @brief What a call asks of an endpoint.
struct EndpointWish {
  std::string_view service;
  std::string_view zone;         // of this instance
  std::string_view subject;      // calls on one subject prefer one endpoint
  std::string_view preferred;    // id that served the subject last, if known
  bool prefers_subject = false;  // else the least loaded is chosen
  const std::set<std::string>* excluded = nullptr;  // tried already
};

/// @brief Chooses an endpoint; nullptr if the service has none to offer.
EndpointStatus* ChooseEndpoint(EndpointTable& table,
                               const EndpointWish& wish,
                               Duration now);

/// @brief For so long after the store's return, an endpoint whose entry went
/// meanwhile may still write it again.
inline constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

}  // namespace celerykeel
