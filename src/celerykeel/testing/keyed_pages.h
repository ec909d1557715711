#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <map>      // for std::map
#include <string>   // for std::string
#include <vector>   // for std::vector

namespace celerykeel::testing {

/// @brief How a list's JSON holds keys that are not UTF-8; the platform's pages
/// don't say.
enum class KeyText {
  kReplaced,    // as U+FFFD
  kSurrogates,  // each byte as the escape of a lone surrogate
  kRaw,         // as they are, which is no JSON
};

/// @brief How the store pages the lists of keyed topics.
struct PageRules {
  size_t max_items = 500;
  size_t max_bytes = 1'000'000;  // of keys and values
  KeyText key_text = KeyText::kReplaced;
  // Faults: the first page comes again, whatever `after` says; each page is
  // empty, and says that others follow.
  bool ignores_after = false;
  bool is_empty = false;
  // Prefix of keys that are added behind the last one with each page that is
  // read: another writer is always ahead of the reader.
  std::string grows_with;
};

/// @brief The newest record of each key of a keyed topic, in the keys' order.
struct NewestRecords {
  std::map<std::string, uint64_t> offsets;
  size_t indexed = 0;  // number of records that were taken into account
};

/// @brief Brings `newest` up to date with a partition's records.
void IndexRecords(NewestRecords& newest,
                  const std::vector<std::string>& records);

/// @brief Returns the body of the answer to log-newest: the records of the keys
/// after `after`, as many as fit on a page.
std::string NewestPage(NewestRecords& newest,
                       const std::vector<std::string>& records,
                       const std::string& after,
                       const PageRules& rules);

/// @brief Decodes %XX in the value of a query.
std::string PercentDecoded(const std::string& text);

}  // namespace celerykeel::testing
