#include "celerykeel/node/request_memory.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/node/caller_stream.h"  // for CloseForMemory
#include "celerykeel/node/node.h"           // for Node

namespace celerykeel {

namespace {

// With the reserve of MemoryShares a quarter of the machine's memory: answers
// being read take at most another quarter of the smallest machine, and the
// configuration, the endpoints and the process itself need the rest.
constexpr size_t kBudgetDivisor = 5;
constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

RequestMemory::RequestMemory(size_t machine_bytes)
    : shares(machine_bytes / kBudgetDivisor) {}

HeldMemory::HeldMemory(RequestMemory& of_instance,
                       const std::shared_ptr<CallerStream>& from)
    : memory(of_instance),
      request(of_instance.shares.Open("address " + from->address, Now())) {
  this->memory.callers[this->request] = from;
}

HeldMemory::~HeldMemory() {
  this->memory.shares.Close(this->request);
  this->memory.callers.erase(this->request);
}

bool HeldMemory::Resize(size_t total) {
  while (true) {
    const auto [verdict, other] =
        this->memory.shares.Resize(this->request, total, Now());
    if (verdict != MemoryShares::Verdict::kClose) {
      const bool is_granted = verdict == MemoryShares::Verdict::kGranted;
      this->bytes = is_granted ? total : this->bytes;
      return is_granted;
    }
    this->memory.shares.Close(other);
    if (const auto caller = this->memory.callers[other].lock()) {
      CloseForMemory(*caller);
    }
  }
}

bool HeldMemory::Add(size_t more) {
  return this->Resize(this->bytes + more);
}

void HeldMemory::SetTeam(const std::string& team) {
  this->memory.shares.SetHolder(this->request, "team " + team);
}

void HeldMemory::SetClosable(bool is_closable) {
  this->memory.shares.SetClosable(this->request, is_closable, Now());
}

void HeldMemory::RecordProgress() {
  this->memory.shares.RecordProgress(this->request, Now());
}

void RecordCallerLimit(Node& node,
                       const CallerStream& caller,
                       std::string_view limit) {
  Count(node.metrics.caller_limits, "limit", limit);
  ++node.caller_limits_unlogged;
  if (const Duration now = Now();
      now >= node.caller_limits_logged_at + kLogInterval) {
    node.caller_limits_logged_at = now;
    WriteLog(node.log, LogLevel::kUnusual, "caller limited",
             {{"limit", limit},
              {"address", caller.address},
              {"count", node.caller_limits_unlogged}});
    node.caller_limits_unlogged = 0;
  }
}

}  // namespace celerykeel
