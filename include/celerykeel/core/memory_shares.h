#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <string>    // for std::string

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Shares a budget of memory between the holders of requests: callers,
/// by their team or else by their address. While the budget is used up,
/// requests of the holder with the most memory are closed or refused first, so
/// that no holder takes what others need.
class MemoryShares {
 public:
  using Request = uint64_t;

  enum class Verdict {
    kGranted,
    kRefused,
    kClose,  // close the named request, and ask again
  };
  struct Decision {
    Verdict verdict = Verdict::kGranted;
    Request request = 0;  // to close
  };

  /// @param budget_bytes of all requests together.
  explicit MemoryShares(size_t budget_bytes) : budget(budget_bytes) {}

  /// @brief Adds a request without memory.
  Request Open(std::string holder, Duration now);
  void Close(Request request);

  /// @brief Asks for `bytes` in total for a request. Less than it has is always
  /// granted. A request with little memory may use a reserve beyond the budget.
  Decision Resize(Request request, size_t bytes, Duration now);

  /// @brief Moves a request to another holder, once its key is known.
  void SetHolder(Request request, std::string holder);

  /// @brief Whether a request may be closed at any moment: it certainly has not
  /// run, or its answer waits for its caller.
  void SetClosable(Request request, bool is_closable, Duration now);

  /// @brief Records that a caller sent or took bytes of a request.
  void RecordProgress(Request request, Duration now);

  size_t UsedBytes() const { return this->used; }

 private:
  struct Entry {
    std::string holder;
    size_t bytes = 0;
    bool is_closable = true;
    Duration progress_at{};
  };

  const std::string* LargestHolder(const std::string& asking,
                                   size_t more) const;
  std::optional<Request> RequestToClose(const std::string& holder,
                                        Request asking,
                                        size_t asking_bytes,
                                        Duration now) const;
  void Charge(Entry& entry, size_t bytes);

  size_t budget;
  size_t used = 0;
  Request next = 1;
  std::map<Request, Entry> requests;
  std::map<std::string, size_t> bytes_by_holder;
};

}  // namespace celerykeel
