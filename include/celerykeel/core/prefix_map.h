#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <utility>      // for std::pair

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief A prompt as placement sees it: a part that a team's programs share,
/// then the program's own history, which only grows.
struct PromptShape {
  std::string program;         // a sub-agent is one of its own
  uint64_t shared = 0;         // hash of the shared part
  uint64_t shared_tokens = 0;  // part of `tokens`
  uint64_t tokens = 0;
};

struct HeldPrefix {
  uint64_t shared = 0;
  uint64_t own_tokens = 0;  // after the shared part
  Duration used_at{};
};

struct SharedPrefix {
  uint64_t tokens = 0;
  uint64_t users = 0;  // programs of `programs` that begin with it
};

/// @brief An estimate of what one endpoint's prefix cache holds, from what was
/// sent to it: least recently used programs are evicted, their ends first.
///
///     NoteUsed(map, shape, now);
///     uint64_t cached = HeldTokens(map, next_shape);
struct PrefixMap {
  uint64_t capacity = 0;  // tokens
  uint64_t held = 0;      // tokens
  std::map<std::string, HeldPrefix, std::less<>> programs{};
  std::map<uint64_t, SharedPrefix> shared{};  // by hash
  std::set<std::pair<Duration, std::string>> by_use{};
};

/// @brief Tokens at the start of the prompt that the endpoint should hold.
uint64_t HeldTokens(const PrefixMap& map, const PromptShape& prompt);

/// @brief The endpoint holds the whole prompt from now on.
void NoteUsed(PrefixMap& map, const PromptShape& prompt, Duration now);

/// @brief The endpoint no longer holds anything for the program.
void Forget(PrefixMap& map, std::string_view program);

/// @brief The endpoint reported that it held `tokens` of the program, the
/// shared part included, at `as_of`. A report from before the last use says
/// nothing about it and is not taken.
void Correct(PrefixMap& map,
             std::string_view program,
             uint64_t tokens,
             Duration as_of);

/// @brief What taking `tokens` more would cost others, in tokens to be read
/// again, each weighed by its age: one used `half_age` ago counts half.
double EvictionCharge(const PrefixMap& map,
                      uint64_t tokens,
                      Duration half_age,
                      Duration now);

}  // namespace celerykeel
