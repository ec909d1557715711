#include "celerykeel/node/crash_store.h"

#include <utility>  // for std::move
#include <vector>   // for std::vector

#include "celerykeel/base/clock.h"          // for Now, WallNow
#include "celerykeel/core/reader_choice.h"  // for IsReader
#include "celerykeel/node/node.h"           // for Node
#include "celerykeel/wire/crash_codec.h"    // for StoredCrashKey

namespace celerykeel {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(300);
constexpr Duration kListTime = std::chrono::seconds(1);
constexpr size_t kMaxStoredCrashes = 4096;  // that are renewed or deleted
// The instance that saw a crash writes it at once. Readers write it after this
// time, in case that instance has failed.
constexpr Duration kReaderDelay = std::chrono::seconds(1);
constexpr size_t kMinStoredCrashes = 2;  // of a request and its copies
// A later arrival of a deadly request is written after this time.
constexpr Duration kRenewalTime = kCrashRecordLifetime / 4;
// Bounds one write; the rest follows.
constexpr size_t kMaxKeysPerWrite = 64;

struct KeyUpdate {
  std::string key;
  std::string value;  // empty: delete the key
  CrashStore::Stored stored;
};

// Whether this instance is to write a crash now, if the store lacks it.
bool Writes(const Node& node, const CrashedRun& run, bool is_reader) {
  return node.crash_watch.crashed_at.contains(run.endpoint) ||
         (is_reader && Now() >= run.crashed_at + kReaderDelay);
}

bool IsUpToDate(const CrashStore& store,
                const std::string& key,
                const CrashStore::Stored& current) {
  const auto found = store.stored.find(key);
  return found != store.stored.end() &&
         found->second.others_missing == current.others_missing &&
         current.seen_at < found->second.seen_at + kRenewalTime;
}

std::vector<KeyUpdate> FindUpdates(const Node& node) {
  const CrashRecords& records = node.crash_watch.records;
  const Duration now = Now();
  const bool is_reader = IsReader(node.fleet, now);
  std::vector<KeyUpdate> updates;
  std::set<std::string> needed;
  for (const auto& [request, record] : records.requests) {
    if (CountCrashes(records, request) < kMinStoredCrashes) {
      continue;
    }
    for (CrashedRun& run : CrashedRunsOf(records, request)) {
      // Suspects with fewer crashes are not stored.
      run.others_missing |= HasOtherSuspects(records, run.endpoint, request);
      std::string key = StoredCrashKey(run);
      const CrashStore::Stored current{.others_missing = run.others_missing,
                                       .seen_at = run.seen_at};
      needed.insert(key);
      if (!IsUpToDate(node.crash_store, key, current) &&
          Writes(node, run, is_reader)) {
        updates.push_back({.key = std::move(key),
                           .value = EncodeStoredCrash(run, now, WallNow()),
                           .stored = current});
      }
    }
  }
  for (const auto& [key, stored] : node.crash_store.stored) {
    if (!needed.contains(key)) {
      updates.push_back({.key = key, .value = "", .stored = {}});
    }
  }
  if (updates.size() > kMaxKeysPerWrite) {
    updates.resize(kMaxKeysPerWrite);
  }
  return updates;
}

Task<> Write(Node& node, std::vector<KeyUpdate> updates) {
  std::vector<KeyedValue> values;
  values.reserve(updates.size());
  for (KeyUpdate& update : updates) {
    values.push_back({.key = update.key, .value = std::move(update.value)});
  }
  const auto done =
      co_await WriteKeys(node, node.crash_store.topic.name, std::move(values));
  if (!done) {
    WriteLog(node.log, LogLevel::kUnusual, "crashes not recorded",
             {{"keys", updates.size()}, {"reason", Describe(done.error())}});
    co_await PauseForStore(node, kRetryPause);
  } else {
    for (const KeyUpdate& update : updates) {
      if (update.stored.seen_at == Duration::zero()) {
        node.crash_store.stored.erase(update.key);
      } else {
        node.crash_store.stored[update.key] = update.stored;
      }
    }
  }
  node.crash_store.is_writing = false;
}

void ApplyRecord(Node& node, const KeyedRecord& record) {
  if (record.dropped || record.key.empty()) {
    return;
  }
  const Duration now = Now();
  const auto run = DecodeStoredCrash(record.value, now, WallNow());
  if (!run) {
    WriteLog(node.log, LogLevel::kOrdinary, "crash record unreadable",
             {{"offset", record.offset}});
    return;
  }
  RecordCrashedRun(node.crash_watch.records, *run, now);
  if (node.crash_store.stored.size() >= kMaxStoredCrashes &&
      !node.crash_store.stored.contains(record.key)) {
    return;  // the store keeps it
  }
  // An expired one is deleted with the next update.
  node.crash_store.stored[record.key] = {.others_missing = run->others_missing,
                                         .seen_at = run->seen_at};
}

}  // namespace

Task<> ReadStoredCrashes(Node& node) {
  const ApplyRecords apply = [&node](const auto& records) {
    for (const KeyedRecord& record : records) {
      ApplyRecord(node, record);
    }
  };
  while (true) {
    const auto done =
        co_await ReadList(node, node.crash_store.topic, kListTime, apply);
    if (HasEnded(done)) {
      co_return;
    }
    co_await PauseForStore(node, kRetryPause);
  }
}

void UpdateStoredCrashes(Node& node) {
  CrashStore& store = node.crash_store;
  if (store.is_writing ||
      (node.crash_watch.records.requests.empty() && store.stored.empty())) {
    return;
  }
  if (std::vector<KeyUpdate> updates = FindUpdates(node); !updates.empty()) {
    store.is_writing = true;
    Spawn(node.io, Write(node, std::move(updates)));
  }
}

}  // namespace celerykeel
