#pragma once

#include <cstdint>  // for uint64_t
#include <deque>    // for std::deque
#include <map>      // for std::map
#include <memory>   // for std::shared_ptr
#include <set>      // for std::set
#include <string>   // for std::string
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/rate_borrower.h"  // for RateBorrower, LoanNews
#include "celerykeel/core/rate_home.h"      // for RateHome, LoanWish
#include "celerykeel/core/rate_roster.h"    // for RosterHistory

namespace celerykeel {

/// @brief A home's answer to a LoanWish.
struct LoanGrant {
  RateShare share;
  uint64_t request = 0;
  double tokens = 0;
  Duration retry_after{};
  bool not_home = false;
};

/// @brief Asks a borrower to give back what it holds of a share.
struct LoanRecall {
  RateShare share;
};

/// @brief A share passed on by the home that it had.
struct HandoverNote {
  HomeHandover handover;
  Offset roster_version = 0;  // by which the sender is no longer the home
  bool resigned = false;      // the sender never lends again
};

/// @brief The sender has passed on every share that is not its own by
/// `roster_version`, in that many notes to the receiver.
struct ReleaseNote {
  Offset roster_version = 0;
  uint32_t handovers = 0;
};

using RateNote = std::variant<LoanWish,
                              LoanGrant,
                              LoanNews,
                              LoanRecall,
                              HandoverNote,
                              ReleaseNote>;

struct RateSend {
  Incarnation to = 0;
  RateNote note;
};

/// @brief What became of a request; `retry_after` when it was not admitted.
struct RateVerdict {
  uint64_t ticket = 0;
  bool admitted = false;
  Duration retry_after{};
  bool home_silent = false;  // refused for want of an answer
};

struct RateActions {
  std::vector<RateSend> sends;
  std::vector<RateVerdict> verdicts;
};

/// @brief A request that waits for a token.
struct RateWaiting {
  uint64_t ticket = 0;
  std::string team;
  uint32_t share = 0;    // that was asked last
  uint32_t asked = 0;    // shares that were asked in vain
  uint32_t recalls = 0;  // times that loans were called back for it
  uint64_t request = 0;  // the wish under way
  Duration asked_at{};   // when that wish was sent
  bool silent = false;   // a home did not answer
  Duration ask_at{};     // when to ask, if no wish is under way
  Duration until{};
  Duration retry_after{};
};

/// @brief A home's answer that a share has nothing now; it stands for a few
/// milliseconds, so that a flood of requests asks once.
struct DryShare {
  Duration until{};
  Duration retry_after{};
};

struct EarlyHandover {
  Incarnation from = 0;
  HandoverNote note;
  Duration until{};
};

/// @brief What a member has said of a roster.
struct Releases {
  ReleaseNote newest;
  std::set<RateShare> passed_on;  // to this gate, by that roster
  Offset passed_on_version = 0;
};

/// @brief A gate's part in the rates of the fleet: borrower and home.
struct RateGate {
  Incarnation self = 0;
  RosterHistory roster;
  Duration fresh_at{};  // when the state was last known complete
  bool resigned = false;
  RateBorrower borrower;
  RateHome home;
  std::deque<RateWaiting> waiting;
  std::map<RateShare, DryShare> dry;
  std::deque<EarlyHandover> early;
  std::map<Incarnation, Releases> releases;
  Duration swept_at{};
};

/// @brief Longest wait of a request for the home's answer.
inline constexpr Duration kRatePatience = std::chrono::milliseconds(300);

/// @brief A request of a team asks for a token. Its verdict follows now or in
/// a later call.
void Admit(RateGate& gate,
           uint64_t ticket,
           const std::string& team,
           Duration now,
           RateActions& actions);

/// @brief A note came from another gate.
void Receive(RateGate& gate,
             Incarnation from,
             const RateNote& note,
             Duration now,
             RateActions& actions);

/// @brief The gate's view changed, or was confirmed.
void NoteView(RateGate& gate,
              Incarnation self,
              std::shared_ptr<const FleetState> state,
              Duration fresh_at,
              Duration now,
              RateActions& actions);

/// @brief Call it every few milliseconds.
void Tick(RateGate& gate, Duration now, RateActions& actions);

/// @brief Gives all loans back and passes all shares on, for good.
void Resign(RateGate& gate, Duration now, RateActions& actions);

}  // namespace celerykeel
