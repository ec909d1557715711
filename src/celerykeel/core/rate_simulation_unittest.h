#pragma once

#include <algorithm>  // for std::min
#include <cstdint>    // for uint64_t
#include <map>        // for std::map
#include <memory>     // for std::make_shared
#include <random>     // for std::mt19937_64
#include <string>     // for std::string
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include "celerykeel/core/rate_gate.h"  // for RateGate

namespace celerykeel::testing {

/// @brief A rule that a simulation leaves out to show that it is needed.
enum class WithoutRule {
  kNothing,
  kLoanExpiry,       // loans never expire at the borrower
  kHomeWait,         // a new home lends at once, with a full bucket
  kFreshness,        // a home lends with a view of any age
  kCountingOfLoans,  // the home refills as if there were no loans
};

struct SimulationOptions {
  WithoutRule without = WithoutRule::kNothing;
  RateLimits team;
  uint64_t seed = 1;
  Duration delay = std::chrono::milliseconds(2);  // of a message, one way
  double lost = 0;                                // fraction of the messages
  double duplicated = 0;                          // fraction of the messages
  double late = 0;  // fraction of the messages, delayed by up to 3 s
};

/// @brief Simulates the gates of one team on a virtual clock. The network
/// loses, delays and duplicates messages; members join, leave, freeze and are
/// disconnected.
class RateSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr char kTeam[] = "orchard";

  explicit RateSimulation(SimulationOptions given)
      : options(given), random(given.seed) {
    Team team;
    team.id = kTeam;
    team.rate = given.team.rate;
    team.burst = given.team.burst;
    this->roster.in_force.teams[kTeam] = team;
  }

  Incarnation Join() {
    const Incarnation self = ++this->last_incarnation;
    celerykeel::Join join;
    join.incarnation = self;
    join.instance = "instance-" + std::to_string(self);
    this->ChangeRoster([&](FleetState& state) {
      state.members[self] = {.join = join, .fence = state.offset};
    });
    this->nodes[self] = Node{};
    this->Sync(self);
    return self;
  }

  /// Removes a member from the roster. It may keep running, disconnected or
  /// frozen.
  void Evict(Incarnation member) {
    this->ChangeRoster([&](FleetState& state) {
      state.members.erase(member);
      state.departed[member].departed_at = state.offset;
    });
  }

  void Leave(Incarnation member) {
    RateActions actions;
    Resign(this->nodes[member].gate, this->now, actions);
    this->Perform(member, actions);
    this->Evict(member);
    this->nodes.erase(member);
  }

  /// Stops a member without removing it from the roster.
  void Kill(Incarnation member) { this->nodes.erase(member); }
  void SetFrozen(Incarnation node, bool frozen) {
    this->nodes[node].frozen = frozen;
  }
  void SetCut(Incarnation node, bool cut) { this->nodes[node].cut = cut; }

  void Request(Incarnation node) {
    if (!this->nodes.contains(node) || this->nodes[node].frozen) {
      return;
    }
    RateActions actions;
    this->ApplyMutation(node);
    Admit(this->nodes[node].gate, ++this->last_ticket, kTeam, this->now,
          actions);
    this->Perform(node, actions);
  }

  void Advance(Duration span) {
    for (const Duration until = this->now + span; this->now < until;) {
      this->now += kStep;
      this->StepOnce();
    }
  }

  std::vector<Incarnation> Alive() const {
    std::vector<Incarnation> alive;
    for (const auto& [incarnation, node] : this->nodes) {
      alive.push_back(incarnation);
    }
    return alive;
  }

  /// Returns true if at most burst + rate x window requests were admitted in
  /// any window.
  bool WithinRate() const {
    double lowest = 1e18;
    const double rate = this->options.team.rate;
    for (size_t i = 0; i < this->admitted.size(); ++i) {
      const double at =
          std::chrono::duration<double>(this->admitted[i]).count();
      lowest = std::min(lowest, static_cast<double>(i) - rate * at);
      if (static_cast<double>(i) + 1 - rate * at - lowest >
          this->options.team.burst + 1e-6) {
        return false;
      }
    }
    return true;
  }

  Duration now = std::chrono::seconds(100);
  std::vector<Duration> admitted;
  std::vector<Duration> refused;
  uint64_t messages = 0;

 private:
  struct Node {
    RateGate gate;
    bool frozen = false;
    bool cut = false;
  };

  struct InFlight {
    Incarnation from = 0;
    Incarnation to = 0;
    RateGateMessage note;
  };

  template <typename Change>
  void ChangeRoster(Change change) {
    ++this->roster.offset;
    this->roster.roster_version = this->roster.offset;
    change(this->roster);
    this->shared_roster = std::make_shared<const FleetState>(this->roster);
  }

  bool Chance(double part) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < part;
  }

  void Sync(Incarnation incarnation) {
    RateActions actions;
    UpdateView(this->nodes[incarnation].gate, incarnation, this->shared_roster,
               this->now, this->now, actions);
    this->Perform(incarnation, actions);
  }

  void StepOnce() {
    while (!this->network.empty() &&
           this->network.begin()->first <= this->now) {
      InFlight message = std::move(this->network.begin()->second);
      this->network.erase(this->network.begin());
      this->Arrive(std::move(message));
    }
    for (auto& [incarnation, node] : this->nodes) {
      if (node.frozen) {
        continue;
      }
      if (!node.cut && this->Chance(0.2)) {
        this->Sync(incarnation);
      }
      this->ApplyMutation(incarnation);
      RateActions actions;
      Tick(node.gate, this->now, actions);
      this->Perform(incarnation, actions);
    }
  }

  void Arrive(InFlight message) {
    const auto found = this->nodes.find(message.to);
    if (found == this->nodes.end()) {
      return;
    }
    if (found->second.frozen || found->second.cut ||
        (this->nodes.contains(message.from) && this->nodes[message.from].cut)) {
      this->network.emplace(this->now + std::chrono::milliseconds(100),
                            std::move(message));
      return;
    }
    this->ApplyMutation(message.to);
    RateActions actions;
    Receive(found->second.gate, message.from, message.note, this->now, actions);
    this->Perform(message.to, actions);
  }

  void ApplyMutation(Incarnation incarnation) {
    RateGate& gate = this->nodes[incarnation].gate;
    switch (this->options.without) {
      case WithoutRule::kNothing:
        break;
      case WithoutRule::kLoanExpiry:
        for (auto& [share, held] : gate.borrower.shares) {
          for (auto& [request, loan] : held.loans) {
            loan.asked_at = this->now;
          }
        }
        break;
      case WithoutRule::kHomeWait:
        for (auto& seen : gate.roster.seen) {
          seen.at = Duration::zero();
        }
        break;
      case WithoutRule::kFreshness:
        gate.fresh_at = this->now;
        break;
      case WithoutRule::kCountingOfLoans:
        for (auto& [share, bucket] : gate.home.buckets) {
          bucket.loans.clear();
        }
        break;
    }
  }

  void Perform(Incarnation from, RateActions& actions) {
    for (const RateVerdict& verdict : actions.verdicts) {
      (verdict.admitted ? this->admitted : this->refused).push_back(this->now);
    }
    for (RateSend& send : actions.sends) {
      ++this->messages;
      if (this->Chance(this->options.lost)) {
        continue;
      }
      const int copies = this->Chance(this->options.duplicated) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        Duration delay = this->options.delay;
        if (this->Chance(this->options.late)) {
          delay += std::chrono::milliseconds(
              std::uniform_int_distribution<>(0, 3000)(this->random));
        }
        this->network.emplace(this->now + delay,
                              InFlight{from, send.to, send.note});
      }
    }
  }

  SimulationOptions options;
  std::mt19937_64 random;
  FleetState roster;
  std::shared_ptr<const FleetState> shared_roster;
  std::map<Incarnation, Node> nodes;
  std::multimap<Duration, InFlight> network;
  Incarnation last_incarnation = 0;
  uint64_t last_ticket = 0;
};

}  // namespace celerykeel::testing
