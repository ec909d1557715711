#pragma once

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t, uint64_t
#include <map>            // for std::map
#include <set>            // for std::set
#include <span>           // for std::span
#include <string>         // for std::string
#include <string_view>    // for std::string_view
#include <unordered_map>  // for std::unordered_map
#include <vector>         // for std::vector

#include "celerykeel/core/time.h"       // for Duration
#include "celerykeel/standin/tokens.h"  // for BlockHash

namespace celerykeel {

struct CachedBlock {
  uint32_t depth = 0;  // blocks before it in its prefix
  uint32_t pins = 0;   // running requests that read it
  Duration used_at{};
  std::vector<uint32_t> owners;  // numbers of programs
};

/// @brief The order in which blocks are evicted: least recently used first,
/// and of one prefix its end first.
struct EvictionKey {
  Duration used_at{};
  uint32_t depth = 0;
  BlockHash hash = 0;

  friend bool operator<(const EvictionKey& a, const EvictionKey& b);
};

/// @brief An engine's memory for prefixes: blocks of kBlockTokens tokens,
/// owned by the programs that used them.
struct PrefixCache {
  uint64_t capacity = 0;  // blocks
  std::unordered_map<BlockHash, CachedBlock> blocks;
  std::set<EvictionKey> evictable;                    // blocks without pins
  std::unordered_map<std::string, uint32_t> numbers;  // of programs
  std::vector<std::string> programs;                  // by number
  std::vector<uint64_t> held;                         // blocks, by number
};

enum class CacheChangeKind { kStored, kEvicted, kReleased };

/// @brief What one operation did to one program's blocks.
struct CacheChange {
  CacheChangeKind kind = CacheChangeKind::kStored;
  std::string program;
  uint64_t blocks = 0;
  uint64_t held_blocks = 0;  // of the program, after the operation
};

/// @brief Changes of one operation, gathered by program.
struct CacheChanges {
  std::map<std::pair<std::string, CacheChangeKind>, CacheChange> by_program;
};

struct ExportedBlock {
  BlockHash hash = 0;
  uint32_t depth = 0;
};

/// @brief How many blocks at the start of `chain` are held.
size_t MatchPrefix(const PrefixCache& cache, std::span<const BlockHash> chain);

/// @brief Blocks that a new request could take.
uint64_t RoomFor(const PrefixCache& cache);

/// @brief Stores and pins blocks `from` to `to` of a chain for a program,
/// evicting others as needed.
/// @return the end of what is pinned: less than `to` if memory ran out.
size_t PinBlocks(PrefixCache& cache,
                 std::string_view program,
                 std::span<const BlockHash> chain,
                 size_t from,
                 size_t to,
                 Duration now,
                 CacheChanges& changes);

/// @brief Takes one pin off each block; one that nobody owns is dropped.
void UnpinBlocks(PrefixCache& cache,
                 std::span<const BlockHash> blocks,
                 Duration now);

/// @brief The program gives up its blocks; those without another owner are
/// dropped once no request reads them.
void ReleaseProgram(PrefixCache& cache,
                    std::string_view program,
                    CacheChanges& changes);

/// @brief The same for a caller that knows the program's only chain; it looks
/// at these blocks alone.
void ReleaseChain(PrefixCache& cache,
                  std::string_view program,
                  std::span<const BlockHash> chain,
                  CacheChanges& changes);

/// @brief The program's blocks, the start of its prefixes first.
std::vector<ExportedBlock> ExportBlocks(const PrefixCache& cache,
                                        std::string_view program);

/// @brief Takes blocks exported elsewhere, as far as memory allows.
void ImportBlocks(PrefixCache& cache,
                  std::string_view program,
                  std::span<const ExportedBlock> blocks,
                  Duration now,
                  CacheChanges& changes);

/// @brief Tokens held, by program.
std::map<std::string, uint64_t> HeldTokens(const PrefixCache& cache);

}  // namespace celerykeel
