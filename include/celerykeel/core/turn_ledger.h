#pragma once

#include <cstdint>   // for uint64_t
#include <deque>     // for std::deque
#include <map>       // for std::map
#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <set>       // for std::set
#include <string>    // for std::string
#include <utility>   // for std::pair
#include <variant>   // for std::variant
#include <vector>    // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/identity.h"       // for ProgramName, Incarnation
#include "celerykeel/core/stream_origin.h"  // for StreamRecord
#include "celerykeel/core/time.h"           // for WallMillis, Duration

namespace celerykeel {

/// @brief What a claim says about second parts; see OpenCover.
enum class ClaimCover {
  kUnchanged,  // also of older builds
  kOpen,       // programs without a record may get a second part from here on
  kEnded,      // each program that got one has a record
};

/// @brief The first record that a holder appends to its slot's log. It repeats
/// it to confirm the slot, and to open or end its cover.
struct ClaimRecord {
  std::string holder;
  uint64_t epoch = 0;
  ClaimCover cover = ClaimCover::kUnchanged;
};

/// @brief Token counts of a program: tokens spent and the durable ceiling.
struct SpendRecord {
  ProgramName program;
  uint64_t spent = 0;       // tokens of finished turns
  uint64_t ceiling = 0;     // tokens up to which answers may be delivered
  uint64_t largest = 0;     // max tokens of a single turn so far
  bool slack_used = false;  // a takeover has granted the slack of one turn
};

/// @brief A turn with a complete answer.
struct TurnRecord {
  ProgramName program;
  std::string turn;
  std::string previous;  // empty at the start of a chain
  std::string
      base;  // earlier text of the chain, if `previous` may have expired
  std::string input;
  std::string output;
  WallMillis ended_at = 0;
  WallMillis expires_at = 0;
  uint64_t spent = 0;  // tokens of the program, this turn included
};

/// @brief Tokens of a team's rate that a holder leaves to its successor.
struct RateRecord {
  std::string team;
  double kept = 0;
};

using SlotRecord = std::
    variant<ClaimRecord, SpendRecord, TurnRecord, RateRecord, StreamRecord>;

/// @brief A turn that can be continued. It owns the chain of earlier turns.
struct StoredTurn {
  std::string text;  // base, input and output, in this order
  std::shared_ptr<const StoredTurn> previous;
  WallMillis expires_at = 0;
  WallMillis oldest_record = 0;  // write time of the chain's oldest record
};

/// @brief The chain that a turn under way goes on from.
struct ContinuedChain {
  std::shared_ptr<const StoredTurn> previous;
  Duration admitted_at{};
};

/// @brief The process of an instance that relays a turn's answer.
struct TurnRelay {
  std::string instance;  // empty: not known
  Incarnation incarnation = 0;
};

/// @brief A turn that was admitted and whose end was not reported yet.
struct RunningTurn {
  uint64_t max_tokens = 0;
  TurnRelay relay;
  Duration admitted_at{};
  std::optional<Duration> lost_at;  // when its relay was first out of touch
  bool is_abandoned = false;        // see AbandonTurn
};

/// @brief Tokens that a program has spent and may spend, as counted by the
/// holder of its slot.
struct ProgramSpend {
  uint64_t spent = 0;
  uint64_t ceiling = 0;  // durable
  // Ceiling in the newest record, which is durable or in flight.
  uint64_t requested_ceiling = 0;
  uint64_t largest = 0;
  uint64_t budget = 0;  // as stated by the last turn
  bool slack_used = false;
  // Tokens that the program may spend without a durable record, in addition to
  // the max tokens of one turn.
  uint64_t free_part = 0;
  // Tokens that an inherited program may spend without a record in addition to
  // the charged free part, under a holder with an open cover.
  uint64_t second_part = 0;
  // The program ran under an earlier holder, or may have run there without a
  // record. It gets no free part from this holder; the free part that an
  // earlier holder may have granted counts as spent.
  bool is_inherited = false;
  bool free_part_charged = false;              // earlier free part was counted
  std::map<std::string, RunningTurn> running;  // by turn
  std::optional<Duration> used_at;             // empty during a replay
};

/// @brief Turns that ended recently, by team and turn. Their admission may
/// still be under way: it is requested again if it is slow, and messages may be
/// reordered.
struct EndedTurns {
  std::set<std::pair<std::string, std::string>> turns;
  std::deque<std::pair<Duration, std::pair<std::string, std::string>>>
      by_time;  // oldest first
};

/// @brief The state of one slot: turns of retained routes, and budgets.
struct TurnLedger {
  std::map<std::pair<std::string, std::string>,
           std::shared_ptr<const StoredTurn>>
      turns;  // by team and turn
  // By team and turn under way: a turn may end after the one before it has
  // expired.
  std::map<std::pair<std::string, std::string>, ContinuedChain> continued;
  std::map<ProgramName, ProgramSpend> programs;
  EndedTurns ended;
  // Until this time an unknown program may have run under an earlier holder.
  Duration unknown_programs_until{};
  // The log has a cover that did not end. After the replay: one of an earlier
  // holder, whose second parts count as spent.
  bool has_open_cover = false;
  // The cover of this holder is durable: it grants second parts.
  bool grants_second_part = false;
};

/// @brief Time after a takeover during which an unknown program may have run
/// under an earlier holder. A running program requests its next turn within
/// about half of this time: the longest tools take 6 s.
inline constexpr Duration kUnknownProgramPeriod = std::chrono::seconds(20);
/// @brief Time after the store's last confirmation during which a holder grants
/// free parts. A holder that was replaced without noticing it grants none later
/// than this after the takeover. Its programs then have the other half of
/// kUnknownProgramPeriod to request a turn from the new holder.
inline constexpr Duration kFreePartPeriod = kUnknownProgramPeriod / 2;

/// @brief Time for which the ends of turns are remembered. An admission is
/// under way for a few seconds at most.
inline constexpr Duration kEndedTurnTime = std::chrono::seconds(10);

struct TurnRequest {
  ProgramName program;
  std::string turn;
  uint64_t most_tokens = 0;
  uint64_t budget = 0;
  // The program's turns are retained. It gets no free part, only the slack of
  // one turn, as its turns need the store anyway. A program without a retained
  // turn can only have started its first one, so a successor counts nothing as
  // spent.
  bool is_retained = false;
  TurnRelay relay{};
};

/// @brief Why a turn does not fit into its program's budget.
enum class BudgetShortfall {
  kSpent,  // finished turns leave too few tokens
  kHeld,  // running turns reserve the rest at their max tokens and may use less
  kEnded,  // the turn has ended: its instance gave it up, or repeated a request
};

/// @brief Returns the record of a program's counts, with the newest ceiling.
SpendRecord RecordOf(const ProgramName& program, const ProgramSpend& spend);

/// @brief Applies a record of the slot's log. Records must be applied in order.
/// Of claims only the cover counts; team rates and streams change nothing. A
/// turn record names a previous turn only if that had not expired at
/// `ended_at`.
void Replay(TurnLedger& ledger, const SlotRecord& record);

/// @brief Drops turns from which no later record of the log can go on, to bound
/// the memory of a replay.
/// @param written_at time of the newest record replayed.
void ExpireReplayed(TurnLedger& ledger, WallMillis written_at);

/// @brief Ends a replay. Counts all tokens up to each program's ceiling as
/// spent, less the max tokens of one turn (the slack), which is granted only
/// once for each program.
/// @param is_first true if the slot had no holder before.
void AssumeCeilingSpent(TurnLedger& ledger, bool is_first, Duration now);

/// @brief Counts a turn as running with its max tokens. Repeating the request
/// for a running turn succeeds and changes no count. Like the other functions
/// that count tokens it ends the process if it runs out of memory: half of a
/// change could let a program exceed its budget.
tl::expected<void, BudgetShortfall> AdmitTurn(TurnLedger& ledger,
                                              const TurnRequest& request,
                                              Duration now) noexcept;

/// @brief True if this holder may open a cover: an earlier holder may have
/// granted free parts, and no second parts.
bool MayOpenCover(const TurnLedger& ledger, Duration now);

/// @brief A claim with ClaimCover::kOpen became durable. From now on programs
/// that an earlier holder may have known get a second part of their budget
/// without a record. If this instance is replaced before EndCover, its
/// successor counts the second part as spent too.
void OpenCover(TurnLedger& ledger);

/// @brief True if a cover of this or an earlier holder can be ended: no unknown
/// program can have run under an earlier holder any more.
bool MayEndCover(const TurnLedger& ledger, Duration now);

/// @brief Ends the cover. The result must be written, followed by a claim with
/// ClaimCover::kEnded. It tells a successor what it otherwise would not know:
/// the tokens that were counted as spent for each program.
std::vector<SpendRecord> EndCover(TurnLedger& ledger);

/// @brief True if the tokens of the program's finished and running turns are
/// within its durable ceiling, its free part or its second part. Only then may
/// tokens be delivered to callers.
/// @param is_confirmed true if the store confirmed the holder within
/// kFreePartPeriod.
bool IsCovered(const TurnLedger& ledger,
               const ProgramSpend& spend,
               bool is_confirmed);

/// @brief Returns the record that raises the ceiling to cover the running turns
/// and a few more, which are reserved ahead within the budget; nothing if no
/// record is needed or it is already in flight.
/// @param is_confirmed as for IsCovered.
std::optional<SpendRecord> RaiseCeiling(TurnLedger& ledger,
                                        const ProgramName& program,
                                        bool is_confirmed) noexcept;

/// @brief Applies the ceiling of a spend record that became durable.
void ApplyDurableCeiling(TurnLedger& ledger,
                         const SpendRecord& record) noexcept;

/// @brief Records that a turn ended. Admissions that are processed later are
/// refused for kEndedTurnTime.
void RecordEnded(TurnLedger& ledger,
                 const std::string& team,
                 const std::string& turn,
                 Duration now) noexcept;

/// @brief True if the turn's end was recorded within kEndedTurnTime.
bool HasEnded(const TurnLedger& ledger,
              const std::string& team,
              const std::string& turn);

/// @brief Ends a turn that used `used` tokens. A turn admitted by an earlier
/// holder is included in the count of AssumeCeilingSpent and is not counted
/// again.
/// @return the record to write; nothing if this holder has not requested a
/// ceiling for the program.
std::optional<SpendRecord> SettleTurn(TurnLedger& ledger,
                                      const ProgramName& program,
                                      const std::string& turn,
                                      uint64_t used,
                                      uint64_t most_tokens,
                                      Duration now) noexcept;

/// @brief Finds a turn of the team; nullptr if the ledger has none.
std::shared_ptr<const StoredTurn> FindTurn(const TurnLedger& ledger,
                                           const std::string& team,
                                           const std::string& turn);

/// @brief Keeps the chain that a turn goes on from until ReleaseChain. Does
/// nothing if the ledger lacks `previous`.
void HoldChain(TurnLedger& ledger,
               const std::string& team,
               const std::string& turn,
               const std::string& previous,
               Duration now);

/// @brief Ends HoldChain: the turn was recorded or given up.
void ReleaseChain(TurnLedger& ledger,
                  const std::string& team,
                  const std::string& turn);

/// @brief Finds the turn `previous` from which `turn` goes on, which may have
/// expired since that was admitted; nullptr if the ledger has none.
std::shared_ptr<const StoredTurn> FindPrevious(const TurnLedger& ledger,
                                               const std::string& team,
                                               const std::string& turn,
                                               const std::string& previous);

/// @brief Returns the text of the complete chain up to and including `turn`.
std::string ChainText(const StoredTurn& turn);

/// @brief Drops expired turns, programs that were unused for `idle`, chains of
/// turns that were admitted longer ago, and ends after kEndedTurnTime. Must not
/// run during a replay: turns that have not expired may go on from ones that
/// have.
void Expire(TurnLedger& ledger, WallMillis wall, Duration now, Duration idle);

}  // namespace celerykeel
