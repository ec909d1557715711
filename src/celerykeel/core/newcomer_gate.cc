#include "celerykeel/core/newcomer_gate.h"

#include <algorithm>  // for std::max
#include <cmath>      // for std::exp

namespace celerykeel {

namespace {

// Programs that end early, or are given up, leave commitments behind.
constexpr double kForgetSeconds = 12;
// A program takes about so long; its tokens need not all be there at once.
constexpr double kProgramSeconds = 2;
// Above this part of the burst there is no reason to hold anybody back.
constexpr double kScarcePart = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Decay(NewcomerGate& gate, Duration now) {
  if (gate.used && now > gate.updated_at) {
    gate.committed *=
        std::exp(-Seconds(now - gate.updated_at) / kForgetSeconds);
  }
  gate.updated_at = now;
  gate.used = true;
}

}  // namespace

void NoteTokensUsed(NewcomerGate& gate, double tokens, Duration now) {
  Decay(gate, now);
  gate.committed = std::max(gate.committed - tokens, 0.0);
}

bool AdmitNewcomer(NewcomerGate& gate,
                   double at_hand,
                   const RateLimits& limits,
                   Duration now) {
  Decay(gate, now);
  const double soon = at_hand + limits.rate * kProgramSeconds;
  // With nothing under way there is nobody to leave the tokens to, however few
  // they are against an average program.
  const bool others_need = gate.committed >= 1;
  if (others_need && IsScarce(at_hand, limits) &&
      gate.committed + gate.per_program > soon) {
    return false;
  }
  gate.committed += gate.per_program;
  return true;
}

bool IsScarce(double at_hand, const RateLimits& limits) {
  return at_hand < kScarcePart * limits.burst;
}

}  // namespace celerykeel
