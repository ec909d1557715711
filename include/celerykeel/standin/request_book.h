#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint32_t, uint64_t
#include <deque>        // for std::deque
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"     // for Duration
#include "celerykeel/standin/chat.h"  // for ChatAnswer

namespace celerykeel {

enum class RequestState { kUnderWay, kFinished, kCancelled };

/// @brief A request that the engine knows, with the answer it has or will
/// have; the first `produced` tokens may be read.
struct EngineRequest {
  ChatAnswer answer;
  ChatUsage usage;
  uint64_t prompt_digest = 0;
  uint64_t produced = 0;  // tokens
  RequestState state = RequestState::kUnderWay;
  uint32_t readers = 0;
  Duration left_at{};  // when the last reader left
};

/// @brief All requests under way, and the latest that ended.
struct RequestBook {
  size_t capacity = 10'000;  // ended requests kept
  std::map<std::string, EngineRequest, std::less<>> requests;
  std::deque<std::string> ended;  // oldest first
};

EngineRequest* FindRequest(RequestBook& book, std::string_view id);

/// @brief Adds a request, in place of a cancelled one of the same id.
void StartRecord(RequestBook& book,
                 std::string_view id,
                 EngineRequest request,
                 Duration now);

/// @brief Marks a request as ended, and forgets the oldest above capacity.
void EndRequest(RequestBook& book, std::string_view id, RequestState state);

void AddReader(RequestBook& book, std::string_view id);
void RemoveReader(RequestBook& book, std::string_view id, Duration now);

/// @brief Requests under way that nobody has read for `grace`.
std::vector<std::string> AbandonedRequests(const RequestBook& book,
                                           Duration grace,
                                           Duration now);

}  // namespace celerykeel
