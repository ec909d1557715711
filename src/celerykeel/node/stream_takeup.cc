#include "celerykeel/node/stream_takeup.h"

#include <algorithm>  // for std::any_of, std::min

#include "celerykeel/base/clock.h"     // for Now, WallNow
#include "celerykeel/node/fleet.h"     // for LinkToHolder
#include "celerykeel/node/node.h"      // for Node
#include "celerykeel/node/slot_log.h"  // for Enqueue

namespace celerykeel {

namespace {

constexpr int kUnavailable = 503;
constexpr Duration kVersionsTimeout = std::chrono::milliseconds(500);
constexpr int kVersionsTimeDivisor = 4;  // of the time left, for the read
// The holder may hear of the stream's begin later than of its take-up.
constexpr Duration kUnknownOriginRetry = std::chrono::milliseconds(100);

const std::string& BeganAs(const Call& call) {
  const CallHeaderValues& header_values = call.request.header_values;
  return header_values.resumed_call.empty() ? header_values.id
                                            : header_values.resumed_call;
}

bool HasService(const CallRoute& route, const std::string& service) {
  return std::any_of(
      route.services.begin(), route.services.end(),
      [&service](const ServiceWeight& one) { return one.service == service; });
}

void LogTakeUp(Node& node, const Call& call, std::string_view source) {
  const CallHeaderValues& header_values = call.request.header_values;
  WriteLog(node.log, LogLevel::kOrdinary, "stream taken up",
           {{"id", header_values.id},
            {"program", header_values.program},
            {"began_as", header_values.resumed_call},
            {"after_event", header_values.last_event},
            {"version", call.origin ? call.origin->version : ""},
            {"source", source}});
}

// The stream began at the only version in use, if the records include all that
// were durable when the take-up arrived.
Task<std::optional<StreamOrigin>> OriginIfOnlyVersion(Node& node,
                                                      CallPtr call) {
  const ServiceVersions& versions = node.version_feed.versions;
  const bool service_is_known = call->route->services.size() == 1 ||
                                !call->request.header_values.program.empty();
  if (!service_is_known || !OnlyVersion(versions, call->service)) {
    co_return std::nullopt;
  }
  const bool read = co_await ReadVersions(
      node, std::min(kVersionsTimeout, TimeLeft(*call) / kVersionsTimeDivisor));
  const auto only = OnlyVersion(versions, call->service);
  if (!read || !only) {
    co_return std::nullopt;
  }
  co_return StreamOrigin{call->service, *only};
}

// Queues the record of an origin for the slot's log, unless an instance without
// the record would infer the same origin from the versions in use.
void QueueIfNotInferable(Node& node,
                         const HeldSlotPtr& slot,
                         const StreamName& stream,
                         StreamOrigins::Entry& entry) {
  if (entry.in_log ||
      OnlyVersion(node.version_feed.versions, entry.origin.service) ==
          entry.origin.version) {
    return;
  }
  entry.in_log = true;
  const Duration age = Now() - entry.began_at;
  const StreamRecord record{
      .stream = stream,
      .origin = entry.origin,
      .began_at =
          WallNow() -
          std::chrono::duration_cast<std::chrono::milliseconds>(age).count()};
  // Urgent, as all instances may be lost while the stream runs. If the slot is
  // lost, a report of the stream's end reaches the next holder.
  Enqueue(node, slot, record, true, [](bool) {});
}

}  // namespace

bool IsTakeUp(const Call& call) {
  const CallHeaderValues& header_values = call.request.header_values;
  return call.route->resumable && (!header_values.last_event.empty() ||
                                   !header_values.resumed_call.empty());
}

Task<std::optional<CallRefusal>> FindOriginOfTakeUp(Node& node,
                                                    CallPtr call,
                                                    pb::TurnGrant grant) {
  std::string_view source = "unknown";
  if (grant.has_origin()) {
    call->origin =
        StreamOrigin{grant.origin().service(), grant.origin().version()};
    source = "holder";
  } else if (auto origin = co_await OriginIfOnlyVersion(node, call)) {
    call->origin = std::move(origin);
    source = "only version";
  }
  LogTakeUp(node, *call, source);
  if (!call->origin) {
    co_return CallRefusal{kUnavailable,
                          "not run: what began the stream is not known",
                          kUnknownOriginRetry};
  }
  if (HasService(*call->route, call->origin->service)) {
    call->service = call->origin->service;
  }
  if (call->service != call->origin->service ||
      !TakesWork(node.endpoints, *call->origin)) {
    // Waiting does not help, and the caller may begin anew.
    co_return CallRefusal{kUnavailable,
                          "not run: the version that began the stream has left",
                          {}};
  }
  co_return std::nullopt;
}

pb::StreamBegan StreamBeganOf(const Call& call, uint32_t slot) {
  pb::StreamBegan began;
  began.set_slot(slot);
  began.set_team(call.team == nullptr ? "" : call.team->name);
  began.set_call(BeganAs(call));
  began.mutable_origin()->set_service(call.origin->service);
  began.mutable_origin()->set_version(call.origin->version);
  return began;
}

void ReportStreamBegan(Node& node, const pb::StreamBegan& began) {
  if (ActiveSlot(node, began.slot()) != nullptr) {
    RecordStreamBegan(node, began);
  } else if (const PeerLinkPtr link = LinkToHolder(node, began.slot())) {
    pb::NodeFrame frame;
    *frame.mutable_stream_began() = began;
    SendFrame(link->socket, frame);
  }
}

void RecordStreamBegan(Node& node, const pb::StreamBegan& began) {
  const HeldSlotPtr slot = ActiveSlot(node, began.slot());
  if (slot == nullptr) {
    return;
  }
  const StreamName stream{began.team(), began.call()};
  if (RecordOrigin(slot->origins, stream,
                   {began.origin().service(), began.origin().version()},
                   Now())) {
    QueueIfNotInferable(node, slot, stream, slot->origins.streams.at(stream));
  }
}

void QueueOriginsNotInferable(Node& node) {
  for (const auto& [number, slot] : node.slots.held) {
    for (auto& [stream, entry] : slot->origins.streams) {
      QueueIfNotInferable(node, slot, stream, entry);
    }
  }
}

}  // namespace celerykeel
