#pragma once

#include <cstdint>      // for uint32_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/crash_records.h"     // for EndpointStart
#include "celerykeel/core/region_limits.h"     // for RegionLimits
#include "celerykeel/core/service_versions.h"  // for ServiceVersions
#include "celerykeel/core/stream_origin.h"     // for StreamOrigin
#include "celerykeel/core/time.h"              // for Duration, WallMillis
#include "celerykeel/core/zone_evacuations.h"  // for ZoneEvacuations
#include "celerykeel/core/zone_shares.h"       // for ZoneShares

namespace celerykeel {

/// @brief The entry that an endpoint writes about itself.
struct EndpointEntry {
  std::string id;  // a later start may have it too; addresses may be reused
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  std::string version;   // of its software, not of its model's weights
  uint32_t slots = 1;    // concurrent calls; not a slot of the slot table
  bool leaving = false;  // finishes running calls, takes no new ones
  std::optional<Duration> warming;  // how long it stays cold; empty: not said
  WallMillis started_at = 0;
  uint64_t beat = 0;  // sequence number among entries of one start
};

/// @brief An endpoint's entry, load and recent failures.
struct EndpointStatus {
  EndpointEntry entry;
  uint32_t in_flight = 0;  // calls from this instance
  uint32_t in_flight_from_peers =
      0;  // calls from other instances, as last reported
  // Time at which its entry was removed shortly after an outage of the store;
  // empty while it has an entry.
  std::optional<Duration> lapsed_at;
  Duration listed_at{};    // when a record of it was last read
  Duration avoid_until{};  // after failures
  uint32_t failures = 0;   // in a row
  // Time before which its rate limit allows no further call.
  Duration limited_until{};
  // Until then it gets only calls that must run alone, and others only if all
  // endpoints of the service are failing or isolated.
  Duration isolated_until{};
  Duration runs_alone_until{};  // runs such a call until then at the latest
  std::string isolated_by;      // instance that sent the call
  // Until then it is slow and takes few calls, as its entry says.
  Duration cold_until{};
  // Set while it may have become cold without an entry that says so: the
  // sequence number of the newest entry at that time.
  std::optional<uint64_t> presumed_cold_at;
  // Sequence number of the newest entry that was used for `cold_until`.
  std::optional<uint64_t> cold_said_at;
  // Usual time of its calls, as a multiple of its peers'; 1: the same. Set by
  // AssessSpeeds.
  double speed_factor = 1;
  // While it is slow: when this instance next sends it a call to see whether it
  // still is, and the time between such calls.
  Duration probe_at{};
  Duration probe_interval{};
};

/// @brief Properties of the cold endpoints of a service.
struct ColdTraits {
  double per_second = 0;
  Duration after_start{};
};

/// @brief Speed factor from which an endpoint counts as slow.
inline constexpr double kSlowFactor = 2;

/// @brief True if the endpoint is much slower than its peers, or fails calls.
bool IsSlow(const EndpointStatus& endpoint);

/// @brief Calls in flight per slot, as far as known.
double LoadOf(const EndpointStatus& endpoint);

/// @brief The endpoints of all services, by id.
struct EndpointTable {
  std::map<std::string, EndpointStatus, std::less<>> endpoints;
  // Endpoints that announced in an answer that they are leaving, with the time
  // of their start. Stored separately, since an entry may lapse and reappear.
  std::map<std::string, WallMillis, std::less<>> departures;
  ZoneEvacuations evacuations;
  // By service: calls per second that a cold endpoint takes, and how long it is
  // cold after a start; only of services with such a limit.
  std::map<std::string, ColdTraits, std::less<>> cold_traits;
  // When the store last became available again after an outage.
  std::optional<Duration> store_available_since;
};

/// @brief Records an entry, unless the known one is of a later start, or of the
/// same start with a higher sequence number.
void RecordEntry(EndpointTable& table, const EndpointEntry& entry);

/// @brief Handles the removal of an endpoint's entry. Shortly after an outage
/// of the store the endpoint may still run: it stays in the table until
/// `kEntryReturnTime` after the outage.
void RecordRemoval(EndpointTable& table, std::string_view id, Duration now);

/// @brief Records that an endpoint announced in an answer that it is leaving.
/// Its entry may not show this yet. Only a later start of the endpoint takes
/// calls again.
/// @param started_at time of the start that sent the answer.
/// @return true if the departure was new and recorded.
bool RecordDeparture(EndpointTable& table,
                     std::string_view id,
                     WallMillis started_at);

/// @brief True if the endpoint announced since its start that it is leaving.
bool HasDeparted(const EndpointTable& table, const EndpointEntry& entry);

/// @brief Drops lapsed endpoints once `kEntryReturnTime` is over.
void DropLapsed(EndpointTable& table, Duration now);

/// @brief Records a failed call that the endpoint is responsible for. The
/// endpoint is avoided for a time that doubles with each failure in a row, up
/// to a limit.
void RecordFailure(EndpointTable& table, std::string_view id, Duration now);
void RecordSuccess(EndpointTable& table, std::string_view id);

/// @brief Records that a start of an endpoint has crashed: it is avoided for as
/// long as after many failures, unless it starts anew.
void RecordCrash(EndpointTable& table,
                 const EndpointStart& endpoint,
                 Duration crashed_at);

/// @brief Records that an instance reserves an endpoint for one call that must
/// run alone. If two instances do so at once, the one whose name sorts first
/// succeeds.
/// @param runs_until 0: the call has ended.
/// @return false if another instance has reserved the endpoint.
bool RecordIsolation(EndpointTable& table,
                     std::string_view id,
                     const std::string& instance,
                     Duration runs_until,
                     Duration now);

/// @brief An endpoint stays reserved this long after its call has ended: a
/// crash leaves several requests that must run alone, and the next one need not
/// wait for other calls to end.
inline constexpr Duration kIsolationLinger = std::chrono::seconds(1);

/// @brief Records that an endpoint's rate limit allows no call before `until`;
/// 0 if it has no limit any more.
void RecordLimitedUntil(EndpointTable& table,
                        std::string_view id,
                        Duration until);

/// @brief Criteria by which an endpoint is chosen for a call.
struct EndpointCriteria {
  std::string_view service;
  std::string_view zone;         // of this instance
  std::string_view subject;      // calls on a subject prefer the same endpoint
  std::string_view preferred;    // id of the subject's last endpoint, if known
  bool prefers_subject = false;  // otherwise low load matters more
  std::string_view version{};    // required software version; empty: any
  // If set, only endpoints of versions in use may begin the stream.
  const ServiceVersions* recorded_versions = nullptr;
  const std::set<std::string>* excluded = nullptr;  // already tried
  std::string_view only{};  // id of the only endpoint allowed; empty: any
  // The call may crash its endpoint: it goes where the fewest calls run.
  bool is_suspect = false;
  RegionLimits regions{};
  // Differs between calls, so that they spread over endpoints; empty: the
  // subject.
  std::string_view call{};
  // The call may be repeated, so it may try a slow endpoint again.
  bool may_probe = false;
  // Shares of the service's calls between zones, if there are prices.
  const ZoneShares* zone_shares = nullptr;
};

/// @brief True if the endpoint is neither leaving nor in an evacuated zone.
bool AcceptsCalls(const EndpointTable& table, const EndpointStatus& endpoint);

/// @brief True if the service has endpoints that take calls, and all of them
/// are in evacuated zones.
bool IsServiceEvacuated(const EndpointTable& table, std::string_view service);

/// @brief True if an endpoint of this service and version takes new calls.
bool TakesWork(const EndpointTable& table, const StreamOrigin& origin);

/// @brief True if the endpoint takes new calls now: it is not leaving, and none
/// of the states that rank before the load keeps calls away from it.
bool IsUsable(const EndpointTable& table,
              const EndpointStatus& endpoint,
              Duration now);

/// @brief Chooses an endpoint; nullptr if the service has none that takes new
/// calls and is not excluded.
EndpointStatus* ChooseEndpoint(EndpointTable& table,
                               const EndpointCriteria& criteria,
                               Duration now);

/// @brief Time after the store became available again during which an endpoint
/// may rewrite an entry that was removed.
inline constexpr Duration kEntryReturnTime = std::chrono::milliseconds(2200);

/// @brief A call on a subject waits up to this time for the rate limit of its
/// last endpoint, which has read the subject's prompt, before it goes to
/// another endpoint.
inline constexpr Duration kPreferredLimitWait = std::chrono::milliseconds(150);

}  // namespace celerykeel
