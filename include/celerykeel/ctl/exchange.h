#pragma once

#include <cstdint>      // for uint64_t
#include <functional>   // for std::function
#include <memory>       // for std::unique_ptr
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"      // for Duration
#include "celerykeel/net/messenger.h"  // for MessengerError

namespace celerykeel {

/// @brief One request to one process, and how to know its answer.
struct Question {
  std::string address;  // host:port
  std::string payload;
  std::function<bool(std::string_view)> is_answer;
};

/// @brief Asks processes of the fleet and waits for their answers.
class Exchange {
 public:
  static tl::expected<std::unique_ptr<Exchange>, MessengerError> Create();

  ~Exchange();

  /// @brief A number for the next request, unique in this exchange.
  uint64_t NextId();

  /// @brief Sends all questions at once.
  /// @return an answer for each question, in order; nothing where none came
  /// within `timeout`.
  std::vector<std::optional<std::string>> Ask(std::vector<Question> questions,
                                              Duration timeout);

 private:
  struct State;
  explicit Exchange(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
