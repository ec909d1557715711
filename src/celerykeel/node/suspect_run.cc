#include "celerykeel/node/suspect_run.h"

#include <algorithm>  // for std::count_if, std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/core/millis.h"       // for Millis
#include "celerykeel/node/fleet.h"        // for LinkToHolder
#include "celerykeel/node/isolation.h"    // for IsolateEndpoint
#include "celerykeel/node/node.h"         // for Node
#include "celerykeel/node/slot_upkeep.h"  // for MayActAsHolder
#include "celerykeel/wire/crash_codec.h"  // for ToProto

namespace celerykeel {

namespace {

constexpr int kUnavailable = 503;
// Copies of one suspect run this long after each other.
constexpr Duration kCopyInterval = std::chrono::seconds(1);
constexpr Duration kHomeAnswerTimeout = std::chrono::milliseconds(100);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
// Longer than another copy waits for an endpoint of its own, so that its crash
// or completion is known before this copy runs.
constexpr Duration kMaxCopyWait = std::chrono::milliseconds(1500);
constexpr int kCopyWaitDivisor = 2;  // of the time left

uint32_t HomeSlotOf(const Node& node, const RequestIdentity& request) {
  return SlotOfSubject(request.team, HashText(request),
                       static_cast<uint32_t>(node.fleet.slots.size()));
}

size_t EndpointsOf(const Node& node, const std::string& service) {
  const auto& endpoints = node.endpoints.endpoints;
  return static_cast<size_t>(std::count_if(
      endpoints.begin(), endpoints.end(), [&service](const auto& entry) {
        return entry.second.entry.service == service;
      }));
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
    const pb::SuspectRunGrant grant = DecideSuspectRun(node, wish);
    if (!grant.not_home()) {
      co_return std::chrono::milliseconds(grant.retry_ms());
    }
  } else if (const PeerLinkPtr link = LinkToHolder(node, slot)) {
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

// Takes the run of one copy for this call, unless the call has it already and
// has crashed no endpoint since.
// @return true if the call may run; otherwise Call::suspect_retry is set.
Task<bool> MayRunCopy(Node& node, CallPtr call, Suspicion suspicion) {
  if (suspicion == Suspicion::kSuspect && Now() < call->suspect_run_until) {
    co_return true;
  }
  call->suspect_retry = co_await RequestSuspectRun(
      node, IdentityOfCopies(node.crash_watch.records, call->identity));
  if (call->suspect_retry > Duration::zero()) {
    co_return false;
  }
  call->suspect_run_until = Now() + kCopyInterval;
  co_return true;
}

// Waits until the copy that runs has crashed its endpoint or has cleared the
// request, or for as long as that may take.
// @return the suspicion then.
Task<Suspicion> AwaitOtherCopy(Node& node, CallPtr call) {
  const Duration until =
      Now() + std::min(kMaxCopyWait, TimeLeft(*call) / kCopyWaitDivisor);
  Suspicion suspicion = Suspicion::kSuspect;
  while (suspicion == Suspicion::kSuspect && Now() < until &&
         !call->caller->disconnected) {
    co_await Sleep(node.io, kPollInterval);
    suspicion = SuspicionOf(node.crash_watch.records, call->identity, Now());
  }
  co_return suspicion;
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
  Suspicion suspicion = SuspicionOf(records, call->identity, Now());
  if (suspicion == Suspicion::kNone ||
      !RunsApart(suspicion, EndpointsOf(node, call->service))) {
    co_return std::nullopt;
  }
  if (RefusalIfDeadly(node, *call)) {
    co_return AttemptEnd::kDeadly;
  }
  if (!co_await MayRunCopy(node, call, suspicion)) {
    if (suspicion == Suspicion::kSuspect) {
      suspicion = co_await AwaitOtherCopy(node, call);
    }
    if (suspicion == Suspicion::kNone) {
      co_return std::nullopt;
    }
    if (RefusalIfDeadly(node, *call)) {
      co_return AttemptEnd::kDeadly;
    }
    if (suspicion != Suspicion::kSuspect) {
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
  if (const HeldSlotPtr slot = ActiveSlot(node, HomeSlotOf(node, request));
      slot == nullptr || !MayActAsHolder(node, slot)) {
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
