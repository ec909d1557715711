#include "celerykeel/core/limit_home.h"

#include <algorithm>  // for std::max

#include "celerykeel/core/rendezvous.h"    // for FractionOfHash
#include "celerykeel/core/token_bucket.h"  // for AccrualTime

namespace celerykeel {

namespace {

LimitVerdict Reserve(Duration& next_call_at,
                     Duration interval,
                     Duration max_wait,
                     Duration now) {
  const Duration wait = std::max(next_call_at - now, Duration::zero());
  if (wait > max_wait) {
    return {.granted = false, .wait = wait};
  }
  next_call_at += interval;
  return {.granted = true, .wait = wait};
}

}  // namespace

LimitVerdict ReserveCall(LimitHome& home,
                         const LimitedCall& call,
                         Duration now) {
  Duration& next =
      home.next_call_at.try_emplace(call.endpoint, now).first->second;
  next = std::max(next, now - kLimitBurstTime);
  if (call.spare_only && next > now - kSpareTime) {
    return {.granted = false, .wait = next + kSpareTime - now};
  }
  return Reserve(next, AccrualTime(1, call.per_second), call.max_wait, now);
}

LimitVerdict ReserveCallWithoutHome(LimitHome& own,
                                    const LimitedCall& call,
                                    size_t fleet_size,
                                    double phase,
                                    Duration now) {
  const Duration interval =
      AccrualTime(static_cast<double>(fleet_size),
                  call.per_second * kLimitFractionWithoutHome);
  const auto first =
      now + std::chrono::duration_cast<Duration>(interval * phase);
  Duration& next =
      own.next_call_at.try_emplace(call.endpoint, first).first->second;
  next = std::max(next, now);
  return Reserve(next, interval, call.max_wait, now);
}

double FirstCallPhase(std::string_view instance, std::string_view endpoint) {
  return FractionOfHash(RendezvousWeight(endpoint, instance));
}

LimitPermit PermitFor(const LimitVerdict& granted, Duration requested_at) {
  const Duration valid_from = requested_at + granted.wait;
  return {.valid_from = valid_from,
          .valid_until = valid_from + kLimitPermitValidity};
}

bool HasExpired(const LimitPermit& permit, Duration now) {
  return now >= permit.valid_until;
}

}  // namespace celerykeel
