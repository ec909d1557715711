#include "celerykeel/testing/store_standin.h"

#include <fmt/format.h>                 // for fmt::format
#include <boost/endian/conversion.hpp>  // for store_big_u64
#include <nlohmann/json.hpp>            // for nlohmann::json

#include <boost/asio/write.hpp>

#include <algorithm>  // for std::min
#include <ratio>      // for std::nano
#include <sstream>    // for std::ostringstream

#include "celerykeel/base/clock.h"  // for Now
#include "platform/store_calls.h"   // for platform::DecodeKeyed

namespace celerykeel::testing {

namespace {

using nlohmann::json;

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    query[pair.substr(0, pair.find('='))] =
        PercentDecoded(pair.substr(pair.find('=') + 1));
    at = end;
  }
  return query;
}

std::vector<std::string> SplitRecords(std::string_view body) {
  std::vector<std::string> records;
  while (body.size() >= 4) {
    const uint32_t size = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(body.data()));
    records.emplace_back(body.substr(4, size));
    body.remove_prefix(4 + size);
  }
  return records;
}

std::string BigEndian(uint64_t value, size_t bytes) {
  unsigned char all[8];
  boost::endian::store_big_u64(all, value);
  return {reinterpret_cast<const char*>(all) + 8 - bytes, bytes};
}

StandinResponse Answer(unsigned status, std::string body) {
  StandinResponse response(static_cast<http::status>(status), 11);
  response.body() = std::move(body);
  return response;
}

StandinResponse AppendTo(StoreStandin::Partition& partition,
                         std::map<std::string, std::string> query,
                         const std::string& body) {
  uint64_t offset = partition.records.size();
  if (query.contains("epoch")) {
    const uint64_t epoch = std::stoull(query["epoch"]);
    if (epoch < partition.epoch) {
      return Answer(409,
                    json{{"why", "fenced"}, {"epoch", partition.epoch}}.dump());
    }
    if (epoch > partition.epoch) {
      partition.epoch = epoch;
      partition.next_sequence = std::stoull(query["sequence"]);
    }
    const uint64_t sequence = std::stoull(query["sequence"]);
    if (sequence + 1 == partition.next_sequence) {  // a repeated append
      return Answer(200, json{{"offset", partition.last_offset},
                              {"end", partition.records.size()}}
                             .dump());
    }
    if (sequence != partition.next_sequence) {
      return Answer(
          409,
          json{{"why", "seq"}, {"sequence", partition.next_sequence}}.dump());
    }
    ++partition.next_sequence;
    partition.last_offset = offset;
  }
  for (std::string& record : SplitRecords(body)) {
    partition.records.push_back(std::move(record));
  }
  return Answer(
      200, json{{"offset", offset}, {"end", partition.records.size()}}.dump());
}

StandinResponse ReadFrom(const StoreStandin::Partition& partition,
                         uint64_t from,
                         size_t max_records,
                         size_t max_bytes) {
  if (from < partition.first) {
    return Answer(410, json{{"first", partition.first}}.dump());
  }
  std::string body =
      BigEndian(partition.records.size(), 8) + BigEndian(partition.first, 8);
  const uint64_t available = partition.records.size() -
                             std::min<uint64_t>(from, partition.records.size());
  const uint64_t end = from + std::min<uint64_t>(max_records, available);
  for (uint64_t at = from; at < end; ++at) {
    if (body.size() + 4 + partition.records[at].size() > max_bytes) {
      break;
    }
    body += BigEndian(partition.records[at].size(), 4);
    body += partition.records[at];
  }
  return Answer(200, std::move(body));
}

// Adds a page of keys that sort behind all others.
void AddKeys(StoreStandin::Partition& partition, const PageRules& rules) {
  for (size_t i = 0; i <= rules.max_items; ++i) {
    partition.records.push_back(platform::EncodeKeyed(
        fmt::format("{}{:012}", rules.grows_with, partition.records.size()),
        "{}"));
  }
}

Task<> AppendAfterDelay(asio::io_context& loop,
                        StoreStandin::Partition& partition,
                        std::map<std::string, std::string> query,
                        std::string body) {
  constexpr Duration kLateAppendDelay = std::chrono::milliseconds(300);
  co_await Sleep(loop, kLateAppendDelay);
  AppendTo(partition, std::move(query), body);
}

bool IsSilent(const StoreStandin& store,
              const StoreAccess& access,
              StandinConnection& connection) {
  if (connection.generation < 0) {
    connection.generation = access.generation;
  }
  return store.mode == StoreMode::kSilent || access.is_silent ||
         connection.generation < access.generation;
}

// Sends the answer piece by piece, as all answers to the instance share its
// link.
Task<bool> RespondSlowly(asio::io_context& loop,
                         const StoreAccess& access,
                         StandinConnectionPtr connection,
                         StandinResponse response) {
  constexpr size_t kPieceBytes = 16384;
  response.prepare_payload();
  std::ostringstream text;
  text << response;
  const std::string bytes = std::move(text).str();
  ErrorCode error;
  for (size_t at = 0; at < bytes.size() && !error; at += kPieceBytes) {
    const size_t count = std::min(kPieceBytes, bytes.size() - at);
    access.link_free_at = std::max(access.link_free_at, Now()) +
                          std::chrono::nanoseconds(std::nano::den * count /
                                                   access.bytes_per_second);
    co_await Sleep(loop, access.link_free_at - Now());
    co_await asio::async_write(connection->stream,
                               asio::buffer(bytes.data() + at, count),
                               Into(error));
  }
  co_return !error;
}

Task<bool> Handle(asio::io_context& loop,
                  StoreStandin& store,
                  const StoreAccess& access,
                  StandinConnectionPtr connection,
                  StandinRequest request) {
  constexpr Duration kLong = std::chrono::seconds(30);
  if (IsSilent(store, access, *connection)) {
    co_await Sleep(loop, kLong);
    co_return false;
  }
  if (store.mode == StoreMode::kRefuses || access.is_shut) {
    StandinResponse refused = Answer(503, "");
    co_return co_await Respond(connection, std::move(refused));
  }
  const std::string target(request.target());
  auto query = QueryOf(target);
  auto& partition = store.partitions[{
      query["topic"], static_cast<uint32_t>(std::stoul("0" + query["part"]))}];
  StandinResponse response = Answer(404, "");
  if (target.find("log-append") != std::string::npos) {
    ++store.appends;
    if (query["topic"] == platform::kConfigurationTopic ||
        query["topic"] == platform::kEndpointTopic) {
      StandinResponse forbidden = Answer(403, "");  // others write there
      co_return co_await Respond(connection, std::move(forbidden));
    }
    if (query.contains("epoch") &&
        store.refused_epochs.contains(std::stoull(query["epoch"]))) {
      StandinResponse refused = Answer(503, "");
      co_return co_await Respond(connection, std::move(refused));
    }
    if (store.mode == StoreMode::kLate) {
      Spawn(loop, AppendAfterDelay(loop, partition, query, request.body()));
      co_return false;
    }
    response = AppendTo(partition, query, request.body());
    if (store.mode == StoreMode::kLosesAnswers) {
      co_return false;
    }
  } else if (target.find("log-newest") != std::string::npos) {
    ++store.list_reads;
    const auto rules = store.pages_of_topics.find(query["topic"]);
    response = Answer(
        200, NewestPage(partition.newest, partition.records, query["after"],
                        rules == store.pages_of_topics.end() ? store.pages
                                                             : rules->second));
    if (rules != store.pages_of_topics.end() &&
        !rules->second.grows_with.empty()) {
      AddKeys(partition, rules->second);
    }
  } else if (target.find("log-read") != std::string::npos) {
    ++store.log_reads[query["topic"]];
    const uint64_t from = std::stoull(query["from"]);
    const bool waits = query.contains("wait_ms") && query["wait_ms"] != "0";
    if (waits && store.drops_waiting_reads) {
      constexpr Duration kHeld = std::chrono::seconds(1);
      co_await Sleep(loop, kHeld);
      co_return false;
    }
    if (waits && from >= partition.records.size()) {
      constexpr Duration kShortWait = std::chrono::milliseconds(50);
      constexpr Duration kPoll = std::chrono::milliseconds(5);
      for (Duration waited{};
           waited < kShortWait && from >= partition.records.size();
           waited += kPoll) {
        co_await Sleep(loop, kPoll);
      }
    }
    if (store.read_delay_ms > 0) {
      co_await Sleep(loop, std::chrono::milliseconds(store.read_delay_ms));
    }
    if (waits && IsSilent(store, access, *connection)) {
      co_await Sleep(loop, kLong);
      co_return false;
    }
    const auto max_size = query.find("max_size");
    const size_t max_kib =
        max_size == query.end() ? 1024 : std::stoull(max_size->second);
    response =
        ReadFrom(partition, from, store.max_records_per_read, max_kib * 1024);
  }
  if (access.bytes_per_second > 0) {
    co_return co_await RespondSlowly(loop, access, connection,
                                     std::move(response));
  }
  co_return co_await Respond(connection, std::move(response));
}

}  // namespace

void Compact(StoreStandin& store, const std::string& topic) {
  StoreStandin::Partition& partition = store.partitions[{topic, 0}];
  partition.first = partition.records.size();
}

void PutKeyed(StoreStandin& store,
              const std::string& topic,
              const std::string& key,
              const std::string& value) {
  store.partitions[{topic, 0}].records.push_back(
      platform::EncodeKeyed(key, value));
}

Task<> ServeStore(asio::io_context& loop,
                  StoreStandin& store,
                  const StoreAccess& access,
                  Tcp::endpoint address) {
  StandinHandler handler = [&loop, &store, &access](
                               StandinConnectionPtr connection,
                               StandinRequest request) {
    return Handle(loop, store, access, std::move(connection),
                  std::move(request));
  };
  StandinSockets sockets;
  co_await ServeStandin(loop, address, std::move(handler), sockets);
}

}  // namespace celerykeel::testing
