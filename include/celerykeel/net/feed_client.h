#pragma once

#include <functional>   // for std::function
#include <memory>       // for std::shared_ptr, std::unique_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/identity.h"     // for Incarnation, Fence, Offset
#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/net/messenger.h"     // for MessengerError

namespace celerykeel {

/// @brief What a process knows of the fleet at one moment.
struct FleetView {
  std::shared_ptr<const FleetState> state;  // never null
  Incarnation self = 0;                     // 0: not joined yet
  Duration lease_until{};                   // act for programs only before it
  Duration fresh_at{};        // when the state was last known complete
  Duration retention{};       // of the log's records; 0: not known
  Duration successor_wait{};  // after an eviction: a lease and a margin
  bool log_reachable = false;
  bool draining = false;
};

/// @brief True while this instance may act for the programs that it owns.
bool HoldsLease(const FleetView& view, Duration now);

enum class AppendOutcome { kAppended, kNotAppended, kUncertain };

/// @brief What became of an append; `kNotAppended` is certain.
struct AppendResult {
  AppendOutcome outcome = AppendOutcome::kUncertain;
  Offset first_offset = 0;
  Duration retry_after{};
};

struct JournalEntry {
  Offset offset = 0;
  std::string payload;  // a pb::JournalRecord
};

/// @brief Part of a journal; `ok` is false if the log did not answer.
struct JournalPage {
  bool ok = false;
  Offset next_from = 0;  // 0: the end was reached
  std::vector<JournalEntry> entries;
};

struct FeedClientOptions {
  std::string process;          // "gate", "scheduler" or "ctl"
  std::string steward_address;  // host:port of the steward's feed
  Duration append_timeout = std::chrono::seconds(5);
};

/// @brief A process's connection to its instance's steward: the folded state,
/// the lease, and appends to the log. One thread; callbacks run on it.
class FeedClient {
 public:
  using ViewHandler = std::function<void(const FleetView&)>;
  using AppendHandler = std::function<void(const AppendResult&)>;
  using JournalHandler = std::function<void(const JournalPage&)>;

  static tl::expected<std::unique_ptr<FeedClient>, MessengerError> Create(
      FeedClientOptions options,
      ViewHandler on_change);

  /// After ReportDrained waits a moment until the steward has noted it. Answers
  /// that are still awaited do not come.
  ~FeedClient();

  /// @brief The newest view, from any thread.
  FleetView View() const;

  /// @brief Appends records to the instance's own journal, in order. `done`
  /// runs exactly once unless false is returned.
  bool AppendJournal(std::vector<std::string> payloads, AppendHandler done);

  /// @brief Appends records to the fleet stream.
  bool AppendFleet(std::vector<std::string> payloads, AppendHandler done);

  /// @brief Reads the journal of an incarnation from an offset on.
  bool ReadJournal(Incarnation incarnation,
                   Offset from,
                   uint32_t max,
                   JournalHandler done);

  /// @brief Tells the steward that this process has nothing left to do, so
  /// that a draining instance may leave the roster.
  void ReportDrained();

 private:
  struct State;
  explicit FeedClient(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
