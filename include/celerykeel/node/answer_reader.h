#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>     // for std::array
#include <optional>  // for std::optional
#include <string>    // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/node/out_connection.h"  // for OutConnection, AnswerHead

namespace celerykeel {

/// @brief Reads one answer from a connection: its head, then its body
/// incrementally.
class AnswerReader {
 public:
  explicit AnswerReader(OutConnectionPtr from);

  /// @brief Reads the head. An interim (1xx) answer, a status above 599 and
  /// another version than HTTP/1.0 and 1.1 fail with kMalformed.
  /// @param until steady time by which the head must be complete.
  Task<tl::expected<AnswerHead, ExchangeError>> ReadHead(
      asio::steady_timer::time_point until);

  /// @brief Reads the next bytes of the body.
  /// @return the bytes, or nothing once the answer is complete.
  Task<tl::expected<std::optional<std::string>, ExchangeError>> ReadSome(
      asio::steady_timer::time_point until);

  /// @brief Reads the rest of the body. Fails with kMalformed if it is longer
  /// than `limit` bytes.
  Task<tl::expected<std::string, ExchangeError>> ReadAll(
      asio::steady_timer::time_point until,
      size_t limit);

  /// @brief True if the answer has neither a length nor chunks, so that its end
  /// is the end of the endpoint's connection.
  bool EndsWithConnection() const;

  /// @brief After an answer that EndsWithConnection: true if the endpoint had
  /// received the complete request. Otherwise it has stopped in the middle, and
  /// so may have the answer.
  Task<bool> WasRequestReceived(asio::io_context& loop);

 private:
  Task<> ParseMore(ErrorCode& error);
  Task<> ParseMoreOfTunnel(ErrorCode& error);

  OutConnectionPtr connection;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser;
  std::array<char, 16384> piece{};
  std::optional<ExchangeError> failure;  // reported after the bytes before it
};

}  // namespace celerykeel
