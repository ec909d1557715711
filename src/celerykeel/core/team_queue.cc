#include "celerykeel/core/team_queue.h"

#include <algorithm>  // for std::clamp, std::max
#include <cmath>      // for std::exp

namespace celerykeel {

namespace {

// Least part of the rate that calls of no program share: demand is an estimate,
// and must not shut them out.
constexpr double kMinPlainFraction = 0.05;
// A team counts as over its rate for this long after a refusal. Callers return
// within about this time.
constexpr Duration kOverRateTime = std::chrono::seconds(1);
constexpr double kDemandSeconds = 5;  // time constant of the demand's decay
// Time for which calls of no program may use their part ahead, so that a clump
// of them is served like the same calls one by one.
constexpr double kPlainBurstSeconds = 0.25;

// Time for which the needs of programs in progress are held back from other
// calls. Their calls come in clumps, and a refused one may end its program.
constexpr double kNeedsAheadSeconds = 0.2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddDemand(TeamQueue& queue, CallClass call_class, Duration now) {
  if (now > queue.demand_at) {
    const double left =
        std::exp(-Seconds(now - queue.demand_at) / kDemandSeconds);
    queue.plain_demand *= left;
    queue.program_demand *= left;
    queue.demand_at = now;
  }
  if (call_class == CallClass::kPlain) {
    queue.plain_demand += 1;
  } else if (call_class == CallClass::kNewProgram) {
    queue.program_demand += queue.admission.tokens_per_program;
  }
}

double PlainRate(const TeamQueue& queue, const RateLimits& limits) {
  const double sum = queue.plain_demand + queue.program_demand;
  return limits.rate *
         std::clamp(sum > 0 ? queue.plain_demand / sum : kMinPlainFraction,
                    kMinPlainFraction, 1.0);
}

RateLimits LimitsOfPrograms(const TeamQueue& queue, const RateLimits& limits) {
  return {.rate = limits.rate - PlainRate(queue, limits),
          .burst = limits.burst};
}

// Calls per second of this class that the rate serves.
double RateOf(const TeamQueue& queue,
              CallClass call_class,
              const RateLimits& limits) {
  switch (call_class) {
    case CallClass::kInProgress:
      return limits.rate;
    case CallClass::kPlain:
      return PlainRate(queue, limits);
    default:
      return LimitsOfPrograms(queue, limits).rate /
             queue.admission.tokens_per_program;
  }
}

Duration Book(TeamQueue& queue,
              const TeamCall& call,
              CallClass call_class,
              Duration wait,
              const RateLimits& limits,
              Duration now) {
  queue.refused_at = now;
  // Without an identity, the caller could not be recognized when it returns.
  return BookReturn(queue.retries, {call.caller, call_class}, wait,
                    AccrualTime(1, RateOf(queue, call_class, limits)),
                    call.caller == 0 ? Duration::zero() : call.max_wait, now);
}

}  // namespace

// Without recent refusals, the tokens suffice for all calls, and none is held
// back for others.
bool IsOverRate(const TeamQueue& queue, Duration now) {
  return queue.refused_at && now < *queue.refused_at + kOverRateTime;
}

void RecordProgramReport(TeamQueue& queue, uint64_t program, Duration now) {
  if (!IsRecent(queue.in_progress, program)) {
    RecordProgramsStarted(queue.admission, 1, now);
  }
  RecordProgram(queue.in_progress, program, now);
}

QueuedCall Classify(TeamQueue& queue, const TeamCall& call, Duration now) {
  const bool is_known =
      call.program != 0 && IsRecent(queue.in_progress, call.program);
  const bool is_plain = call.program == 0 && call.caller != 0;
  return {.call_class = call.newcomer && !is_known ? CallClass::kNewProgram
                        : is_plain                 ? CallClass::kPlain
                                                   : CallClass::kInProgress,
          .returns =
              call.caller != 0 && TakeBooking(queue.retries, call.caller, now)};
}

namespace {

std::optional<Duration> RefuseNewProgram(TeamQueue& queue,
                                         const TeamCall& call,
                                         double level,
                                         const RateLimits& limits,
                                         Duration now) {
  const auto promised =
      queue.retries.pending[static_cast<size_t>(CallClass::kNewProgram)];
  const double available =
      level - promised * queue.admission.tokens_per_program;
  const RateLimits part = LimitsOfPrograms(queue, limits);
  if (AdmitNewProgram(queue.admission, available, part, call.program_time_left,
                      now)) {
    return std::nullopt;
  }
  return Book(queue, call, CallClass::kNewProgram,
              NewProgramWait(queue.admission, available, part), limits, now);
}

std::optional<Duration> RefusePlain(TeamQueue& queue,
                                    const TeamCall& call,
                                    double level,
                                    const RateLimits& limits,
                                    Duration now) {
  const double rate = PlainRate(queue, limits);
  Refill(queue.plain, rate, std::max(rate * kPlainBurstSeconds, 1.0), now);
  if (!IsScarce(level, limits) || !IsOverRate(queue, now)) {
    return std::nullopt;
  }
  const double pending =
      queue.retries.pending[static_cast<size_t>(CallClass::kPlain)];
  if (queue.plain.level >= 1 + pending) {
    queue.plain.level -= 1;
    return std::nullopt;
  }
  return Book(queue, call, CallClass::kPlain,
              AccrualTime(1 + pending - queue.plain.level, rate), limits, now);
}

}  // namespace

std::optional<Duration> RefuseUnlessAdmitted(TeamQueue& queue,
                                             const TeamCall& call,
                                             const QueuedCall& queued,
                                             double level,
                                             const RateLimits& limits,
                                             Duration now) {
  DropMissedReturns(queue.retries, now);
  if (!queued.returns) {
    AddDemand(queue, queued.call_class, now);
  }
  switch (queued.call_class) {
    case CallClass::kInProgress:
      return std::nullopt;
    case CallClass::kPlain:
      if (queued.returns) {
        queue.plain.level -= 1;
        return std::nullopt;
      }
      return RefusePlain(queue, call, level, limits, now);
    default:
      if (queued.returns) {
        RecordProgramsStarted(queue.admission, 1, now);
        return std::nullopt;
      }
      return RefuseNewProgram(queue, call, level, limits, now);
  }
}

void WithdrawAdmission(TeamQueue& queue,
                       const QueuedCall& queued,
                       Duration now) {
  if (queued.call_class == CallClass::kNewProgram) {
    RecordProgramNotStarted(queue.admission, now);
  } else if (queued.call_class == CallClass::kPlain) {
    queue.plain.level += 1;
  }
}

double TokensHeld(const TeamQueue& queue,
                  const QueuedCall& queued,
                  Duration now) {
  const double due =
      queued.returns ? 0
                     : CountDueBefore(queue.retries, queued.call_class, now);
  if (queued.call_class == CallClass::kInProgress || !IsOverRate(queue, now)) {
    return due;
  }
  return due + queue.admission.committed / queue.admission.average_duration_s *
                   kNeedsAheadSeconds;
}

void RecordServed(TeamQueue& queue, const TeamCall& call, Duration now) {
  if (call.program != 0) {
    RecordProgram(queue.in_progress, call.program, now);
  }
}

Duration TellReturn(TeamQueue& queue,
                    const TeamCall& call,
                    const QueuedCall& queued,
                    double level,
                    const RateLimits& limits,
                    Duration now) {
  DropMissedReturns(queue.retries, now);
  const double missing =
      1 + CountPending(queue.retries, queued.call_class) - level;
  return Book(queue, call, queued.call_class, AccrualTime(missing, limits.rate),
              limits, now);
}

}  // namespace celerykeel
