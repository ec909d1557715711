#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>      // for uint32_t
#include <deque>        // for std::deque
#include <map>          // for std::map
#include <memory>       // for std::shared_ptr
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/call_request.h"       // for HeaderList
#include "celerykeel/core/connection_limits.h"  // for kMaxIdleConnections
#include "celerykeel/core/time.h"               // for Duration
#include "celerykeel/node/asio.h"               // for Task

namespace celerykeel {

/// @brief Max bytes of an answer that are buffered before they are parsed: a
/// head, or the framing of a body. An answer that needs more fails.
inline constexpr size_t kMaxUnparsedBytes = 256UL * 1024;

/// @brief Counts a tunnel in `count` during the lifetime of this object.
class TunnelUse {
 public:
  explicit TunnelUse(uint32_t& tunnel_count) : count(tunnel_count) {
    ++this->count;
  }
  ~TunnelUse() { --this->count; }
  TunnelUse(const TunnelUse&) = delete;
  TunnelUse& operator=(const TunnelUse&) = delete;

 private:
  uint32_t& count;
};

/// @brief How far the bytes of a tunnel were read.
struct TunnelPieces {
  // They come in pieces, and the peer marks the end of the endpoint's
  // connection; see TunnelOpen. An older peer relays the bytes alone.
  bool are_marked = false;
  uint32_t left = 0;  // bytes of the piece that is being read
  // The mark says how many bytes of the request the endpoint has received.
  bool mark_has_count = false;
  uint64_t request_bytes = 0;  // as the mark said
};

/// @brief A connection to an endpoint or to the store.
struct OutConnection {
  explicit OutConnection(asio::io_context& loop) : stream(loop) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  bool was_idle = false;  // taken from the pool
  // Set if the connection goes to a peer, which relays its bytes; used once.
  std::shared_ptr<const TunnelUse> tunnel;
  TunnelPieces tunnel_pieces;
  uint64_t request_bytes = 0;   // written of the current request
  bool is_request_cut = false;  // and its rest could not be written
  Duration idle_since{};
  Duration idle_limit{};  // idle time after which it is closed
  // When Exchange began to send its request, or got the last bytes of the
  // answer.
  Duration active_at{};
  bool is_abandoned = false;  // closed by AbortExchangesBefore
};
using OutConnectionPtr = std::shared_ptr<OutConnection>;

/// @brief How new connections fail, for fault injection in tests.
enum class ConnectFault { kNone, kRefused, kSilent, kThrows };

/// @brief Idle connections by address, and those in use by Exchange.
struct OutPool {
  std::map<std::string, std::deque<OutConnectionPtr>, std::less<>> idle;
  std::set<OutConnectionPtr> busy;  // in use by Exchange
  uint64_t opened = 0;              // connections opened since the start
  // Uses that accept a longer idle time take the oldest connection that was
  // idle for this long, and leave the others to uses that don't.
  Duration spared_idle = Duration::max();
  ConnectFault fault = ConnectFault::kNone;
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
  Duration idle_limit{};  // see OutConnection
  bool is_event_stream = false;
};

/// @brief How an exchange failed. The request may have been sent, completely or
/// in part, in all cases but kNotConnected and kUnsendable.
enum class ExchangeError {
  kNotConnected,  // nothing was sent
  kUnsendable,    // nothing was sent: a header is longer than Beast takes
  kSilent,        // timed out while sending or between bytes of the answer
  kClosed,        // the connection closed before the end of the answer
  kMalformed,     // the answer is invalid or exceeds a limit
  kAbandoned,     // ended by AbortExchangesBefore
};

enum class ConnectError {
  kRefused,  // nothing listens at the address
  kFailed,   // timed out, or the network failed
  kInvalidAddress,
};

/// @brief Returns a connection that was idle for less than `max_idle`, or
/// opens one within `timeout`.
Task<tl::expected<OutConnectionPtr, ConnectError>> Connect(
    asio::io_context& loop,
    OutPool& pool,
    const std::string& address,
    Duration max_idle,
    Duration timeout);

/// @brief Returns a connection to the pool after its answer was read
/// completely. Closes it if bytes are left over, if the peer will close it, if
/// or its idle limit is zero. If the pool then has more than `max_idle`
/// connections for this address, closes the one that is idle longest.
void ReturnToPool(OutPool& pool,
                  const std::string& address,
                  const OutConnectionPtr& connection,
                  const AnswerHead& head,
                  size_t max_idle = kMaxIdleConnections);

/// @brief Aborts uses of Exchange that began to send before `moment` and got no
/// bytes since; they fail with kAbandoned.
void AbortExchangesBefore(OutPool& pool, Duration moment);

/// @brief Closes the idle connections of an address that were last used before
/// `moment`.
void CloseIdleBefore(OutPool& pool, std::string_view address, Duration moment);

/// @brief Closes idle connections that have reached their idle limit.
void CloseExpiredIdle(OutPool& pool, Duration now);

/// @brief Closes the connection. Operations that wait on it fail.
void Close(OutConnection& connection);

/// @brief Sends a request.
/// @return nothing, or why it may not have arrived completely.
Task<std::optional<ExchangeError>> SendRequest(OutConnection& connection,
                                               const OutRequest& request,
                                               Duration timeout);

struct CompleteAnswer {
  AnswerHead head;
  std::string body;
};

/// @brief Sends a request and reads the complete answer. `timeout` bounds the
/// time until the head of the answer has arrived. The body may take longer, as
/// long as its bytes arrive at most `max_gap` apart.
Task<tl::expected<CompleteAnswer, ExchangeError>> Exchange(
    asio::io_context& loop,
    OutPool& pool,
    std::string address,
    OutRequest request,
    Duration timeout,
    Duration max_gap);

}  // namespace celerykeel
