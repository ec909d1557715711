#include "celerykeel/core/limit_home.h"

#include <algorithm>  // for std::max, std::min

#include "celerykeel/core/rendezvous.h"    // for FractionOfHash
#include "celerykeel/core/token_bucket.h"  // for AccrualTime

namespace celerykeel {

namespace {

Duration MaxWait(const LimitedCall& call) {
  return call.is_cold ? std::min(call.max_wait, kMaxColdWait) : call.max_wait;
}

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
  const Duration burst = call.is_cold ? kColdBurstTime : kLimitBurstTime;
  const Duration spare = call.is_cold ? kColdBurstTime / 2 : kSpareTime;
  next = std::max(next, now - burst);
  if (call.spare_only && next > now - spare) {
    return {.granted = false, .wait = next + spare - now};
  }
  return Reserve(next, AccrualTime(1, call.per_second), MaxWait(call), now);
}

LimitVerdict ReserveCallWithoutHome(LimitHome& own,
                                    const LimitedCall& call,
                                    size_t fleet_size,
                                    double phase,
                                    Duration now) {
  const double fraction =
      call.is_cold ? kColdFractionWithoutHome : kLimitFractionWithoutHome;
  const Duration interval =
      AccrualTime(static_cast<double>(fleet_size), call.per_second * fraction);
  const auto first =
      now + std::chrono::duration_cast<Duration>(interval * phase);
  Duration& next =
      own.next_call_at.try_emplace(call.endpoint, first).first->second;
  next = std::max(next, now);
  return Reserve(next, interval, MaxWait(call), now);
}

double FirstCallPhase(std::string_view instance, std::string_view endpoint) {
  return FractionOfHash(RendezvousWeight(endpoint, instance));
}

LimitPermit PermitFor(const LimitVerdict& granted,
                      Duration requested_at,
                      bool is_cold) {
  const Duration valid_from = requested_at + granted.wait;
  return {.valid_from = valid_from,
          .valid_until = valid_from + (is_cold ? kColdPermitValidity
                                               : kLimitPermitValidity)};
}

bool HasExpired(const LimitPermit& permit, Duration now) {
  return now >= permit.valid_until;
}

}  // namespace celerykeel
