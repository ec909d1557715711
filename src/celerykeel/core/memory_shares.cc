#include "celerykeel/core/memory_shares.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

// A request of at most this size may use the reserve, so that ordinary requests
// are served while large ones fill the budget.
constexpr size_t kSmallRequestBytes = 64UL * 1024;
constexpr size_t kReserveDivisor = 4;  // of the budget
// A request without progress for this long is closed before one that makes
// progress: two round trips on a slow link.
constexpr Duration kStalledAfter = std::chrono::milliseconds(500);

}  // namespace

MemoryShares::Request MemoryShares::Open(std::string holder, Duration now) {
  const Request request = this->next++;
  this->requests[request] = {.holder = std::move(holder), .progress_at = now};
  return request;
}

void MemoryShares::Charge(Entry& entry, size_t bytes) {
  size_t& of_holder = this->bytes_by_holder[entry.holder];
  of_holder = of_holder - entry.bytes + bytes;
  this->used = this->used - entry.bytes + bytes;
  entry.bytes = bytes;
  if (of_holder == 0) {
    this->bytes_by_holder.erase(entry.holder);
  }
}

void MemoryShares::Close(Request request) {
  if (const auto found = this->requests.find(request);
      found != this->requests.end()) {
    this->Charge(found->second, 0);
    this->requests.erase(found);
  }
}

const std::string* MemoryShares::LargestHolder(const std::string& asking,
                                               size_t more) const {
  const std::string* largest = &asking;
  const auto own = this->bytes_by_holder.find(asking);
  size_t most = more + (own == this->bytes_by_holder.end() ? 0 : own->second);
  for (const auto& [holder, bytes] : this->bytes_by_holder) {
    if (bytes > most) {
      most = bytes;
      largest = &holder;
    }
  }
  return largest;
}

// The largest stalled request, else the largest one. Nothing if that is the
// asking one, or if no other may be closed.
std::optional<MemoryShares::Request> MemoryShares::RequestToClose(
    const std::string& holder,
    Request asking,
    size_t asking_bytes,
    Duration now) const {
  std::optional<Request> chosen;
  bool is_stalled = false;
  size_t most = 0;
  for (const auto& [request, entry] : this->requests) {
    if (request == asking || !entry.is_closable || entry.bytes == 0 ||
        entry.holder != holder) {
      continue;
    }
    const bool stalled = now - entry.progress_at >= kStalledAfter;
    if (!chosen ||
        std::pair(stalled, entry.bytes) > std::pair(is_stalled, most)) {
      chosen = request;
      is_stalled = stalled;
      most = entry.bytes;
    }
  }
  const bool is_asking_first = this->requests.at(asking).holder == holder &&
                               !is_stalled && asking_bytes > most;
  return is_asking_first ? std::nullopt : chosen;
}

MemoryShares::Decision MemoryShares::Resize(Request request,
                                            size_t bytes,
                                            Duration now) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return {Verdict::kRefused, 0};
  }
  Entry& entry = found->second;
  entry.progress_at = now;
  const size_t total = this->used - entry.bytes + bytes;
  const size_t limit =
      this->budget +
      (bytes <= kSmallRequestBytes ? this->budget / kReserveDivisor : 0);
  if (bytes <= entry.bytes || total <= limit) {
    this->Charge(entry, bytes);
    return {Verdict::kGranted, 0};
  }
  const std::string* largest =
      this->LargestHolder(entry.holder, bytes - entry.bytes);
  if (const auto closed = this->RequestToClose(*largest, request, bytes, now)) {
    return {Verdict::kClose, *closed};
  }
  return {Verdict::kRefused, 0};
}

void MemoryShares::SetHolder(Request request, std::string holder) {
  if (const auto found = this->requests.find(request);
      found != this->requests.end()) {
    Entry& entry = found->second;
    const size_t bytes = entry.bytes;
    this->Charge(entry, 0);
    entry.holder = std::move(holder);
    this->Charge(entry, bytes);
  }
}

void MemoryShares::SetClosable(Request request,
                               bool is_closable,
                               Duration now) {
  if (const auto found = this->requests.find(request);
      found != this->requests.end()) {
    found->second.is_closable = is_closable;
    found->second.progress_at = now;
  }
}

void MemoryShares::RecordProgress(Request request, Duration now) {
  if (const auto found = this->requests.find(request);
      found != this->requests.end()) {
    found->second.progress_at = now;
  }
}

}  // namespace celerykeel
