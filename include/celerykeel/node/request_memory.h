#pragma once

#include <map>          // for std::map
#include <memory>       // for std::shared_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/memory_shares.h"  // for MemoryShares

namespace celerykeel {

struct CallerStream;
struct Node;

/// @brief Memory of all unfinished requests of an instance: heads, bodies,
/// histories of turns, and answers that their callers have not taken yet.
struct RequestMemory {
  /// @param machine_bytes memory of the machine.
  explicit RequestMemory(size_t machine_bytes);

  MemoryShares shares;
  // Connections of the requests, to close them.
  std::map<MemoryShares::Request, std::weak_ptr<CallerStream>> callers;
};

/// @brief The memory of one request, which is given back at the end of this
/// object's lifetime.
class HeldMemory {
 public:
  /// @brief Opens a request of the caller's address.
  HeldMemory(RequestMemory& memory, const std::shared_ptr<CallerStream>& from);
  ~HeldMemory();
  HeldMemory(const HeldMemory&) = delete;
  HeldMemory& operator=(const HeldMemory&) = delete;

  /// @brief Sets the request's memory to `bytes` in total. May close other
  /// requests.
  /// @return false if there is not enough memory for it.
  bool Resize(size_t bytes);
  /// @brief As Resize, by `more` bytes.
  bool Add(size_t more);

  /// @brief Names the team that the request's key belongs to.
  void SetTeam(const std::string& team);
  void SetClosable(bool is_closable);
  void RecordProgress();

 private:
  RequestMemory& memory;
  MemoryShares::Request request;
  size_t bytes = 0;
};

/// @brief Counts a caller that was limited, and logs at most one such line per
/// second.
/// @param limit name of the limit; docs/operators/install.md lists them.
void RecordCallerLimit(Node& node,
                       const CallerStream& caller,
                       std::string_view limit);

}  // namespace celerykeel
