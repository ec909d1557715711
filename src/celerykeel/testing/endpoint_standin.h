#pragma once

#include <atomic>      // for std::atomic
#include <chrono>      // for std::chrono::steady_clock
#include <cstdint>     // for uint64_t
#include <functional>  // for std::function
#include <map>         // for std::map
#include <mutex>       // for std::mutex
#include <string>      // for std::string
#include <vector>      // for std::vector

#include "celerykeel/testing/http_standin.h"  // for StandinRequest

namespace celerykeel::testing {

/// @brief The part of an answer in which a faulty endpoint sends bytes without
/// end.
enum class Endless {
  kNotEndless,
  kHead,
  kInterim,     // informational (1xx) answers
  kChunkSize,   // the size line of a chunk
  kChunks,      // a chunked body
  kTrailer,     // after the last chunk
  kPastLength,  // after a body with Content-Length
  kEvent,       // one endless event
};

/// @brief What an endpoint does with the body of a request that it answers as
/// soon as it has the head. The answer has no length and ends with the
/// connection.
enum class EarlyAnswer {
  kNone,     // it answers complete requests only
  kCloses,   // reads nothing of the body and closes
  kReadsOn,  // reads the complete body and closes
};

/// @brief One event of each stream that a faulty endpoint spoils.
struct SpoiledEvent {
  int number = 0;        // of the event, from 1; 0: none
  std::string id_line;   // instead of the event's own
  bool goes_on = false;  // else it breaks the stream off after the event
};

/// @brief Stand-in for a model engine or a plain service. Answers a POST below
/// /stream/ with events, and any other request with a short body.
struct EndpointStandin {
  std::string id;
  std::atomic<int> events{4};    // of one stream
  std::atomic<int> pause_ms{3};  // between events
  // Filler in the data of each event.
  std::atomic<size_t> event_filler_bytes{0};
  // Streams comments without an end, and no events.
  std::atomic<bool> streams_only_comments{false};
  // Closes the connection after this many events; -1: never.
  std::atomic<int> close_after_events{-1};
  // Sends answers without a length or chunks, which end with the connection.
  std::atomic<bool> is_unframed{false};
  std::atomic<EarlyAnswer> early_answer{EarlyAnswer::kNone};
  // Ends streams inside an event, after all complete ones.
  std::atomic<bool> ends_inside_event{false};
  std::atomic<bool> is_full{false};  // answers 503, marked as not run
  // Answers 421 only, as to a request that expects other weights.
  std::atomic<bool> has_other_weights{false};
  // Runs requests and closes their connections without an answer.
  std::atomic<bool> is_unresponsive{false};
  // Announces its departure in each plain answer, refusal and stream.
  std::atomic<bool> announces_leaving{false};
  // Named in each answer: calls per second, from all callers together; 0: none.
  std::atomic<double> rate_limit{0};
  // Answers 500 to a request that resumes a stream.
  std::atomic<bool> fails_resumed{false};
  // Sends the answer to an earlier request before the expected one.
  std::atomic<bool> sends_stale_answer{false};
  // Sends the refusal of an earlier request before the expected answer.
  std::atomic<bool> sends_stale_refusal{false};
  std::atomic<bool> stale_refusal_has_id{true};
  std::atomic<Endless> endless{Endless::kNotEndless};
  std::atomic<uint64_t> endless_bytes{0};  // sent on all connections
  // A request with this body crashes the endpoint; it is down for `down_ms`.
  // Set both before the first such request.
  std::string deadly_body;
  int down_ms = 300;
  // While down it is silent: its connections stay open, without answers.
  bool is_silent_when_down = false;
  std::atomic<bool> is_down{false};
  std::atomic<int> crashes{0};
  std::atomic<int> streams{0};       // under way
  std::atomic<int> most_streams{0};  // that were under way at once
  StandinSockets sockets;
  std::string raw_answer;           // see SetRawAnswer; guarded by `mutex`
  SpoiledEvent spoiled;             // guarded by `mutex`
  std::mutex mutex;                 // guards the members below
  std::map<std::string, int> runs;  // by request id
  std::vector<std::chrono::steady_clock::time_point> arrivals;  // of requests
  std::map<std::string, std::string> bodies;
  std::map<std::string, std::map<std::string, std::string>> headers;
};

/// @param on_start called after each start that follows a crash.
Task<> ServeEndpoint(asio::io_context& loop,
                     EndpointStandin& endpoint,
                     Tcp::endpoint address,
                     std::function<void()> on_start);

/// @brief Ends the endpoint's process; it starts again after `down_ms`.
void Crash(EndpointStandin& endpoint);

/// @brief Lets the endpoint send `bytes` instead of answers, and close the
/// connection. Empty: it answers again.
void SetRawAnswer(EndpointStandin& endpoint, std::string bytes);

/// @brief Lets the endpoint spoil an event of each stream from now on.
void SetSpoiled(EndpointStandin& endpoint, SpoiledEvent spoiled);

/// @brief Returns how many times the endpoint ran a request.
int RunsOf(EndpointStandin& endpoint, const std::string& id);

/// @brief Returns the largest number of requests, run or refused, that arrived
/// within `window` after the first `skipped` ones.
int MostArrivals(EndpointStandin& endpoint,
                 size_t skipped,
                 std::chrono::milliseconds window);

/// @brief Returns the body of a request.
std::string BodyOf(EndpointStandin& endpoint, const std::string& id);

/// @brief Returns a header of a request; empty if the request lacks it.
std::string HeaderOf(EndpointStandin& endpoint,
                     const std::string& id,
                     const std::string& name);

}  // namespace celerykeel::testing
