#include "celerykeel/testing/keyed_pages.h"

#include <openssl/evp.h>  // for EVP_EncodeBlock

#include <cctype>  // for std::isxdigit

#include <fmt/format.h>       // for fmt::format
#include <nlohmann/json.hpp>  // for nlohmann::json

#include "platform/store_calls.h"  // for platform::DecodeKeyed

namespace celerykeel::testing {

namespace {

using nlohmann::json;

std::string Base64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

bool IsText(const std::string& key) {
  try {
    json(key).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

std::string QuotedKey(const std::string& key, KeyText text) {
  if (text == KeyText::kReplaced || IsText(key)) {
    return json(key).dump(-1, ' ', false, json::error_handler_t::replace);
  }
  std::string quoted = "\"";
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x80 && text == KeyText::kSurrogates) {
      quoted += fmt::format("\\udc{:02x}", byte);
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

}  // namespace

void IndexRecords(NewestRecords& newest,
                  const std::vector<std::string>& records) {
  for (; newest.indexed < records.size(); ++newest.indexed) {
    const KeyedRecord record =
        platform::DecodeKeyed(records[newest.indexed], newest.indexed);
    if (record.dropped) {
      newest.offsets.erase(record.key);
    } else {
      newest.offsets[record.key] = newest.indexed;
    }
  }
}

std::string NewestPage(NewestRecords& newest,
                       const std::vector<std::string>& records,
                       const std::string& after,
                       const PageRules& rules) {
  IndexRecords(newest, records);
  std::string items;
  size_t count = 0;
  size_t bytes = 0;
  // An empty key is the first of all.
  auto at = after.empty() || rules.ignores_after
                ? newest.offsets.begin()
                : newest.offsets.upper_bound(after);
  for (; at != newest.offsets.end() && !rules.is_empty; ++at) {
    const std::string& bytes_of = records[at->second];
    if (count == rules.max_items || bytes + bytes_of.size() > rules.max_bytes) {
      break;
    }
    const KeyedRecord record = platform::DecodeKeyed(bytes_of, at->second);
    items += fmt::format(R"({}{{"key":{},"value":"{}","offset":{}}})",
                         count == 0 ? "" : ",",
                         QuotedKey(record.key, rules.key_text),
                         Base64(record.value), at->second);
    ++count;
    bytes += bytes_of.size();
  }
  return fmt::format(
      R"({{"items":[{}],"truncated":{},"end":{}}})", items,
      at != newest.offsets.end() || rules.is_empty ? "true" : "false",
      records.size());
}

std::string PercentDecoded(const std::string& text) {
  std::string decoded;
  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[at + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[at + 2])) != 0) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

}  // namespace celerykeel::testing
