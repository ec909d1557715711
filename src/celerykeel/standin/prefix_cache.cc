#include "celerykeel/standin/prefix_cache.h"

#include <algorithm>  // for std::ranges::find
#include <tuple>      // for std::tuple
#include <utility>    // for std::move

namespace celerykeel {

namespace {

EvictionKey KeyOf(BlockHash hash, const CachedBlock& block) {
  return {block.used_at, block.depth, hash};
}

uint32_t NumberOf(PrefixCache& cache, std::string_view program) {
  const auto [found, is_new] = cache.numbers.try_emplace(
      std::string(program), static_cast<uint32_t>(cache.programs.size()));
  if (is_new) {
    cache.programs.emplace_back(program);
    cache.held.push_back(0);
  }
  return found->second;
}

void AddChange(CacheChanges& changes,
               CacheChangeKind kind,
               const PrefixCache& cache,
               uint32_t owner) {
  const std::string& program = cache.programs[owner];
  CacheChange& change = changes.by_program[{program, kind}];
  change.kind = kind;
  change.program = program;
  ++change.blocks;
  change.held_blocks = cache.held[owner];
}

bool EvictOne(PrefixCache& cache, CacheChanges& changes) {
  if (cache.evictable.empty()) {
    return false;
  }
  const BlockHash hash = cache.evictable.begin()->hash;
  cache.evictable.erase(cache.evictable.begin());
  const auto found = cache.blocks.find(hash);
  for (const uint32_t owner : found->second.owners) {
    --cache.held[owner];
    AddChange(changes, CacheChangeKind::kEvicted, cache, owner);
  }
  cache.blocks.erase(found);
  return true;
}

void AddOwner(PrefixCache& cache,
              CachedBlock& block,
              uint32_t owner,
              CacheChanges& changes) {
  if (std::ranges::find(block.owners, owner) != block.owners.end()) {
    return;
  }
  block.owners.push_back(owner);
  ++cache.held[owner];
  AddChange(changes, CacheChangeKind::kStored, cache, owner);
}

// Finds or makes a block that cannot be evicted until it is put back among
// the evictable ones; nothing if there is no room.
CachedBlock* TakeBlock(PrefixCache& cache,
                       const ExportedBlock& wanted,
                       CacheChanges& changes) {
  if (const auto found = cache.blocks.find(wanted.hash);
      found != cache.blocks.end()) {
    if (found->second.pins == 0) {
      cache.evictable.erase(KeyOf(wanted.hash, found->second));
    }
    return &found->second;
  }
  if (cache.blocks.size() >= cache.capacity && !EvictOne(cache, changes)) {
    return nullptr;
  }
  CachedBlock& block = cache.blocks[wanted.hash];
  block.depth = wanted.depth;
  return &block;
}

}  // namespace

bool operator<(const EvictionKey& a, const EvictionKey& b) {
  return std::tuple(a.used_at, b.depth, a.hash) <
         std::tuple(b.used_at, a.depth, b.hash);
}

size_t MatchPrefix(const PrefixCache& cache, std::span<const BlockHash> chain) {
  size_t count = 0;
  while (count < chain.size() && cache.blocks.contains(chain[count])) {
    ++count;
  }
  return count;
}

uint64_t RoomFor(const PrefixCache& cache) {
  return cache.capacity - cache.blocks.size() + cache.evictable.size();
}

size_t PinBlocks(PrefixCache& cache,
                 std::string_view program,
                 std::span<const BlockHash> chain,
                 size_t from,
                 size_t to,
                 Duration now,
                 CacheChanges& changes) {
  const uint32_t owner = NumberOf(cache, program);
  for (size_t i = from; i < to; ++i) {
    CachedBlock* const block =
        TakeBlock(cache, {chain[i], static_cast<uint32_t>(i)}, changes);
    if (block == nullptr) {
      return i;
    }
    ++block->pins;
    block->used_at = now;
    AddOwner(cache, *block, owner, changes);
  }
  return to;
}

void UnpinBlocks(PrefixCache& cache,
                 std::span<const BlockHash> blocks,
                 Duration now) {
  for (const BlockHash hash : blocks) {
    const auto found = cache.blocks.find(hash);
    CachedBlock& block = found->second;
    block.used_at = now;
    if (--block.pins > 0) {
      continue;
    }
    if (block.owners.empty()) {
      cache.blocks.erase(found);
    } else {
      cache.evictable.insert(KeyOf(hash, block));
    }
  }
}

void ReleaseProgram(PrefixCache& cache,
                    std::string_view program,
                    CacheChanges& changes) {
  const uint32_t owner = NumberOf(cache, program);
  for (auto next = cache.blocks.begin(); next != cache.blocks.end();) {
    const auto current = next++;
    auto& [hash, block] = *current;
    if (std::erase(block.owners, owner) == 0) {
      continue;
    }
    --cache.held[owner];
    AddChange(changes, CacheChangeKind::kReleased, cache, owner);
    if (block.owners.empty() && block.pins == 0) {
      cache.evictable.erase(KeyOf(hash, block));
      cache.blocks.erase(current);
    }
  }
}

void ReleaseChain(PrefixCache& cache,
                  std::string_view program,
                  std::span<const BlockHash> chain,
                  CacheChanges& changes) {
  const uint32_t owner = NumberOf(cache, program);
  for (const BlockHash hash : chain) {
    const auto found = cache.blocks.find(hash);
    if (found == cache.blocks.end()) {
      continue;
    }
    CachedBlock& block = found->second;
    if (std::erase(block.owners, owner) == 0) {
      continue;
    }
    --cache.held[owner];
    AddChange(changes, CacheChangeKind::kReleased, cache, owner);
    if (block.owners.empty() && block.pins == 0) {
      cache.evictable.erase(KeyOf(hash, block));
      cache.blocks.erase(found);
    }
  }
}

std::vector<ExportedBlock> ExportBlocks(const PrefixCache& cache,
                                        std::string_view program) {
  std::vector<ExportedBlock> exported;
  const auto number = cache.numbers.find(std::string(program));
  if (number == cache.numbers.end()) {
    return exported;
  }
  for (const auto& [hash, block] : cache.blocks) {
    if (std::ranges::find(block.owners, number->second) != block.owners.end()) {
      exported.push_back({hash, block.depth});
    }
  }
  std::ranges::sort(exported, {}, [](const ExportedBlock& block) {
    return std::pair(block.depth, block.hash);
  });
  return exported;
}

void ImportBlocks(PrefixCache& cache,
                  std::string_view program,
                  std::span<const ExportedBlock> blocks,
                  Duration now,
                  CacheChanges& changes) {
  const uint32_t owner = NumberOf(cache, program);
  std::vector<BlockHash> taken;
  for (const ExportedBlock& wanted : blocks) {
    CachedBlock* const block = TakeBlock(cache, wanted, changes);
    if (block == nullptr) {
      break;
    }
    ++block->pins;
    AddOwner(cache, *block, owner, changes);
    taken.push_back(wanted.hash);
  }
  UnpinBlocks(cache, taken, now);
}

std::map<std::string, uint64_t> HeldTokens(const PrefixCache& cache) {
  std::map<std::string, uint64_t> tokens;
  for (size_t number = 0; number < cache.programs.size(); ++number) {
    if (cache.held[number] > 0) {
      tokens[cache.programs[number]] = cache.held[number] * kBlockTokens;
    }
  }
  return tokens;
}

}  // namespace celerykeel
