#pragma once

#include <array>     // for std::array
#include <deque>     // for std::deque
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/abandoned_turns.h"  // for AbandonTurn
#include "celerykeel/core/turn_ledger.h"      // for TurnLedger

namespace celerykeel::testing {

/// @brief A rule of slots that the model leaves out, to show that without it a
/// guarantee is violated. The comments say what happens without the rule.
enum class WithoutRule {
  kNone,
  kCover,           // tokens are delivered before a durable record covers them
  kAssumeSpent,     // a successor counts only the spent tokens of records
  kSlackOnce,       // each takeover grants the slack of one turn again
  kChargeFreePart,  // a successor counts no free part as spent
  kFreePartOnce,    // each holder grants a program a free part
  kChargeSecondPart,  // a successor counts no second part as spent
  kSecondPartLimit,   // a second part may exceed what a successor counts
  kDurableCover,      // second parts are granted before the cover is durable
  kRecordsBeforeCoverEnd,  // a cover ends without the records of its programs
  kFence,                  // the store accepts appends of any epoch
  kConfirm,                // a holder reports "no such turn" without an append
  kDurableEnd,      // an answer is completed before its record is durable
  kSameSequence,    // an append without an answer counts as appended
  kAbandonOnce,     // each abandoned turn of a program counts nothing
  kDurableAbandon,  // an abandoned turn ends before its record is durable
  kRefuseEnded,     // a turn may be admitted after its end
};

/// @brief The kinds of turns that the program sends.
enum class TurnKinds {
  kPlain,
  kRetained,
  // Both, and its turns state different budgets.
  kMixed,
};

/// @brief One step of a run; `which` selects the instance or turn.
struct SlotStep {
  enum class Kind {
    kClaim,
    kAdmit,
    kAppend,
    kAppendAnswerLost,
    kAppendLost,
    kDeliver,
    kEnd,
    kLookUpTurn,
    kEndCover,
    kAbandon,
    kAdmitAgain,
    kKill,
    kPowerLoss,
    kStoreDown,
    kStoreUp,
  };
  Kind kind = Kind::kAdmit;
  uint32_t which = 0;
};

/// @brief Simulates one slot, its log in the store, two instances that may hold
/// it, and the turns of one program as seen by callers.
class SlotModel {
 public:
  /// @param turn_sizes max tokens of turns; the larger one is the first.
  SlotModel(WithoutRule rule,
            TurnKinds turn_kinds,
            std::array<uint64_t, 2> turn_sizes = {10, 10})
      : without(rule), kinds(turn_kinds), sizes(turn_sizes) {}

  void Apply(const SlotStep& step);

  /// @brief The violated guarantee; empty if there is none.
  std::optional<std::string> violation;

  static constexpr uint64_t kBudget = 30;  // tokens of the program
  // As some turns of TurnKinds::kMixed state it.
  static constexpr uint64_t kSmallBudget = 12;

 private:
  struct Pending {
    SlotRecord record;
    std::string
        completes_turn;  // its answer is complete once the record is durable
    std::string abandons_turn;  // it ends once the record is durable
  };
  struct Turn {
    std::string id;
    uint64_t most = 0;  // max tokens
    bool is_retained = false;
    bool covered = false;  // the relaying instance may deliver its tokens
    bool delivered = false;
    bool ending = false;
  };
  struct Holder {
    TurnLedger ledger;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    std::deque<Pending> queue;
    std::vector<Turn> ended;  // whose end was reported to this holder
    bool appended =
        false;  // the first of `queue` is in the log, its answer is missing
  };

  void Claim(size_t instance);
  bool IsRetained(uint32_t which) const;
  void Admit(Holder& holder, uint32_t which);
  void AdmitAgain(Holder& holder, uint32_t which);
  void EndCoverOf(Holder& holder);
  void Abandon(Holder& holder, uint32_t which);
  void Append(std::optional<Holder>& holder, SlotStep::Kind how);
  void Finish(Holder& holder);
  void DeliverTokens(uint32_t which);
  void End(Holder& holder, uint32_t which);
  void LookUpTurn(std::optional<Holder>& holder, uint32_t which);
  void Enqueue(Holder& holder, SlotRecord record, std::string completes_turn);
  void AnnounceCovered(const Holder& holder);
  bool IsFenced(const Holder& holder) const;

  WithoutRule without;
  TurnKinds kinds;
  std::array<uint64_t, 2> sizes;
  bool store_available = true;
  std::vector<SlotRecord> log;
  uint64_t store_epoch = 0;
  std::array<std::optional<Holder>, 2> holders;
  std::vector<Turn> turns;  // running
  // Retained turns with a complete answer.
  std::vector<std::string> complete_turns;
  uint64_t delivered = 0;  // tokens
  uint32_t next_turn = 1;
};

}  // namespace celerykeel::testing
