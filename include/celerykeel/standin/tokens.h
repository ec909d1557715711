#pragma once

#include <cstdint>      // for uint32_t, uint64_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel {

/// @brief Hash of a block of tokens and of all that come before it; equal
/// hashes stand for equal prefixes.
using BlockHash = uint64_t;

inline constexpr uint32_t kBlockTokens = 16;

/// @brief Splits a text into tokens of up to four bytes, never within a
/// character.
std::vector<std::string> SplitTokens(std::string_view text);

uint64_t CountTokens(std::string_view text);

/// @brief The hash that follows `previous` (0 before the first block).
BlockHash NextBlockHash(BlockHash previous, std::string_view block);

/// @brief Hashes of the full blocks of a text, in order.
std::vector<BlockHash> HashBlocks(std::string_view text);

}  // namespace celerykeel
