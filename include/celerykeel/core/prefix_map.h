#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <utility>      // for std::pair

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The data of a prompt that placement uses: a part that the programs of
/// a team share, followed by the program's history, which only grows.
struct PromptShape {
  std::string program;         // a sub-agent counts as a separate program
  uint64_t shared = 0;         // hash of the shared part
  uint64_t shared_tokens = 0;  // included in `tokens`
  uint64_t tokens = 0;
};

struct HeldPrefix {
  uint64_t shared = 0;           // hash of the shared part
  uint64_t unshared_tokens = 0;  // after the shared part
  Duration used_at{};
};

struct SharedPrefix {
  uint64_t tokens = 0;
  uint64_t users = 0;  // entries in `programs` that start with it
};

/// @brief An estimate of the contents of one endpoint's prefix cache, based on
/// the prompts sent to it. The least recently used programs are evicted first,
/// each from its end.
///
///     RecordUsedPrompt(map, shape, now);
///     uint64_t cached = HeldTokens(map, next_shape);
struct PrefixMap {
  uint64_t capacity = 0;  // tokens
  uint64_t held = 0;      // tokens
  std::map<std::string, HeldPrefix, std::less<>> programs{};
  std::map<uint64_t, SharedPrefix> shared{};  // by hash
  std::set<std::pair<Duration, std::string>> by_use{};
};

/// @brief Returns the number of tokens at the start of the prompt that the
/// endpoint is expected to hold.
uint64_t HeldTokens(const PrefixMap& map, const PromptShape& prompt);

/// @brief Records that the endpoint holds the complete prompt from `now` on,
/// and evicts older programs above the capacity.
void RecordUsedPrompt(PrefixMap& map, const PromptShape& prompt, Duration now);

/// @brief Removes the program: the endpoint no longer holds its tokens.
void Forget(PrefixMap& map, std::string_view program);

/// @brief Applies the endpoint's report that it held `tokens` of the program,
/// the shared part included, at `as_of`. The estimate is only lowered. A report
/// from before the last use is ignored, because it does not cover that use.
void ApplyCacheReport(PrefixMap& map,
                      std::string_view program,
                      uint64_t tokens,
                      Duration as_of);

/// @brief Returns the cost to other programs of adding `tokens`: the tokens
/// that would be evicted and prefilled again, weighted by age. A token last
/// used `half_age` ago counts half. Shared parts are not counted.
double EvictionCharge(const PrefixMap& map,
                      uint64_t tokens,
                      Duration half_age,
                      Duration now);

}  // namespace celerykeel
