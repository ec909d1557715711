#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>        // for std::array
#include <deque>        // for std::deque
#include <map>          // for std::map
#include <memory>       // for std::shared_ptr
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/call_request.h"  // for HeaderList
#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/node/asio.h"          // for Task

namespace celerykeel {

/// @brief Max bytes of an answer that are buffered before they are parsed: a
/// head, or the framing of a body. An answer that needs more fails.
inline constexpr size_t kMostUnparsedBytes = 256UL * 1024;

/// @brief A connection to an endpoint or to the store.
struct OutConnection {
  explicit OutConnection(asio::io_context& loop) : stream(loop) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMostUnparsedBytes};
  Duration idle_since{};
  Duration idle_limit{};  // idle time after which it is closed
  Duration sent_at{};     // when its current exchange began
  bool given_up = false;  // closed by CloseBusy
};
using OutConnectionPtr = std::shared_ptr<OutConnection>;

/// @brief Idle connections by address, and those of exchanges in progress.
struct OutPool {
  std::map<std::string, std::deque<OutConnectionPtr>, std::less<>> idle;
  std::set<OutConnectionPtr> busy;
  uint64_t opened = 0;
};

struct OutRequest {
  std::string_view method;
  std::string_view target;
  std::string_view host;
  HeaderList headers;
  std::string_view body;
};

/// @brief The head of an answer.
struct AnswerHead {
  int status = 0;
  HeaderList headers;
  bool keep_alive = false;
  Duration idle_limit{};
  bool is_event_stream = false;
};

/// @brief How an exchange failed, and whether anything was sent before.
enum class ExchangeError {
  kNotConnected,  // nothing was sent
  kSilent,        // sent, but no answer in time
  kClosed,        // sent, but the connection closed before the answer
  kGarbled,       // the bytes are not a valid answer
  kGivenUp,       // ended by CloseBusy
};

/// @brief Returns a connection that was idle for less than `most_idle`, or
/// opens one within `timeout`.
/// @return null if the address is invalid or can't be connected to.
Task<OutConnectionPtr> Connect(asio::io_context& loop,
                               OutPool& pool,
                               const std::string& address,
                               Duration most_idle,
                               Duration timeout);

/// @brief Returns a connection to the pool after its answer was read
/// completely. Closes it if bytes are left over, if the peer will close it or
/// if the pool is full.
void ReturnToPool(OutPool& pool,
                  const std::string& address,
                  const OutConnectionPtr& connection,
                  const AnswerHead& head);

/// @brief Aborts exchanges that began before `moment`; they fail with
/// kGivenUp.
void CloseBusy(OutPool& pool, Duration moment);

/// @brief Closes idle connections that have reached their idle limit.
void CloseOldIdle(OutPool& pool, Duration now);

/// @brief Closes the connection. Operations that wait on it fail.
void Close(OutConnection& connection);

/// @brief Sends a request.
/// @return nothing, or why it may not have arrived completely.
Task<std::optional<ExchangeError>> SendRequest(OutConnection& connection,
                                               const OutRequest& request,
                                               Duration timeout);

struct WholeAnswer {
  AnswerHead head;
  std::string body;
};

/// @brief Sends a request and reads the complete answer.
Task<tl::expected<WholeAnswer, ExchangeError>> Exchange(asio::io_context& loop,
                                                        OutPool& pool,
                                                        std::string address,
                                                        OutRequest request,
                                                        Duration timeout);

}  // namespace celerykeel
