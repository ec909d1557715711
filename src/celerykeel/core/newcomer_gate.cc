#include "celerykeel/core/newcomer_gate.h"

#include <algorithm>  // for std::clamp, std::max
#include <cmath>      // for std::exp

namespace celerykeel {

namespace {

// Commitments decay over this time, because programs that end early or are
// abandoned leave some behind.
constexpr double kForgetSeconds = 12;
// Callers set deadlines of about twice the time that a program takes on idle
// endpoints.
constexpr double kTimePart = 0.5;
constexpr double kLeastLife = 1;
constexpr double kMostLife = 10;
constexpr double kLifeWeight = 0.1;  // weight of one program in the average
// Above this fraction of the burst, no program is held back.
constexpr double kScarcePart = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Decay(NewcomerGate& gate, Duration now) {
  if (gate.is_used && now > gate.updated_at) {
    const double passed = Seconds(now - gate.updated_at);
    gate.committed *= std::exp(-passed / kForgetSeconds);
  }
  gate.updated_at = now;
  gate.is_used = true;
}

}  // namespace

void NoteTokensUsed(NewcomerGate& gate, double tokens, Duration now) {
  Decay(gate, now);
  gate.committed = std::max(gate.committed - tokens, 0.0);
}

void NoteBegun(NewcomerGate& gate, uint32_t programs, Duration now) {
  Decay(gate, now);
  gate.committed += programs * gate.per_program;
}

bool AdmitNewcomer(NewcomerGate& gate,
                   double at_hand,
                   const RateLimits& limits,
                   Duration time_left,
                   Duration now) {
  Decay(gate, now);
  if (time_left > Duration::zero()) {
    const double life =
        std::clamp(Seconds(time_left) * kTimePart, kLeastLife, kMostLife);
    gate.life_s += (life - gate.life_s) * kLifeWeight;
  }
  const double soon = at_hand + limits.rate * gate.life_s;
  // If no program is running, there is none to reserve tokens for, even if they
  // are fewer than an average program needs.
  const bool others_need = gate.committed >= 1;
  if (others_need && IsScarce(at_hand, limits) &&
      gate.committed + gate.per_program > soon) {
    return false;
  }
  NoteBegun(gate, 1, now);
  return true;
}

bool IsScarce(double at_hand, const RateLimits& limits) {
  return at_hand < kScarcePart * limits.burst;
}

}  // namespace celerykeel
