#pragma once

#include <array>     // for std::array
#include <cstddef>   // for size_t
#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for std::optional
#include <span>      // for std::span
#include <vector>    // for std::vector

#include "celerykeel/core/prefix_map.h"  // for PrefixMap, PromptShape
#include "celerykeel/core/run_rank.h"    // for RunRank, kMaxRanks
#include "celerykeel/core/time.h"        // for Duration

namespace celerykeel {

/// @brief The capacity and prefill speed of an endpoint.
struct EndpointCapacity {
  uint32_t slots = 16;  // max concurrent calls
  double prefill_tokens_per_second = 20'000;
};

/// @brief A scheduler's estimate of one endpoint's load and cache, based on the
/// calls that it sent there and on the endpoint's reports.
struct EndpointEstimate {
  EndpointCapacity pace;
  PrefixMap held;
  std::array<uint32_t, kMaxRanks> outstanding{};  // calls by rank
  uint32_t others = 0;         // reported calls of other schedulers
  Duration reported_at{};      // time of `others`
  uint64_t pinned_tokens = 0;  // in prompts of the outstanding calls
  Duration read_until{};       // expected end of prefill of all sent prompts
};

struct PlacementOptions {
  double eviction_weight = 1;                    // 0: eviction costs nothing
  Duration half_age = std::chrono::seconds(30);  // see EvictionCharge()
  double bounded_load = 1.5;  // multiple of the mean load; 0: no bound
  uint32_t samples = 0;  // random candidates besides the longest prefix; 0: all
  bool uses_cache_estimate = true;
  // An old report shows the load of all endpoints rather than of a single one,
  // so the estimate of other schedulers' calls moves from the report to the
  // mean of all endpoints: the deviation halves in each such interval.
  Duration report_half_life = std::chrono::seconds(1);
};

struct PlacementRequest {
  PromptShape prompt;
  RunRank rank = 0;
  Duration call_time{};  // recent duration of a call
};

/// @brief Expected cost of a call at an endpoint, in seconds.
struct PlacementCost {
  double wait = 0;      // for a slot, for memory and for earlier prefills
  double prefill = 0;   // of tokens not held, with the delay to running calls
  double eviction = 0;  // repeated prefill of evicted tokens
  bool is_above_load_bound = false;
};

double Total(const PlacementCost& cost);

struct Placement {
  size_t endpoint = 0;               // index
  std::vector<PlacementCost> costs;  // by index; zero if not a candidate
};

/// @brief Returns the expected cost of the call at this endpoint.
/// @param others estimated calls of other schedulers.
PlacementCost ExpectedCost(const EndpointEstimate& book,
                           const PlacementRequest& request,
                           const PlacementOptions& options,
                           double others,
                           Duration now);

/// @brief Chooses the candidate with the lowest expected cost. Candidates above
/// the load bound come after all others. Returns an empty optional if `books`
/// is empty.
/// @param draw random bits that select the candidates. Schedulers with
/// different bits consider different endpoints.
std::optional<Placement> Place(std::span<const EndpointEstimate> books,
                               const PlacementRequest& request,
                               const PlacementOptions& options,
                               uint64_t draw,
                               Duration now);

/// @brief What a sent call added to the estimate of its endpoint.
struct SentCall {
  RunRank rank = 0;
  uint64_t pinned_tokens = 0;
};

/// @brief Records a report that the endpoint ran `calls` at `as_of`, `own` of
/// which this scheduler sent. Ignores a report older than the last accepted
/// one.
void RecordLoadReport(EndpointEstimate& book,
                      uint32_t calls,
                      uint32_t own,
                      Duration as_of);

/// @brief Records a call sent to the endpoint.
/// @return the data to pass to RecordEndedCall().
SentCall RecordSentCall(EndpointEstimate& book,
                        const PlacementRequest& request,
                        Duration now);

/// @brief Records the end of a call.
/// @param prompt the prompt with the answer, which the endpoint holds too.
void RecordEndedCall(EndpointEstimate& book,
                     const SentCall& sent,
                     const PromptShape& prompt,
                     Duration now);

}  // namespace celerykeel
