#pragma once

#include <cstdint>  // for uint64_t
#include <deque>    // for std::deque
#include <map>      // for std::map
#include <memory>   // for std::shared_ptr
#include <set>      // for std::set
#include <string>   // for std::string
#include <variant>  // for std::variant
#include <vector>   // for std::vector

#include "celerykeel/core/rate_borrower.h"  // for RateBorrower, LoanReport
#include "celerykeel/core/rate_home.h"      // for RateHome, RequestedLoan
#include "celerykeel/core/rate_roster.h"    // for RosterHistory

namespace celerykeel {

/// @brief The home's answer to a RequestedLoan.
struct LoanGrant {
  RateShare share;
  uint64_t request = 0;
  double tokens = 0;
  Duration retry_after{};
  bool not_home = false;
};

/// @brief Asks a borrower to return its loans of a share.
struct LoanRecall {
  RateShare share;
};

/// @brief Hands a share over to its next home.
struct HandoverNotice {
  ShareHandover handover;
  Offset roster_version = 0;  // in which the sender is no longer the home
  bool resigned = false;      // the sender never lends again
};

/// @brief Announces that the sender has handed over every share that is not its
/// own in `roster_version`, `handovers` of them to the receiver.
struct ReleaseNotice {
  Offset roster_version = 0;
  uint32_t handovers = 0;
};

using RateGateMessage = std::variant<RequestedLoan,
                                     LoanGrant,
                                     LoanReport,
                                     LoanRecall,
                                     HandoverNotice,
                                     ReleaseNotice>;

/// @brief A message to another gate.
struct RateSend {
  Incarnation to = 0;
  RateGateMessage note;
};

/// @brief Outcome of a request. `retry_after` is set if it was not admitted.
struct RateVerdict {
  uint64_t ticket = 0;  // as passed to Admit
  bool admitted = false;
  Duration retry_after{};
  bool home_unresponsive = false;  // refused because a home did not answer
};

/// @brief Messages to send and verdicts to report after a call.
struct RateActions {
  std::vector<RateSend> sends;
  std::vector<RateVerdict> verdicts;
};

/// @brief A request that is waiting for a token.
struct WaitingRequest {
  uint64_t ticket = 0;
  std::string team;
  uint32_t share = 0;    // share whose home is asked now
  uint32_t asked = 0;    // shares whose home refused or did not answer
  uint32_t recalls = 0;  // short retries at this share, e.g. after a recall
  uint64_t request = 0;  // pending loan request; 0: none
  Duration asked_at{};   // when that request was sent
  bool unresponsive = false;  // a home did not answer
  Duration ask_at{};          // when to ask next, if no request is pending
  Duration until{};           // when to refuse the request
  Duration retry_after{};     // shortest of the shares asked
};

/// @brief A home's answer that a share has no tokens. It is cached for a few
/// milliseconds, so that a burst of requests asks the home once.
struct ExhaustedShare {
  Duration until{};
  Duration retry_after{};
};

/// @brief A handover that arrived before the roster that it is based on.
struct EarlyHandover {
  Incarnation from = 0;
  HandoverNotice notice;
  Duration until{};
};

/// @brief What a member has announced about shares that it handed over.
struct ReleaseState {
  ReleaseNotice newest;
  // Shares handed to this gate in the roster version below.
  std::set<RateShare> handed_over_shares;
  Offset handed_over_version = 0;
};

/// @brief State of an instance's rate limiter: borrower and home of shares.
struct RateGate {
  Incarnation self = 0;
  RosterHistory roster;
  Duration fresh_at{};  // when the fleet state was last known to be complete
  bool resigned = false;
  RateBorrower borrower;
  RateHome home;
  std::deque<WaitingRequest> waiting;
  std::map<RateShare, ExhaustedShare> exhausted_shares;
  std::deque<EarlyHandover> early_handovers;
  std::map<Incarnation, ReleaseState> releases;
  Duration swept_at{};
};

/// @brief Longest time for which a request waits for a token.
inline constexpr Duration kRateTimeout = std::chrono::milliseconds(300);

/// @brief Requests a token for a request of a team. The verdict is returned in
/// `actions` of this call or of a later one.
void Admit(RateGate& gate,
           uint64_t ticket,
           const std::string& team,
           Duration now,
           RateActions& actions);

/// @brief Handles a message from another gate.
void Receive(RateGate& gate,
             Incarnation from,
             const RateGateMessage& message,
             Duration now,
             RateActions& actions);

/// @brief Updates the gate's view of the fleet, or confirms that it is current.
/// @param fresh_at when `state` was last known to be complete.
void UpdateView(RateGate& gate,
                Incarnation self,
                std::shared_ptr<const FleetState> state,
                Duration fresh_at,
                Duration now,
                RateActions& actions);

/// @brief Sends the loan requests and reports that are due, and refuses
/// requests that timed out or that no share can serve. Call it every few
/// milliseconds.
void Tick(RateGate& gate, Duration now, RateActions& actions);

/// @brief Returns all loans and hands over all shares. The gate never lends
/// again.
void Resign(RateGate& gate, Duration now, RateActions& actions);

}  // namespace celerykeel
