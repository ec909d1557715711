#include "celerykeel/core/placement.h"

#include <algorithm>  // for std::max, std::min, std::find
#include <cmath>      // for std::exp2
#include <numeric>    // for std::accumulate
#include <tuple>      // for std::tuple

namespace celerykeel {

namespace {

uint32_t CallsUpToRank(const EndpointEstimate& book, RunRank rank) {
  return std::accumulate(book.outstanding.begin(),
                         book.outstanding.begin() + rank + 1, 0U);
}

uint32_t Calls(const EndpointEstimate& book) {
  return CallsUpToRank(book, kMaxRanks - 1);
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// Returns the expected wait for a slot, in seconds. Running calls keep their
// slots regardless of rank. Of the waiting calls, only those of equal or lower
// rank are ahead.
double SlotWait(const EndpointEstimate& book,
                const PlacementRequest& request,
                double others) {
  const double slots = book.pace.slots;
  const double all = Calls(book) + others;
  if (all < slots) {
    return 0;
  }
  const double ahead =
      std::max(0.0, CallsUpToRank(book, request.rank) + others - slots);
  return (ahead + 1) / slots * Seconds(request.call_time);
}

// Returns the expected wait for cache memory, in seconds. It grows with the
// part of the outstanding prompts and this one that exceeds the capacity.
double MemoryWait(const EndpointEstimate& book,
                  const PlacementRequest& request) {
  const auto capacity = static_cast<double>(book.held.capacity);
  const auto wanted =
      static_cast<double>(book.pinned_tokens + request.prompt.tokens);
  return wanted <= capacity
             ? 0
             : (wanted - capacity) / capacity * Seconds(request.call_time);
}

template <typename Value>
double Mean(std::span<const EndpointEstimate> books, Value&& value) {
  double sum = 0;
  for (const EndpointEstimate& book : books) {
    sum += value(book);
  }
  return sum / static_cast<double>(books.size());
}

double EstimatedOtherCalls(const EndpointEstimate& book,
                           const PlacementOptions& options,
                           double mean,
                           Duration now) {
  const double halvings =
      Seconds(now - book.reported_at) / Seconds(options.report_half_life);
  return mean + (book.others - mean) * std::exp2(-halvings);
}

// Returns true if one more call would raise the endpoint's load above
// `bounded_load` times the mean. An endpoint with a free slot is never above.
bool IsAboveLoadBound(const EndpointCapacity& pace,
                      const PlacementOptions& options,
                      double calls,
                      double mean) {
  return options.bounded_load > 0 && calls >= pace.slots &&
         calls + 1 > options.bounded_load * mean;
}

// Returns the endpoint that holds the longest part of the prompt and `samples`
// random ones, or all endpoints if there are no more than that.
std::vector<size_t> Candidates(std::span<const EndpointEstimate> books,
                               const PlacementRequest& request,
                               const PlacementOptions& options,
                               uint64_t draw) {
  std::vector<size_t> all(books.size());
  std::iota(all.begin(), all.end(), size_t{0});
  if (options.samples == 0 || options.samples + 1 >= books.size()) {
    return all;
  }
  const auto holder = std::ranges::max_element(all, {}, [&](size_t i) {
    return HeldTokens(books[i].held, request.prompt);
  });
  std::vector<size_t> some = {*holder};
  while (some.size() < options.samples + 1) {
    const size_t next = draw % books.size();
    draw = draw * 6364136223846793005U + 1442695040888963407U;
    draw ^= draw >> 29U;
    if (std::find(some.begin(), some.end(), next) == some.end()) {
      some.push_back(next);
    }
  }
  return some;
}

}  // namespace

double Total(const PlacementCost& cost) {
  return cost.wait + cost.prefill + cost.eviction;
}

PlacementCost ExpectedCost(const EndpointEstimate& book,
                           const PlacementRequest& request,
                           const PlacementOptions& options,
                           double others,
                           Duration now) {
  const double pace = book.pace.prefill_tokens_per_second;
  const uint64_t held =
      options.uses_cache_estimate ? HeldTokens(book.held, request.prompt) : 0;
  const uint64_t unread = request.prompt.tokens - held;
  const double running =
      std::min<double>(Calls(book) + others, book.pace.slots);
  PlacementCost cost;
  cost.wait = SlotWait(book, request, others) + MemoryWait(book, request) +
              std::max(0.0, Seconds(book.read_until - now));
  // An engine prefills prompts between the steps of running calls,
  // which delays each of these calls by the prefill time.
  cost.prefill = static_cast<double>(unread) / pace * (1 + running);
  if (options.eviction_weight > 0) {
    cost.eviction = options.eviction_weight *
                    EvictionCharge(book.held, unread, options.half_age, now) /
                    pace;
  }
  return cost;
}

std::optional<Placement> Place(std::span<const EndpointEstimate> books,
                               const PlacementRequest& request,
                               const PlacementOptions& options,
                               uint64_t draw,
                               Duration now) {
  if (books.empty()) {
    return std::nullopt;
  }
  const double mean_own = Mean(books, Calls);
  const double mean_others =
      Mean(books, [](const EndpointEstimate& book) { return book.others; });
  Placement placement;
  placement.costs.resize(books.size());
  std::optional<std::tuple<bool, double, double>> least;
  for (const size_t i : Candidates(books, request, options, draw)) {
    PlacementCost& cost = placement.costs[i];
    const double others =
        EstimatedOtherCalls(books[i], options, mean_others, now);
    const double calls = Calls(books[i]) + others;
    cost = ExpectedCost(books[i], request, options, others, now);
    cost.is_above_load_bound =
        IsAboveLoadBound(books[i].pace, options, calls, mean_own + mean_others);
    const std::tuple key(cost.is_above_load_bound, Total(cost), calls);
    if (!least || key < *least) {
      least = key;
      placement.endpoint = i;
    }
  }
  return placement;
}

void RecordLoadReport(EndpointEstimate& book,
                      uint32_t calls,
                      uint32_t own,
                      Duration as_of) {
  if (as_of >= book.reported_at) {
    book.reported_at = as_of;
    book.others = calls > own ? calls - own : 0;
  }
}

SentCall RecordSentCall(EndpointEstimate& book,
                        const PlacementRequest& request,
                        Duration now) {
  const SentCall sent{request.rank, request.prompt.tokens};
  const uint64_t unread =
      request.prompt.tokens - HeldTokens(book.held, request.prompt);
  const std::chrono::duration<double> reading(
      static_cast<double>(unread) / book.pace.prefill_tokens_per_second);
  book.read_until = std::max(book.read_until, now) +
                    std::chrono::duration_cast<Duration>(reading);
  ++book.outstanding[sent.rank];
  book.pinned_tokens += sent.pinned_tokens;
  RecordUsedPrompt(book.held, request.prompt, now);
  return sent;
}

void RecordEndedCall(EndpointEstimate& book,
                     const SentCall& sent,
                     const PromptShape& prompt,
                     Duration now) {
  --book.outstanding[sent.rank];
  book.pinned_tokens -= sent.pinned_tokens;
  RecordUsedPrompt(book.held, prompt, now);
}

}  // namespace celerykeel
