#pragma once

#include <atomic>   // for std::atomic
#include <cstdint>  // for uint64_t
#include <map>      // for std::map
#include <mutex>    // for std::mutex
#include <string>   // for std::string

#include "celerykeel/testing/http_standin.h"  // for StandinRequest

namespace celerykeel::testing {

/// @brief Where an endpoint in trouble sends bytes without end.
enum class Endless {
  kNowhere,
  kHead,
  kInterim,     // answers that say to go on waiting
  kChunkSize,   // the line before a chunk
  kChunks,      // a body of chunks
  kTrailer,     // after the last chunk
  kPastLength,  // after a body of a stated length
  kEvent,       // an event that does not end
};

/// @brief A stand-in of a model engine or a plain service. A POST below
/// /stream/ is answered with events, anything else with a short body.
struct EndpointStandin {
  std::string id;
  std::atomic<int> events{4};         // of one stream
  std::atomic<int> pause_ms{3};       // between events
  std::atomic<bool> trickles{false};  // a stream of comments, and no event
  std::atomic<int> cut_after{-1};     // events, then the connection closes
  std::atomic<bool> is_full{false};   // 503, and it says that it did not run
  std::atomic<bool> is_mute{false};   // runs, and closes without an answer
  std::atomic<bool> says_leaving{false};  // in each answer
  std::atomic<bool> echoes_late{false};   // an answer of an earlier request
                                          // comes before the right one
  // A refusal of an earlier request comes before the right answer.
  std::atomic<bool> echoes_refusal{false};
  std::atomic<Endless> endless{Endless::kNowhere};
  std::atomic<uint64_t> endless_bytes{0};  // sent so, of all connections
  std::mutex mutex;                        // of what follows
  std::map<std::string, int> runs;         // by request id
  std::map<std::string, std::string> bodies;
  std::map<std::string, std::map<std::string, std::string>> headers;
};

Task<> ServeEndpoint(asio::io_context& loop,
                     EndpointStandin& endpoint,
                     Tcp::endpoint address);

/// @brief How often the endpoint ran a request.
int RunsOf(EndpointStandin& endpoint, const std::string& id);

/// @brief The body that came with a request.
std::string BodyOf(EndpointStandin& endpoint, const std::string& id);

/// @brief A header that came with a request; empty if none did.
std::string HeaderOf(EndpointStandin& endpoint,
                     const std::string& id,
                     const std::string& name);

}  // namespace celerykeel::testing
