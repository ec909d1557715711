#include <httplib.h>  // for httplib::Server

#include <charconv>  // for std::from_chars
#include <chrono>    // for std::chrono::duration
#include <string>    // for std::string
#include <vector>    // for std::vector

#include <fmt/format.h>       // for fmt::format
#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/standin/engine_state.h"  // for EngineState

namespace celerykeel {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr uint64_t kEventsPerPage = 1000;
constexpr size_t kHashDigits = 16;
constexpr size_t kDepthDigits = 8;
constexpr size_t kBlockDigits = kHashDigits + kDepthDigits;
constexpr int kHexadecimal = 16;

const char* NameOf(CacheChangeKind kind) {
  switch (kind) {
    case CacheChangeKind::kStored:
      return "stored";
    case CacheChangeKind::kEvicted:
      return "evicted";
    case CacheChangeKind::kReleased:
      return "released";
  }
  return "";
}

json ToJson(const CacheEvent& event) {
  return {{"sequence", event.sequence},
          {"kind", NameOf(event.change.kind)},
          {"program", event.change.program},
          {"tokens", event.change.blocks * kBlockTokens},
          {"held_tokens", event.change.held_blocks * kBlockTokens}};
}

std::string EncodeBlocks(const std::vector<ExportedBlock>& blocks) {
  std::string blob;
  for (const auto& [hash, depth] : blocks) {
    blob += fmt::format("{:016x}{:08x}", hash, depth);
  }
  return blob;
}

template <typename T>
bool ParseHex(std::string_view digits, T& number) {
  const char* const end = digits.data() + digits.size();
  const auto [rest, error] =
      std::from_chars(digits.data(), end, number, kHexadecimal);
  return error == std::errc() && rest == end;
}

std::optional<std::vector<ExportedBlock>> DecodeBlocks(std::string_view blob) {
  std::vector<ExportedBlock> blocks;
  for (; blob.size() >= kBlockDigits; blob.remove_prefix(kBlockDigits)) {
    ExportedBlock block;
    if (!ParseHex(blob.substr(0, kHashDigits), block.hash) ||
        !ParseHex(blob.substr(kHashDigits, kDepthDigits), block.depth)) {
      return std::nullopt;
    }
    blocks.push_back(block);
  }
  return blob.empty() ? std::optional(blocks) : std::nullopt;
}

// The time that moving this many blocks takes.
void WaitForTransfer(EngineState& state, EngineLock& lock, size_t blocks) {
  const std::chrono::duration<double> transfer(
      static_cast<double>(blocks * kBlockTokens) /
      state.options.transfer_tokens_per_second);
  state.progressed.wait_for(lock, transfer, [&] { return state.stopping; });
}

void ListEvents(EngineState& state,
                const Request& request,
                Response& response) {
  json events = json::array();
  const EngineLock lock(state.mutex);
  for (const CacheEvent& event :
       ReadEvents(state.events, QueryNumber(request, "from", 1), kEventsPerPage,
                  Now())) {
    events.push_back(ToJson(event));
  }
  response.set_content(json{{"events", std::move(events)}}.dump(), kJsonType);
}

void ShowCache(EngineState& state, Response& response) {
  const EngineLock lock(state.mutex);
  const PrefixCache& cache = state.batcher.cache;
  const auto holdings = HeldTokens(cache);
  const json shown = {{"programs", holdings.size()},
                      {"capacity_tokens", cache.capacity * kBlockTokens},
                      {"used_tokens", cache.blocks.size() * kBlockTokens},
                      {"holdings", holdings}};
  response.set_content(shown.dump(), kJsonType);
}

void Release(EngineState& state, const std::string& program) {
  CacheChanges changes;
  ReleaseProgram(state.batcher.cache, program, changes);
  PublishChanges(state, changes, Now());
}

void DropProgram(EngineState& state,
                 const Request& request,
                 Response& response) {
  EngineLock lock(state.mutex);
  DelayAsAsked(state, lock);
  if (PassFence(state, request, response)) {
    Release(state, request.matches[1].str());
    response.status = 204;
  }
}

// With ?drop=1 the program's blocks are released once they are exported.
void Export(EngineState& state, const Request& request, Response& response) {
  const std::string program = request.matches[1].str();
  EngineLock lock(state.mutex);
  DelayAsAsked(state, lock);
  if (!PassFence(state, request, response)) {
    return;
  }
  const auto blocks = ExportBlocks(state.batcher.cache, program);
  WaitForTransfer(state, lock, blocks.size());
  if (QueryNumber(request, "drop", 0) != 0) {
    Release(state, program);
  }
  const json exported = {{"program", program},
                         {"tokens", blocks.size() * kBlockTokens},
                         {"blob", EncodeBlocks(blocks)}};
  response.set_content(exported.dump(), kJsonType);
}

void Import(EngineState& state, const Request& request, Response& response) {
  const std::string program = request.matches[1].str();
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("blob") ||
      !body["blob"].is_string()) {
    return RefuseRequest(response, 400, "bad_request", "a blob is needed");
  }
  const auto blocks = DecodeBlocks(body["blob"].get<std::string>());
  if (!blocks) {
    return RefuseRequest(response, 400, "bad_request", "not an export");
  }
  EngineLock lock(state.mutex);
  DelayAsAsked(state, lock);
  if (!PassFence(state, request, response)) {
    return;
  }
  WaitForTransfer(state, lock, blocks->size());
  CacheChanges changes;
  ImportBlocks(state.batcher.cache, program, *blocks, Now(), changes);
  PublishChanges(state, changes, Now());
  const auto held = HeldTokens(state.batcher.cache);
  const auto found = held.find(program);
  const json imported = {{"program", program},
                         {"tokens", found == held.end() ? 0 : found->second}};
  response.set_content(imported.dump(), kJsonType);
}

}  // namespace

void AddCacheRoutes(EngineState& state, httplib::Server& server) {
  server.Get("/cache/events",
             [&state](const Request& request, Response& response) {
               ListEvents(state, request, response);
             });
  server.Get("/cache", [&state](const Request&, Response& response) {
    ShowCache(state, response);
  });
  server.Delete(R"(/cache/(.+))",
                [&state](const Request& request, Response& response) {
                  DropProgram(state, request, response);
                });
  server.Post(R"(/cache/(.+)/export)",
              [&state](const Request& request, Response& response) {
                Export(state, request, response);
              });
  server.Post(R"(/cache/(.+)/import)",
              [&state](const Request& request, Response& response) {
                Import(state, request, response);
              });
}

}  // namespace celerykeel
