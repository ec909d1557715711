#include "celerykeel/core/prefix_map.h"

#include <algorithm>  // for std::min

namespace celerykeel {

namespace {

void ReleaseSharedPrefix(PrefixMap& map, uint64_t hash) {
  const auto found = map.shared.find(hash);
  if (--found->second.users == 0) {
    map.held -= found->second.tokens;
    map.shared.erase(found);
  }
}

// Evicts the least recently used programs until the map is within its capacity
// or one program is left. Each program uses the blocks of its shared part,
// so a shared part is evicted with the last program that uses it.
void EvictAboveCapacity(PrefixMap& map) {
  while (map.held > map.capacity && map.programs.size() > 1) {
    const auto oldest = map.by_use.begin();
    const auto found = map.programs.find(oldest->second);
    HeldPrefix& prefix = found->second;
    const uint64_t cut =
        std::min(prefix.unshared_tokens, map.held - map.capacity);
    prefix.unshared_tokens -= cut;
    map.held -= cut;
    if (prefix.unshared_tokens == 0) {
      ReleaseSharedPrefix(map, prefix.shared);
      map.programs.erase(found);
      map.by_use.erase(oldest);
    }
  }
}

uint64_t SharedTokens(const PrefixMap& map, uint64_t hash) {
  const auto found = map.shared.find(hash);
  return found == map.shared.end() ? 0 : found->second.tokens;
}

}  // namespace

uint64_t HeldTokens(const PrefixMap& map, const PromptShape& prompt) {
  const uint64_t shared =
      std::min(SharedTokens(map, prompt.shared), prompt.shared_tokens);
  const auto found = map.programs.find(prompt.program);
  if (found == map.programs.end()) {
    return shared;
  }
  return std::min(shared + found->second.unshared_tokens, prompt.tokens);
}

void RecordUsedPrompt(PrefixMap& map, const PromptShape& prompt, Duration now) {
  Forget(map, prompt.program);
  SharedPrefix& shared = map.shared[prompt.shared];
  if (shared.users++ == 0) {
    shared.tokens = prompt.shared_tokens;
    map.held += shared.tokens;
  }
  const uint64_t own = prompt.tokens - prompt.shared_tokens;
  map.held += own;
  map.programs.emplace(prompt.program, HeldPrefix{prompt.shared, own, now});
  map.by_use.emplace(now, prompt.program);
  EvictAboveCapacity(map);
}

void Forget(PrefixMap& map, std::string_view program) {
  const auto found = map.programs.find(program);
  if (found == map.programs.end()) {
    return;
  }
  map.held -= found->second.unshared_tokens;
  ReleaseSharedPrefix(map, found->second.shared);
  map.by_use.erase({found->second.used_at, found->first});
  map.programs.erase(found);
}

void ApplyCacheReport(PrefixMap& map,
                      std::string_view program,
                      uint64_t tokens,
                      Duration as_of) {
  const auto found = map.programs.find(program);
  if (found == map.programs.end() || as_of < found->second.used_at) {
    return;
  }
  HeldPrefix& prefix = found->second;
  const uint64_t shared = SharedTokens(map, prefix.shared);
  if (tokens <= shared) {
    Forget(map, program);
    return;
  }
  if (const uint64_t own = tokens - shared; own < prefix.unshared_tokens) {
    map.held -= prefix.unshared_tokens - own;
    prefix.unshared_tokens = own;
  }
}

double EvictionCharge(const PrefixMap& map,
                      uint64_t tokens,
                      Duration half_age,
                      Duration now) {
  if (map.held + tokens <= map.capacity) {
    return 0;
  }
  uint64_t left = map.held + tokens - map.capacity;
  double charge = 0;
  for (const auto& [used_at, program] : map.by_use) {
    const uint64_t cut =
        std::min(left, map.programs.find(program)->second.unshared_tokens);
    const double age = static_cast<double>((now - used_at).count()) /
                       static_cast<double>(half_age.count());
    charge += static_cast<double>(cut) / (1 + age);
    left -= cut;
    if (left == 0) {
      break;
    }
  }
  return charge;
}

}  // namespace celerykeel
