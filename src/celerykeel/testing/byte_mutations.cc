#include "celerykeel/testing/byte_mutations.h"

#include <algorithm>   // for std::sort, std::min
#include <array>       // for std::array
#include <cstdlib>     // for std::getenv
#include <filesystem>  // for std::filesystem::directory_iterator

#include "celerykeel/testing/source_tree.h"  // for SourcePath

namespace celerykeel::testing {

namespace {

constexpr std::array<std::string_view, 18> kWords = {
    "\r\n",
    "\r\n\r\n",
    "\n",
    std::string_view("\0", 1),
    " ",
    ";a=b",
    "0\r\n\r\n",
    "ffffffffffffffff\r\n",
    "00000000000000000000000000000001\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Content-Length: 0\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Connection: close\r\n",
    "Expect: 100-continue\r\n",
    "X-Deadline-Ms: 1\r\n",
    "a:\r\n b\r\n",
    "\xff\xff\xff\xff"};
constexpr size_t kMaxChanges = 4;
constexpr size_t kMaxRepeats = 300;

size_t NumberOf(const char* variable, size_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace

ByteMutations::ByteMutations(std::string_view folder, uint64_t seed)
    : random(seed) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(SourcePath(folder))) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& file : files) {
    this->corpus.push_back(ReadWholeFile(file));
  }
}

size_t ByteMutations::Below(size_t limit) {
  return limit == 0 ? 0 : this->random() % limit;
}

void ByteMutations::Change(std::string& bytes) {
  const size_t at = this->Below(bytes.size() + 1);
  const size_t length =
      this->Below(std::min<size_t>(bytes.size() - at, 64) + 1);
  switch (this->Below(6)) {
    case 0:
      if (at < bytes.size()) {
        bytes[at] = static_cast<char>(this->random());
      }
      break;
    case 1:
      bytes.erase(at, length);
      break;
    case 2: {
      const std::string part = bytes.substr(at, length);
      for (size_t i = this->Below(kMaxRepeats); i > 0; --i) {
        bytes.insert(at, part);
      }
      break;
    }
    case 3: {
      const std::string& other = this->corpus[this->Below(this->corpus.size())];
      bytes.insert(at, other.substr(this->Below(other.size() + 1)));
      break;
    }
    case 4:
      bytes.resize(at);
      break;
    default:
      bytes.insert(at, kWords[this->Below(kWords.size())]);
      break;
  }
}

std::string ByteMutations::Draw() {
  std::string bytes = this->corpus[this->Below(this->corpus.size())];
  for (size_t i = this->Below(kMaxChanges + 1); i > 0; --i) {
    this->Change(bytes);
  }
  return bytes;
}

size_t FuzzRounds(size_t short_run) {
  return NumberOf("FUZZ_ROUNDS", short_run);
}

uint64_t FuzzSeed() {
  return NumberOf("FUZZ_SEED", 1);
}

}  // namespace celerykeel::testing
