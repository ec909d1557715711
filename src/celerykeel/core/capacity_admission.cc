#include "celerykeel/core/capacity_admission.h"

#include <algorithm>  // for std::clamp, std::max
#include <cmath>      // for std::exp, std::log, std::pow, std::floor
#include <utility>    // for std::move

#include "celerykeel/core/rendezvous.h"  // for FractionOfHash

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

// Calls per slot at which the share of programs that may begin is kept: some
// slots are between two calls.
constexpr double kTarget = 0.95;
// From this many calls per slot on, calls wait at the endpoints.
constexpr double kFull = 1.0;
// A service is full if calls wait for this long: two reports and more than the
// calls of a clump of callers.
constexpr Duration kFullTime = milliseconds(1000);
// Averages under kFree end the state, and nothing is refused under kAlwaysFree.
constexpr double kFree = 0.75;
constexpr double kAlwaysFree = 0.6;
// Time constant of the average. Shorter ones follow single clumps; the reports
// are up to 800 ms old.
constexpr double kAverageSeconds = 0.6;
// The logarithm of the share falls with the calls above the target, and with
// their sum over time. Higher values make the load swing, as a program that
// begins takes slots for seconds.
constexpr double kGain = 5;
constexpr double kGainPerSecond = 0.2;
// Summed at most, so that a sudden load does not hold back programs for long
// after it.
constexpr double kMaxSummed = 0.2;
// The share grows at most by this factor a second, as the effect shows late.
constexpr double kGrowthPerSecond = 2.0;
constexpr double kMinShare = 0.02;
// Of a refused program's wait at most. Callers wait for about a second, so most
// refused programs don't return, and the others return spread over this time.
constexpr double kPeriodSeconds = 12;
// Windows of instances whose reports differ begin up to this much later.
constexpr double kToldMarginSeconds = 0.1;
// Bounds of the exponents that favor urgent calls and teams with few calls.
constexpr double kPriorityStep = 0.5;
constexpr double kMaxPriorityExponent = 3;
constexpr double kMinTeamExponent = 0.25;
constexpr double kMaxTeamExponent = 4;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Calls of the team in relation to an equal share of those in flight.
double TeamExponent(const ServiceLoad& load, std::string_view team) {
  const auto found = load.by_team.find(team);
  const double own = found == load.by_team.end() ? 0 : found->second;
  double sum = 0;
  for (const auto& [name, in_flight] : load.by_team) {
    sum += in_flight;
  }
  const double teams = static_cast<double>(load.by_team.size()) +
                       (found == load.by_team.end() ? 1 : 0);
  return sum <= 0 ? 1
                  : std::clamp(own * teams / sum, kMinTeamExponent,
                               kMaxTeamExponent);
}

double PriorityExponent(const NewProgram& program) {
  const double behind =
      program.priority > program.most_urgent
          ? static_cast<double>(program.priority - program.most_urgent)
          : 0;
  return std::min(1 + kPriorityStep * behind, kMaxPriorityExponent);
}

double Fraction(double value) {
  return value - std::floor(value);
}

}  // namespace

void UpdateGate(CapacityGate& gate, ServiceLoad load, Duration now) {
  const double current = load.slots > 0 ? load.in_flight / load.slots : 0;
  const double passed =
      gate.updated_at ? Seconds(now - *gate.updated_at) : kAverageSeconds * 10;
  gate.fullness += (current - gate.fullness) *
                   (1 - std::exp(-std::max(passed, 0.0) / kAverageSeconds));
  gate.updated_at = now;
  gate.load = std::move(load);
  if (!gate.is_full) {
    if (current < kFull) {
      gate.waiting_since.reset();
    } else if (!gate.waiting_since) {
      gate.waiting_since = now;
    }
    gate.is_full = gate.waiting_since && now >= *gate.waiting_since + kFullTime;
    gate.excess = 0;
  } else if (gate.fullness < kFree && gate.share >= 1) {
    gate.is_full = false;
    gate.waiting_since.reset();
  }
  if (!gate.is_full) {
    gate.share = 1;
    return;
  }
  const double above = gate.fullness - kTarget;
  const double lowest = std::log(kMinShare);
  gate.excess = std::clamp(
      gate.excess -
          kGainPerSecond * std::clamp(above, -kMaxSummed, kMaxSummed) * passed,
      lowest, 0.0);
  const double wanted =
      std::exp(std::clamp(gate.excess - kGain * above, lowest, 0.0));
  gate.share =
      std::min(wanted, gate.share * std::pow(kGrowthPerSecond, passed));
}

bool MayRefuseSoon(const CapacityGate& gate) {
  return gate.is_full || gate.fullness >= kAlwaysFree;
}

std::optional<Duration> RefuseIfFull(const CapacityGate& gate,
                                     const NewProgram& program,
                                     WallMillis wall_now) {
  if (gate.share >= 1 || gate.load.in_flight < kAlwaysFree * gate.load.slots) {
    return std::nullopt;
  }
  const double share =
      std::pow(gate.share, PriorityExponent(program) *
                               TeamExponent(gate.load, program.team));
  const double begin =
      Fraction(static_cast<double>(wall_now) / 1000 / kPeriodSeconds);
  // Place of the program after the beginning of the window.
  const double place = Fraction(FractionOfHash(program.hash) - begin);
  if (place < share) {
    return std::nullopt;
  }
  return Duration(static_cast<int64_t>(
      ((place - share) * kPeriodSeconds + kToldMarginSeconds) * 1e9));
}

}  // namespace celerykeel
