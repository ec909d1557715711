#include "celerykeel/node/answer_reader.h"

#include <boost/asio/read.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>  // for std::max, std::min
#include <charconv>   // for std::from_chars
#include <limits>     // for std::numeric_limits

#include "celerykeel/node/delivery.h"   // for AwaitDelivery
#include "celerykeel/node/peer_link.h"  // for kFrameLengthBytes
#include "celerykeel/node/tunnel.h"     // for kTunnelCountBytes

namespace celerykeel {

namespace {

namespace http = boost::beast::http;

constexpr uint32_t kMaxHeadBytes = 64 * 1024;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kVersion10 = 10;
constexpr unsigned kVersion11 = 11;
constexpr size_t kTunnelReadBytes = 16384;
// Idle limit if the peer sends no Keep-Alive timeout.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);
// An idle connection is closed after half of its peer's timeout, before the
// peer closes it.
constexpr int kIdleLimitDivisor = 2;

Duration IdleLimit(boost::beast::string_view keep_alive) {
  const std::string_view text(keep_alive.data(), keep_alive.size());
  const size_t at = text.find("timeout=");
  if (at == std::string_view::npos) {
    return kDefaultIdleLimit;
  }
  int64_t seconds = 0;
  const std::string_view digits = text.substr(at + 8);
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(std::max<int64_t>(seconds, 0)) /
         kIdleLimitDivisor;
}

ExchangeError ToExchangeError(const ErrorCode& error) {
  if (error == boost::beast::error::timeout) {
    return ExchangeError::kSilent;
  }
  if (error.category() ==
          make_error_code(http::error::end_of_stream).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return ExchangeError::kMalformed;
  }
  return ExchangeError::kClosed;
}

// Reads the length of the next piece of a tunnel, unless one is being read.
// @return false if there is no next piece, as the endpoint closed its
// connection.
Task<bool> ReadPieceLength(OutConnectionPtr connection, ErrorCode& error) {
  uint32_t& left = connection->tunnel_pieces.left;
  if (left > 0) {
    co_return true;
  }
  std::array<unsigned char, kFrameLengthBytes> length{};
  co_await asio::async_read(connection->stream, asio::buffer(length),
                            Into(error));
  if (!error) {
    left = boost::endian::load_big_u32(length.data());
  }
  co_return error || left > 0;
}

// Reads what follows the mark of the endpoint's end.
Task<> ReadRequestBytes(OutConnectionPtr connection, ErrorCode& error) {
  TunnelPieces& pieces = connection->tunnel_pieces;
  if (!pieces.mark_has_count) {
    co_return;
  }
  std::array<unsigned char, kTunnelCountBytes> count{};
  co_await asio::async_read(connection->stream, asio::buffer(count),
                            Into(error));
  pieces.request_bytes = boost::endian::load_big_u64(count.data());
}

}  // namespace

AnswerReader::AnswerReader(OutConnectionPtr from)
    : connection(std::move(from)) {
  this->parser.body_limit(std::numeric_limits<uint64_t>::max());
  this->parser.header_limit(kMaxHeadBytes);
  // An eager parser would wait for more bytes instead of returning the
  // available ones.
  this->parser.eager(false);
}

Task<tl::expected<AnswerHead, ExchangeError>> AnswerReader::ReadHead(
    asio::steady_timer::time_point until) {
  auto& body = this->parser.get().body();
  body.data = this->piece.data();
  body.size = this->piece.size();
  body.more = false;
  this->connection->stream.expires_at(until);
  ErrorCode error;
  while (!this->parser.is_header_done()) {
    co_await this->ParseMore(error);
    if (error == http::error::need_buffer) {
      break;
    }
    if (error) {
      co_return tl::unexpected(ToExchangeError(error));
    }
  }
  const auto& message = this->parser.get();
  AnswerHead head;
  head.status = static_cast<int>(message.result_int());
  const bool is_http1 =
      message.version() == kVersion10 || message.version() == kVersion11;
  if (message.result_int() < kFirstFinalStatus ||
      message.result_int() > kLastStatus || !is_http1) {
    co_return tl::unexpected(ExchangeError::kMalformed);
  }
  for (const auto& field : message) {
    head.headers.emplace_back(std::string(field.name_string()),
                              std::string(field.value()));
  }
  head.keep_alive = message.keep_alive();
  head.idle_limit = IdleLimit(message[http::field::keep_alive]);
  const auto type = message[http::field::content_type];
  head.is_event_stream =
      type.size() >= 17 && type.substr(0, 17) == "text/event-stream";
  co_return head;
}

Task<tl::expected<std::optional<std::string>, ExchangeError>>
AnswerReader::ReadSome(asio::steady_timer::time_point until) {
  auto& body = this->parser.get().body();
  while (true) {
    // Bytes that arrived with the head or in the previous read.
    const size_t available = this->piece.size() - body.size;
    if (available > 0) {
      std::string bytes(this->piece.data(), available);
      body.data = this->piece.data();
      body.size = this->piece.size();
      co_return bytes;
    }
    if (this->failure) {
      co_return tl::unexpected(*this->failure);
    }
    if (this->parser.is_done()) {
      co_return std::optional<std::string>();
    }
    this->connection->stream.expires_at(until);
    ErrorCode error;
    co_await this->ParseMore(error);
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (error) {
      this->failure =
          ToExchangeError(error);  // reported after the bytes before it
    }
  }
}

bool AnswerReader::EndsWithConnection() const {
  return this->parser.need_eof();
}

// A peer of an older build does not say what the endpoint has received.
Task<bool> AnswerReader::WasRequestReceived(asio::io_context& loop) {
  OutConnection& from = *this->connection;
  if (from.is_request_cut ||
      (from.tunnel_pieces.mark_has_count &&
       from.tunnel_pieces.request_bytes < from.request_bytes)) {
    co_return false;
  }
  co_return co_await AwaitDelivery(loop, from.stream.socket());
}

Task<> AnswerReader::ParseMore(ErrorCode& error) {
  if (this->connection->tunnel != nullptr) {
    co_await this->ParseMoreOfTunnel(error);
  } else {
    co_await http::async_read_some(this->connection->stream,
                                   this->connection->buffer, this->parser,
                                   Into(error));
  }
}

// The end of a tunnel is not the end of the answer: the peer's process may have
// been killed. Only the peer's mark says that the endpoint closed.
Task<> AnswerReader::ParseMoreOfTunnel(ErrorCode& error) {
  auto& buffer = this->connection->buffer;
  TunnelPieces& pieces = this->connection->tunnel_pieces;
  while (true) {
    error = {};
    if (buffer.size() > 0) {
      buffer.consume(this->parser.put(buffer.data(), error));
      if (error != http::error::need_more) {
        co_return;
      }
      error = {};
    }
    size_t room = std::min(kTunnelReadBytes, buffer.max_size() - buffer.size());
    if (room == 0) {
      error = http::error::buffer_overflow;
      co_return;
    }
    if (pieces.are_marked) {
      const bool has_piece = co_await ReadPieceLength(this->connection, error);
      if (!error && !has_piece) {
        co_await ReadRequestBytes(this->connection, error);
      }
      if (error) {
        break;
      }
      if (!has_piece) {
        if (this->parser.got_some()) {
          this->parser.put_eof(error);
        } else {
          error = http::error::end_of_stream;
        }
        co_return;
      }
      room = std::min<size_t>(room, pieces.left);
    }
    const size_t count = co_await this->connection->stream.async_read_some(
        buffer.prepare(room), Into(error));
    if (error) {
      break;
    }
    buffer.commit(count);
    pieces.left -= pieces.are_marked ? static_cast<uint32_t>(count) : 0;
  }
  if (error == asio::error::eof) {
    error = asio::error::connection_reset;
  }
}

Task<tl::expected<std::string, ExchangeError>> AnswerReader::ReadAll(
    asio::steady_timer::time_point until,
    size_t limit) {
  std::string all;
  while (true) {
    auto some = co_await this->ReadSome(until);
    if (!some) {
      co_return tl::unexpected(some.error());
    }
    if (!*some) {
      co_return all;
    }
    all += **some;
    if (all.size() > limit) {
      co_return tl::unexpected(ExchangeError::kMalformed);
    }
  }
}

}  // namespace celerykeel
