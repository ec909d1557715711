#include "celerykeel/node/suspect_run.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/core/millis.h"       // for Millis
#include "celerykeel/node/fleet.h"        // for LinkToHolder
#include "celerykeel/node/isolation.h"    // for IsolateEndpoint
#include "celerykeel/node/node.h"         // for Node
#include "celerykeel/wire/crash_codec.h"  // for ToProto

namespace celerykeel {

namespace {

constexpr int kUnavailable = 503;
// Copies of one suspect run this long after each other.
constexpr Duration kCopyInterval = std::chrono::seconds(1);
constexpr Duration kHomeAnswerTimeout = std::chrono::milliseconds(100);

uint32_t HomeSlotOf(const Node& node, const RequestIdentity& request) {
  return SlotOfSubject(request.team, HashText(request),
                       static_cast<uint32_t>(node.fleet.slots.size()));
}

// Takes the run of one copy.
// @return zero, or how long it must wait.
Duration TakeRun(std::map<RequestIdentity, Duration>& next_run_at,
                 const RequestIdentity& request,
                 Duration interval,
                 Duration now) {
  Duration& next = next_run_at[request];
  if (next > now) {
    return next - now;
  }
  next = now + interval;
  return Duration::zero();
}

// Asks the request's home for the run of one copy.
// @return zero if it may run, or how long it must wait.
Task<Duration> RequestSuspectRun(Node& node, RequestIdentity request) {
  const uint32_t slot = HomeSlotOf(node, request);
  pb::NodeFrame frame;
  pb::SuspectRunWish& wish = *frame.mutable_suspect_run_wish();
  *wish.mutable_request() = ToProto(request);
  wish.set_interval_ms(Millis(kCopyInterval));
  if (ActiveSlot(node, slot) != nullptr) {
    co_return std::chrono::milliseconds(
        DecideSuspectRun(node, wish).retry_ms());
  }
  if (const PeerLinkPtr link = LinkToHolder(node, slot)) {
    const auto answer = co_await CallPeer(node.io, node.peers, link,
                                          std::move(frame), kHomeAnswerTimeout);
    if (answer && answer->has_suspect_run_grant() &&
        !answer->suspect_run_grant().not_home()) {
      co_return std::chrono::milliseconds(
          answer->suspect_run_grant().retry_ms());
    }
  }
  // Without a home, each instance runs one copy at a time.
  co_return TakeRun(node.suspect_runs, request, kCopyInterval, Now());
}

}  // namespace

std::optional<CallRefusal> RefusalIfDeadly(const Node& node, const Call& call) {
  const CrashRecords& records = node.crash_watch.records;
  const Duration now = Now();
  switch (SuspicionOf(records, call.identity, now)) {
    case Suspicion::kDeadly:
      return CallRefusal{kUnavailable, "not run: the request crashes endpoints",
                         TimeUntilAllowed(records, call.identity, now)};
    case Suspicion::kHeld:
      return CallRefusal{kUnavailable,
                         "not run: the request crashed an endpoint alone",
                         TimeUntilAllowed(records, call.identity, now)};
    default:
      return std::nullopt;
  }
}

Task<std::optional<AttemptEnd>> PrepareSuspect(Node& node, CallPtr call) {
  call->isolation = nullptr;
  const CrashRecords& records = node.crash_watch.records;
  const Suspicion suspicion = SuspicionOf(records, call->identity, Now());
  if (suspicion == Suspicion::kNone) {
    co_return std::nullopt;
  }
  if (RefusalIfDeadly(node, *call)) {
    co_return AttemptEnd::kDeadly;
  }
  if (suspicion == Suspicion::kRepeatedSuspect) {
    call->suspect_retry = co_await RequestSuspectRun(node, call->identity);
    if (call->suspect_retry > Duration::zero()) {
      co_return AttemptEnd::kNotIsolated;
    }
  }
  auto isolation = co_await IsolateEndpoint(node, call);
  // Meanwhile the peers may have reported more.
  if (RefusalIfDeadly(node, *call)) {
    co_return AttemptEnd::kDeadly;
  }
  if (isolation) {
    call->isolation = std::move(*isolation);
  } else if (suspicion != Suspicion::kSuspect) {
    co_return AttemptEnd::kNotIsolated;
  }
  co_return std::nullopt;
}

pb::SuspectRunGrant DecideSuspectRun(Node& node,
                                     const pb::SuspectRunWish& wish) {
  const RequestIdentity request = FromProto(wish.request());
  pb::SuspectRunGrant grant;
  if (ActiveSlot(node, HomeSlotOf(node, request)) == nullptr) {
    grant.set_not_home(true);
    return grant;
  }
  const auto wait =
      TakeRun(node.suspect_runs, request,
              std::chrono::milliseconds(wish.interval_ms()), Now());
  grant.set_granted(wait == Duration::zero());
  grant.set_retry_ms(Millis(wait));
  return grant;
}

void ForgetSuspectRuns(Node& node) {
  const Duration now = Now();
  std::erase_if(node.suspect_runs,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace celerykeel
