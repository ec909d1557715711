#include "celerykeel/standin/request_book.h"

#include <utility>  // for std::move

namespace celerykeel {

EngineRequest* FindRequest(RequestBook& book, std::string_view id) {
  const auto found = book.requests.find(id);
  return found == book.requests.end() ? nullptr : &found->second;
}

void StartRecord(RequestBook& book,
                 std::string_view id,
                 EngineRequest request,
                 Duration now) {
  std::erase(book.ended, id);
  request.left_at = now;
  book.requests.insert_or_assign(std::string(id), std::move(request));
}

void EndRequest(RequestBook& book, std::string_view id, RequestState state) {
  EngineRequest* const request = FindRequest(book, id);
  if (request == nullptr || request->state != RequestState::kUnderWay) {
    return;
  }
  request->state = state;
  book.ended.emplace_back(id);
  while (book.ended.size() > book.capacity) {
    book.requests.erase(book.ended.front());
    book.ended.pop_front();
  }
}

void AddReader(RequestBook& book, std::string_view id) {
  if (EngineRequest* const request = FindRequest(book, id);
      request != nullptr) {
    ++request->readers;
  }
}

void RemoveReader(RequestBook& book, std::string_view id, Duration now) {
  if (EngineRequest* const request = FindRequest(book, id);
      request != nullptr && request->readers > 0) {
    --request->readers;
    request->left_at = now;
  }
}

std::vector<std::string> AbandonedRequests(const RequestBook& book,
                                           Duration grace,
                                           Duration now) {
  std::vector<std::string> abandoned;
  for (const auto& [id, request] : book.requests) {
    if (request.state == RequestState::kUnderWay && request.readers == 0 &&
        request.left_at + grace <= now) {
      abandoned.push_back(id);
    }
  }
  return abandoned;
}

}  // namespace celerykeel
