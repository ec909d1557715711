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

/// @brief Bytes of an answer that are kept before they are parsed: a head, or
/// the framing of a body. A peer that sends more of it is not waited for.
inline constexpr size_t kMostUnparsedBytes = 256UL * 1024;

/// @brief A connection to an endpoint or to the store.
struct OutConnection {
  explicit OutConnection(asio::io_context& loop) : stream(loop) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMostUnparsedBytes};
  Duration idle_since{};
  Duration idle_limit{};  // the peer closes it after so long
  Duration sent_at{};     // when its last exchange began
  bool given_up = false;  // by CloseBusy
};
using OutConnectionPtr = std::shared_ptr<OutConnection>;

/// @brief Idle connections by address, and those of exchanges under way.
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

/// @brief How far an exchange came before it failed.
enum class ExchangeError {
  kNotConnected,  // nothing was sent
  kSilent,        // sent, and no answer in time
  kClosed,        // sent, and the connection ended before the answer
  kGarbled,       // bytes that are no answer
  kGivenUp,       // ended by CloseBusy
};

/// @brief Takes an idle connection that is at most `freshest` idle, or opens
/// one.
Task<OutConnectionPtr> Connect(asio::io_context& loop,
                               OutPool& pool,
                               const std::string& address,
                               Duration most_idle,
                               Duration patience);

/// @brief Keeps a connection whose answer was read whole, unless bytes are
/// left over or the peer will close it.
void GiveBack(OutPool& pool,
              const std::string& address,
              const OutConnectionPtr& connection,
              const AnswerHead& head);

/// @brief Gives up exchanges that began before `moment`.
void CloseBusy(OutPool& pool, Duration moment);

/// @brief Closes idle connections that their peers will close soon.
void CloseOldIdle(OutPool& pool, Duration now);

/// @brief Closes the connection, which ends whatever waits for it.
void Close(OutConnection& connection);

/// @brief Sends a request.
/// @return nothing, or why it may not have arrived whole.
Task<std::optional<ExchangeError>> SendRequest(OutConnection& connection,
                                               const OutRequest& request,
                                               Duration patience);

struct WholeAnswer {
  AnswerHead head;
  std::string body;
};

/// @brief Sends a request and reads its whole answer.
Task<tl::expected<WholeAnswer, ExchangeError>> Exchange(asio::io_context& loop,
                                                        OutPool& pool,
                                                        std::string address,
                                                        OutRequest request,
                                                        Duration patience);

}  // namespace celerykeel
