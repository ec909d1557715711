#include "celerykeel/node/version_feed.h"

#include <algorithm>  // for std::any_of
#include <set>        // for std::set
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/core/reader_choice.h"  // for IsReader
#include "celerykeel/core/stream_origin.h"  // for kStreamOriginLifetime
#include "celerykeel/node/node.h"           // for Node
#include "celerykeel/node/stream_takeup.h"  // for QueueOriginsNotInferable

namespace celerykeel {

namespace {

using ServiceVersion = std::pair<std::string, std::string>;

constexpr Duration kInterval = std::chrono::milliseconds(50);
// Interval for what depends on time alone.
constexpr Duration kReviewInterval = std::chrono::seconds(1);
constexpr Duration kRetryPause = std::chrono::milliseconds(400);
constexpr Duration kReadTimeout = std::chrono::seconds(1);
// Versions are recorded without the rest of a list that takes longer; one that
// is recorded again stays the same.
constexpr Duration kMaxListWait = std::chrono::seconds(2);
// Readers record a new version at once, and tell the other instances. These
// record it themselves if no news of it arrives for this long.
constexpr Duration kReaderTime = std::chrono::seconds(1);
// A version that was not listed for this long has no stream that a caller can
// resume. Twice the lifetime allows for an endpoint that takes calls although
// its entry lapsed.
constexpr Duration kUnusedTime = 2 * kStreamOriginLifetime;
// In keys of the topic; names of services and versions have no line breaks.
constexpr char kSeparator = '\n';
constexpr size_t kMaxKeyBytes = 255;

std::string KeyOf(const ServiceVersion& version) {
  return version.first + kSeparator + version.second;
}

void Apply(Node& node,
           const ServiceVersion& version,
           const VersionRecord& record,
           std::string_view source) {
  if (RecordVersion(node.version_feed.versions, version.first, version.second,
                    record)) {
    WriteLog(node.log, LogLevel::kUnusual, "service version",
             {{"service", version.first},
              {"version", version.second},
              {"in_use", record.in_use},
              {"source", source}});
    QueueOriginsNotInferable(node);
  }
}

void ApplyRecord(Node& node, const KeyedRecord& record) {
  const size_t at = record.key.find(kSeparator);
  if (at == std::string::npos) {
    WriteLog(node.log, LogLevel::kOrdinary, "service version unreadable",
             {{"offset", record.offset}});
    return;
  }
  Apply(node, {record.key.substr(0, at), record.key.substr(at + 1)},
        {.in_use = !record.dropped, .offset = record.offset}, "the store");
}

void ApplyVersionRecords(Node& node, const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    ApplyRecord(node, record);
  }
}

Task<bool> ReadVersionList(Node& node) {
  VersionFeed& feed = node.version_feed;
  const ApplyRecords apply = [&node](const auto& records) {
    ApplyVersionRecords(node, records);
  };
  const auto done = co_await ReadList(node, feed.topic, kReadTimeout, apply);
  const bool has_ended = HasEnded(done);
  if (has_ended) {
    feed.is_list_complete = *done == ListEnd::kComplete;
  }
  feed.is_listed =
      feed.is_listed || has_ended || TakesLongerThan(feed.topic, kMaxListWait);
  co_return has_ended;
}

// Reads the records that the store has now: another writer may always be ahead.
// @return true if all of them were read.
Task<bool> ReadToEnd(Node& node) {
  VersionFeed& feed = node.version_feed;
  KeyedTopic& topic = feed.topic;
  std::optional<uint64_t> end;
  bool has_listed = false;
  while (true) {
    if (IsListDue(topic)) {
      if (has_listed || !co_await ReadVersionList(node)) {
        co_return false;
      }
      has_listed = true;
    }
    const auto records = co_await ReadNewRecords(node, topic, 0);
    if (!records) {
      // The store deletes old records, but keeps the newest of each key.
      if (!topic.next) {
        continue;
      }
      co_return false;
    }
    ApplyVersionRecords(node, *records);
    end = end.value_or(topic.end);
    if (*topic.next >= *end) {
      co_return feed.is_list_complete;
    }
    if (records->empty()) {
      co_return false;
    }
  }
}

// Reads until nobody waits for a read that begins later.
Task<> ReadForAll(Node& node) {
  VersionFeed& feed = node.version_feed;
  while (!feed.waiting.empty()) {
    const auto waiting = std::move(feed.waiting);
    feed.waiting.clear();
    const bool read = co_await ReadToEnd(node);
    for (const auto& done : waiting) {
      done->SetValue(read);
    }
  }
  feed.reading = false;
}

std::set<ServiceVersion> ListedVersions(const Node& node) {
  std::set<ServiceVersion> listed;
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    ServiceVersion version{endpoint.entry.service, endpoint.entry.version};
    // The store's keys are short; such an endpoint begins no resumable stream.
    if (KeyOf(version).size() <= kMaxKeyBytes) {
      listed.insert(std::move(version));
    }
  }
  return listed;
}

pb::ServiceVersionNews ToNews(const std::string& service,
                              const std::string& version,
                              const VersionRecord& record) {
  pb::ServiceVersionNews news;
  news.set_service(service);
  news.set_version(version);
  news.set_in_use(record.in_use);
  news.set_offset(record.offset);
  return news;
}

// The next review repeats a failed write.
Task<> Write(Node& node, ServiceVersion version, bool in_use) {
  const auto done = co_await WriteKey(node, node.version_feed.topic.name,
                                      KeyOf(version), in_use ? "1" : "");
  if (!done) {
    WriteLog(node.log, LogLevel::kUnusual, "service version not recorded",
             {{"service", version.first},
              {"version", version.second},
              {"reason", Describe(done.error())}});
    co_await PauseForStore(node, kRetryPause);
    co_return;
  }
  const VersionRecord record{.in_use = in_use, .offset = done->offset};
  Apply(node, version, record, "this instance");
  pb::NodeFrame frame;
  *frame.mutable_endpoint_news()->add_versions() =
      ToNews(version.first, version.second, record);
  SendToAll(node.peers, frame);
}

// Returns the versions that this instance must record now.
std::vector<ServiceVersion> MissingVersions(
    Node& node,
    const std::set<ServiceVersion>& listed) {
  VersionFeed& feed = node.version_feed;
  const Duration now = Now();
  const bool is_reader = IsReader(node.fleet, now);
  std::erase_if(feed.missing_since, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::vector<ServiceVersion> missing;
  for (const ServiceVersion& version : listed) {
    if (IsVersionInUse(feed.versions, version.first, version.second)) {
      feed.missing_since.erase(version);
      continue;
    }
    const auto since = feed.missing_since.try_emplace(version, now).first;
    if (is_reader || now >= since->second + kReaderTime) {
      missing.push_back(version);
    }
  }
  return missing;
}

// Returns the versions that are recorded, and that no endpoint has had for
// kUnusedTime while another version of the service was listed.
std::vector<ServiceVersion> UnusedVersions(
    Node& node,
    const std::set<ServiceVersion>& listed) {
  VersionFeed& feed = node.version_feed;
  const Duration now = Now();
  std::vector<ServiceVersion> unused;
  for (const auto& [service, records] : feed.versions.records) {
    const bool serves = std::any_of(
        listed.begin(), listed.end(),
        [&service = service](const auto& one) { return one.first == service; });
    for (const auto& [version, record] : records) {
      const ServiceVersion one{service, version};
      if (!record.in_use || listed.contains(one) || !serves) {
        feed.unlisted_since.erase(one);
        continue;
      }
      const auto since = feed.unlisted_since.try_emplace(one, now).first;
      if (now >= since->second + kUnusedTime && IsReader(node.fleet, now)) {
        unused.push_back(one);
      }
    }
  }
  return unused;
}

}  // namespace

Task<bool> ReadVersions(Node& node, Duration timeout) {
  VersionFeed& feed = node.version_feed;
  const auto done = std::make_shared<Promise<bool>>(node.io);
  feed.waiting.push_back(done);
  if (!feed.reading) {
    feed.reading = true;
    Spawn(node.io, ReadForAll(node));
  }
  const auto read = co_await done->Wait(timeout);
  co_return read.value_or(false);
}

Task<> FollowVersions(Node& node) {
  VersionFeed& feed = node.version_feed;
  while (!co_await ReadVersions(node, kReadTimeout) && !feed.is_listed) {
    co_await PauseForStore(node, kInterval);
  }
  Duration review_at{};
  while (true) {
    if (!feed.endpoints_changed && feed.missing_since.empty() &&
        Now() < review_at) {
      co_await Sleep(node.io, kInterval);
      continue;
    }
    feed.endpoints_changed = false;
    review_at = Now() + kReviewInterval;
    const std::set<ServiceVersion> listed = ListedVersions(node);
    for (const ServiceVersion& version : MissingVersions(node, listed)) {
      co_await Write(node, version, true);
    }
    for (const ServiceVersion& version : UnusedVersions(node, listed)) {
      co_await Write(node, version, false);
    }
    co_await Sleep(node.io, kInterval);
  }
}

void AddKnownVersions(const Node& node, pb::EndpointNews& news) {
  for (const auto& [service, records] : node.version_feed.versions.records) {
    for (const auto& [version, record] : records) {
      *news.add_versions() = ToNews(service, version, record);
    }
  }
}

void ApplyVersionNews(Node& node, const pb::ServiceVersionNews& news) {
  Apply(node, {news.service(), news.version()},
        {.in_use = news.in_use(), .offset = news.offset()}, "a peer");
}

}  // namespace celerykeel
