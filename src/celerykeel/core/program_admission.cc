#include "celerykeel/core/program_admission.h"

#include <algorithm>  // for std::clamp, std::max
#include <cmath>      // for std::exp

namespace celerykeel {

namespace {

// Commitments decay over this time, because programs that end early or are
// abandoned leave some behind.
constexpr double kCommitmentDecaySeconds = 12;
// Callers set deadlines of about twice the time that a program takes on idle
// endpoints.
constexpr double kDeadlineFraction = 0.5;
constexpr double kMinDurationSeconds = 1;
constexpr double kMaxDurationSeconds = 10;
constexpr double kDurationWeight = 0.1;  // weight of one program in the average
// Above this fraction of the burst, no program is held back.
constexpr double kScarceFraction = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Decay(ProgramAdmission& gate, Duration now) {
  if (gate.is_initialized && now > gate.updated_at) {
    const double passed = Seconds(now - gate.updated_at);
    gate.committed *= std::exp(-passed / kCommitmentDecaySeconds);
  }
  gate.updated_at = now;
  gate.is_initialized = true;
}

}  // namespace

void RecordTokensUsed(ProgramAdmission& gate, double tokens, Duration now) {
  Decay(gate, now);
  gate.committed = std::max(gate.committed - tokens, 0.0);
}

void RecordProgramsStarted(ProgramAdmission& gate,
                           uint32_t programs,
                           Duration now) {
  Decay(gate, now);
  gate.committed += programs * gate.tokens_per_program;
}

bool AdmitNewProgram(ProgramAdmission& gate,
                     double available_tokens,
                     const RateLimits& limits,
                     Duration time_left,
                     Duration now) {
  Decay(gate, now);
  if (time_left > Duration::zero()) {
    const double life = std::clamp(Seconds(time_left) * kDeadlineFraction,
                                   kMinDurationSeconds, kMaxDurationSeconds);
    gate.average_duration_s +=
        (life - gate.average_duration_s) * kDurationWeight;
  }
  const double soon = available_tokens + limits.rate * gate.average_duration_s;
  // If no program is running, no tokens need to be reserved. One program may
  // then start, even if the tokens do not cover an average program.
  const bool programs_running = gate.committed >= 1;
  if (programs_running && IsScarce(available_tokens, limits) &&
      gate.committed + gate.tokens_per_program > soon) {
    return false;
  }
  RecordProgramsStarted(gate, 1, now);
  return true;
}

Duration NewProgramWait(const ProgramAdmission& gate,
                        double available_tokens,
                        const RateLimits& limits) {
  const double soon = available_tokens + limits.rate * gate.average_duration_s;
  return AccrualTime(gate.committed + gate.tokens_per_program - soon,
                     limits.rate);
}

void RecordProgramNotStarted(ProgramAdmission& gate, Duration now) {
  RecordTokensUsed(gate, gate.tokens_per_program, now);
}

bool IsScarce(double available_tokens, const RateLimits& limits) {
  return available_tokens < kScarceFraction * limits.burst;
}

}  // namespace celerykeel
