#pragma once

#include <algorithm>  // for std::find
#include <cmath>      // for std::llround
#include <map>        // for std::map
#include <optional>   // for std::optional
#include <string>     // for std::string, std::to_string
#include <utility>    // for std::pair
#include <vector>     // for std::vector

#include "celerykeel/core/fold.h"     // for Fold
#include "celerykeel/core/lease.h"    // for HolderLease
#include "celerykeel/core/roster.h"   // for VotesNeeded
#include "celerykeel/core/witness.h"  // for Witness, VoteToEvict

namespace celerykeel::lease_model {

using std::chrono::milliseconds;

inline constexpr Duration kLease = milliseconds(4000);
inline constexpr Duration kMargin = milliseconds(500);
inline constexpr Duration kHeartbeat = milliseconds(500);
inline constexpr Duration kStep = milliseconds(100);
inline constexpr int kProcesses = 5;
inline constexpr double kDrift =
    0.05;  // max clock drift; 2 * kDrift * kLease < kMargin

// A mechanism that is disabled, to show that the checked property needs it.
enum class Without {
  kNothing,
  kVoteMemory,        // a witness vouches again after its vote to evict
  kLeaseFromSending,  // the lease starts at the answer
  kSuccessorWait,     // the successor acts as soon as it sees the eviction
  kBothWitnessSets,   // a change needs only the current witnesses
  kSilence,           // a witness votes after three missed heartbeats
  kSilenceAndSuccessorWait,  // kSilence and kSuccessorWait
  kMajority,                 // one vote evicts
  kOwnJoinFirst,  // a restarted witness vouches before its Join is folded
};

struct Heartbeat {
  int from = 0;
  int to = 0;
  uint64_t sequence = 0;
  Incarnation holder = 0;
  bool answer = false;
  bool vouched = false;
  Duration due_at{};  // real time
};

struct Process {
  std::string name;
  double rate = 1;            // of its clock relative to real time
  Duration frozen_until{};    // real time, as the next two
  Duration cut_until{};       // from the log
  Duration isolated_until{};  // from its peers
  Incarnation self = 0;
  FleetState state;
  HolderLease lease;
  Witness witness;
  Duration heartbeat_at{};
  std::optional<WitnessChange> change;  // of its own witnesses, pending
  bool change_sent = false;
  std::map<Incarnation, Duration> may_act_at;  // own clock, by departed
};

// Simulates five processes, their log and their messages in real time.
struct LeaseModel {
  explicit LeaseModel(Without mechanism) : without(mechanism) {
    for (int i = 0; i < kProcesses; ++i) {
      Process process;
      process.name = "instance-" + std::to_string(i);
      process.rate = 1 + kDrift * (i - 2) / 2.0;
      this->processes.push_back(process);
      this->Restart(i);
    }
  }

  Duration Clock(int i) const {
    const double rate = this->processes[static_cast<size_t>(i)].rate;
    return Duration(
        std::llround(static_cast<double>(this->now.count()) * rate));
  }

  // Restarts the process with empty state. It joins once it reads the log.
  void Restart(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    process.self = 0;
    process.state = FleetState{};
    process.lease = HolderLease{};
    process.witness = Witness{};
    process.may_act_at.clear();
    process.change.reset();
    process.frozen_until = Duration{};
    Listen(process.witness, this->Clock(i));
    this->incarnation[i] = ++this->last_incarnation;
    this->joined[i] = false;
  }

  void JoinIfDue(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    if (!this->joined[i]) {
      Join join;
      join.incarnation = this->incarnation[i];
      join.instance = process.name;
      join.witnesses = this->WitnessSet(i, 0);
      for (const auto& [other, member] : process.state.members) {
        if (member.join.instance == process.name) {
          join.replaces = other;
        }
      }
      this->log.push_back(join);
      this->joined[i] = true;
    }
  }

  void ReadLog(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    if (this->now < process.cut_until) {
      return;
    }
    while (process.state.offset < this->log.size()) {
      const Offset offset = process.state.offset + 1;
      Fold(process.state, offset, this->log[offset - 1]);
    }
    for (const auto& [gone, member] : process.state.departed) {
      process.may_act_at.emplace(gone, this->Clock(i) + this->SuccessorWait());
    }
    this->JoinIfDue(i);
    if (process.self == 0 &&
        process.state.members.contains(this->incarnation[i])) {
      process.self = this->incarnation[i];
      process.lease.instance = process.name;
      process.lease.witnesses =
          process.state.members.at(process.self).join.witnesses;
    }
    this->ApplyWitnesses(process);
    // A departed process joins again.
    if (process.self != 0 && process.state.departed.contains(process.self)) {
      process.self = 0;
      process.lease = HolderLease{};
      process.change.reset();
      this->incarnation[i] = ++this->last_incarnation;
      this->joined[i] = false;
    }
  }

  static void ApplyWitnesses(Process& process) {
    const auto own = process.state.members.find(process.self);
    if (own != process.state.members.end() &&
        own->second.join.witnesses != process.lease.witnesses) {
      process.lease.witnesses = own->second.join.witnesses;
      process.lease.next_witnesses.clear();
      process.change.reset();
    }
  }

  // Returns one of three sets in rotation: the process and two neighbours, the
  // process and the two others, all five.
  std::vector<std::string> WitnessSet(int i, uint64_t number) const {
    std::vector<std::string> names{
        this->processes[static_cast<size_t>(i)].name};
    for (int step = 1; step < kProcesses; ++step) {
      const bool is_neighbour = step <= 2;
      if (number % 3 == 2 || is_neighbour == (number % 3 == 0)) {
        names.push_back("instance-" + std::to_string((i + step) % kProcesses));
      }
    }
    return names;
  }

  void StartWitnessChange(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    const auto own = process.state.members.find(process.self);
    if (process.change || own == process.state.members.end()) {
      return;
    }
    const uint64_t number = own->second.join.witnesses_number + 1;
    process.change =
        WitnessChange{process.self, number, this->WitnessSet(i, number)};
    process.change_sent = false;
    if (this->without != Without::kBothWitnessSets) {
      process.lease.next_witnesses = process.change->witnesses;
    }
  }

  // Sends the record once a majority of the next witnesses has vouched.
  void SendWitnessChange(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    if (!process.change || process.change_sent ||
        this->now < process.cut_until) {
      return;
    }
    if (this->without == Without::kBothWitnessSets ||
        this->Clock(i) <
            LeaseEnd(process.lease, process.change->witnesses, kLease)) {
      process.change_sent = true;
      this->pending.emplace_back(this->now + this->append_delay,
                                 *process.change);
    }
  }

  Duration SuccessorWait() const {
    return this->without == Without::kSuccessorWait ||
                   this->without == Without::kSilenceAndSuccessorWait
               ? Duration{}
               : kLease + kMargin;
  }

  void SendHeartbeats(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    const Duration clock = this->Clock(i);
    if (process.self == 0 || clock < process.heartbeat_at + kHeartbeat) {
      return;
    }
    process.heartbeat_at = clock;
    const uint64_t sequence = RecordHeartbeat(process.lease, kLease, clock);
    for (int j = 0; j < kProcesses; ++j) {
      if (j != i &&
          IsHeartbeatTarget(process, this->processes[static_cast<size_t>(j)])) {
        this->Send({i, j, sequence, process.self, false, false,
                    this->now + this->delay});
      }
    }
  }

  static bool IsHeartbeatTarget(const Process& process, const Process& other) {
    const auto has = [&](const std::vector<std::string>& names) {
      return std::find(names.begin(), names.end(), other.name) != names.end();
    };
    return has(process.lease.witnesses) || has(process.lease.next_witnesses);
  }

  bool Linked(int i, int j) const {
    return this->now >=
               this->processes[static_cast<size_t>(i)].isolated_until &&
           this->now >= this->processes[static_cast<size_t>(j)].isolated_until;
  }

  void Send(const Heartbeat& message) {
    if (this->Linked(message.from, message.to)) {
      this->messages.push_back(message);
    }
  }

  bool Frozen(int i) const {
    return this->now < this->processes[static_cast<size_t>(i)].frozen_until;
  }

  void Deliver() {
    std::vector<Heartbeat> due;
    std::erase_if(this->messages, [&](const Heartbeat& message) {
      const bool taken =
          message.due_at <= this->now && !this->Frozen(message.to);
      if (taken) {
        due.push_back(message);
      }
      return taken;
    });
    for (const Heartbeat& message : due) {
      message.answer ? this->ReceiveAnswer(message) : this->AnswerTo(message);
    }
  }

  void AnswerTo(const Heartbeat& message) {
    Process& process = this->processes[static_cast<size_t>(message.to)];
    if (this->without == Without::kVoteMemory) {
      process.witness.words.clear();
    }
    bool vouched = AnswerHeartbeat(process.witness, process.state, process.self,
                                   message.holder, this->Clock(message.to));
    if (this->without == Without::kOwnJoinFirst && process.self == 0) {
      vouched = true;
    }
    this->Send({message.to, message.from, message.sequence, message.holder,
                true, vouched, this->now + this->delay});
  }

  void ReceiveAnswer(const Heartbeat& message) {
    Process& process = this->processes[static_cast<size_t>(message.to)];
    if (!message.vouched || message.holder != process.self) {
      return;
    }
    if (this->without == Without::kLeaseFromSending &&
        process.lease.sent_at.contains(message.sequence)) {
      process.lease.sent_at[message.sequence] = this->Clock(message.to);
    }
    RecordVouch(process.lease,
                this->processes[static_cast<size_t>(message.from)].name,
                message.sequence);
  }

  // A witness that suspects a member collects the votes of the others and
  // appends the eviction. Votes take no time in the model; the append may
  // happen much later (`pending`).
  void Suspect(int i) {
    Process& process = this->processes[static_cast<size_t>(i)];
    const Duration silence =
        this->without == Without::kSilence ||
                this->without == Without::kSilenceAndSuccessorWait
            ? 3 * kHeartbeat
            : kLease + kMargin;
    for (const Incarnation suspect :
         SuspectedMembers(process.witness, process.state, process.self, silence,
                          this->Clock(i))) {
      Evict evict{suspect, {}, process.self, "silent"};
      for (int j = 0; j < kProcesses; ++j) {
        Process& other = this->processes[static_cast<size_t>(j)];
        if (!this->Frozen(j) && (i == j || this->Linked(i, j)) &&
            VoteToEvict(other.witness, other.state, other.self, suspect,
                        silence, this->Clock(j))) {
          evict.words.push_back(other.self);
        }
      }
      const size_t needed =
          this->without == Without::kMajority
              ? 1
              : VotesNeeded(process.state.members.at(suspect).join);
      if (evict.words.size() >= needed) {
        this->pending.emplace_back(this->now + this->append_delay, evict);
      }
    }
  }

  void Append() {
    std::erase_if(this->pending, [&](auto& entry) {
      if (entry.first > this->now) {
        return false;
      }
      if (auto* evict = std::get_if<Evict>(&entry.second);
          evict != nullptr && this->without == Without::kMajority) {
        // The fold requires a majority of the votes.
        for (const Process& process : this->processes) {
          if (process.self != 0) {
            evict->words.push_back(process.self);
          }
        }
      }
      this->log.push_back(entry.second);
      return true;
    });
  }

  void Advance(Duration span) {
    for (const Duration end = this->now + span; this->now < end;
         this->now += kStep) {
      this->Append();
      this->Deliver();
      for (int i = 0; i < kProcesses; ++i) {
        if (!this->Frozen(i)) {
          this->ReadLog(i);
          this->SendHeartbeats(i);
          this->SendWitnessChange(i);
          this->Suspect(i);
        }
      }
      this->CheckSingleActor();
    }
  }

  // From `may_act_at` a successor may act for a departed incarnation. From then
  // on the holder's lease must have expired on its own clock, whether the
  // holder is frozen or not. A restarted process replaces its earlier
  // incarnation and does not hold its lease.
  void CheckSingleActor() {
    for (int holder = 0; holder < kProcesses; ++holder) {
      const Process& process = this->processes[static_cast<size_t>(holder)];
      if (process.self == 0 ||
          this->Clock(holder) >= LeaseEnd(process.lease, kLease)) {
        continue;
      }
      ++this->held;
      for (int i = 0; i < kProcesses; ++i) {
        const Process& other = this->processes[static_cast<size_t>(i)];
        const auto found = other.may_act_at.find(process.self);
        if (i != holder && found != other.may_act_at.end() &&
            this->Clock(i) >= found->second) {
          this->violated = true;
        }
      }
    }
  }

  Without without;
  Duration now{};
  Duration delay = milliseconds(1);
  Duration append_delay{};
  std::vector<Process> processes;
  std::map<int, Incarnation> incarnation;
  std::map<int, bool> joined;
  Incarnation last_incarnation = 0;
  std::vector<FleetRecord> log;
  std::vector<Heartbeat> messages;
  std::vector<std::pair<Duration, FleetRecord>> pending;
  uint64_t held = 0;  // number of checks that found a valid lease
  bool violated = false;
};

}  // namespace celerykeel::lease_model
