#pragma once

#include <array>     // for std::array
#include <cstddef>   // for size_t
#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for std::optional
#include <span>      // for std::span
#include <vector>    // for std::vector

#include "celerykeel/core/prefix_map.h"  // for PrefixMap, PromptShape
#include "celerykeel/core/run_rank.h"    // for RunRank, kMostRanks
#include "celerykeel/core/time.h"        // for Duration

namespace celerykeel {

/// @brief How fast an endpoint is.
struct EndpointPace {
  uint32_t slots = 16;  // calls that run at once
  double prefill_tokens_per_second = 20'000;
};

/// @brief What a scheduler believes of one endpoint, from what it sent.
struct EndpointBook {
  EndpointPace pace;
  PrefixMap held;
  std::array<uint32_t, kMostRanks> outstanding{};  // calls, by rank
  uint32_t others = 0;         // calls of other schedulers, as reported
  Duration reported_at{};      // when `others` held
  uint64_t pinned_tokens = 0;  // of their prompts
  Duration read_until{};       // when it should have read what was sent
};

struct PlacementOptions {
  double eviction_weight = 1;  // 0: evicting others is free
  Duration half_age = std::chrono::seconds(30);
  double bounded_load = 1.5;  // of the mean outstanding; 0: no bound
  uint32_t samples = 0;       // endpoints drawn beside the best holder; 0: all
  bool knows_holdings = true;
  // An old report says how busy all endpoints are rather than which one: what
  // it says beyond the mean counts half after this.
  Duration report_half_life = std::chrono::seconds(1);
};

struct PlacementRequest {
  PromptShape prompt;
  RunRank rank = 0;
  Duration call_time{};  // how long calls take of late
};

/// @brief Expected cost of a call at an endpoint, in seconds.
struct PlacementCost {
  double wait = 0;
  double prefill = 0;    // of what is not held, its delay to others included
  double eviction = 0;   // reading again what it drives out
  bool is_over = false;  // past the bound on load
};

double Total(const PlacementCost& cost);

struct Placement {
  size_t endpoint = 0;               // index
  std::vector<PlacementCost> costs;  // by index
};

/// @param others calls of other schedulers, as far as reports are trusted.
PlacementCost ExpectedCost(const EndpointBook& book,
                           const PlacementRequest& request,
                           const PlacementOptions& options,
                           double others,
                           Duration now);

/// @brief The endpoint of the least expected cost, those past the bound on
/// load last; nothing if there is none.
/// @param draw random bits; two schedulers with other bits look at other
/// endpoints.
std::optional<Placement> Place(std::span<const EndpointBook> books,
                               const PlacementRequest& request,
                               const PlacementOptions& options,
                               uint64_t draw,
                               Duration now);

/// @brief What was noted of a call when it was sent.
struct SentCall {
  RunRank rank = 0;
  uint64_t pinned_tokens = 0;
};

/// @brief The endpoint reported `calls` under way at `as_of`, `own` of them
/// sent from here. A report older than the last one taken is ignored.
void NoteLoad(EndpointBook& book, uint32_t calls, uint32_t own, Duration as_of);

SentCall NoteSent(EndpointBook& book,
                  const PlacementRequest& request,
                  Duration now);

/// @param prompt with the answer, which is held too.
void NoteEnded(EndpointBook& book,
               const SentCall& sent,
               const PromptShape& prompt,
               Duration now);

}  // namespace celerykeel
