#include "celerykeel/standin/tokens.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include <algorithm>  // for std::min

namespace celerykeel {

namespace {

constexpr size_t kBytesPerToken = 4;

bool IsContinuation(char c) {
  return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

size_t FirstTokenBytes(std::string_view text) {
  size_t size = std::min(kBytesPerToken, text.size());
  while (size > 1 && size < text.size() && IsContinuation(text[size])) {
    --size;
  }
  return size;
}

}  // namespace

std::vector<std::string> SplitTokens(std::string_view text) {
  std::vector<std::string> tokens;
  while (!text.empty()) {
    const size_t size = FirstTokenBytes(text);
    tokens.emplace_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return tokens;
}

uint64_t CountTokens(std::string_view text) {
  uint64_t count = 0;
  for (; !text.empty(); ++count) {
    text.remove_prefix(FirstTokenBytes(text));
  }
  return count;
}

BlockHash NextBlockHash(BlockHash previous, std::string_view block) {
  return XXH3_64bits_withSeed(block.data(), block.size(), previous);
}

std::vector<BlockHash> HashBlocks(std::string_view text) {
  std::vector<BlockHash> hashes;
  BlockHash previous = 0;
  while (true) {
    size_t bytes = 0;
    uint32_t tokens = 0;
    for (; tokens < kBlockTokens && bytes < text.size(); ++tokens) {
      bytes += FirstTokenBytes(text.substr(bytes));
    }
    if (tokens < kBlockTokens) {
      return hashes;
    }
    previous = NextBlockHash(previous, text.substr(0, bytes));
    hashes.push_back(previous);
    text.remove_prefix(bytes);
  }
}

}  // namespace celerykeel
