#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>     // for std::array
#include <optional>  // for std::optional
#include <string>    // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/node/out_connection.h"  // for OutConnection, AnswerHead

namespace celerykeel {

/// @brief Reads one answer of a connection: its head, then its body as it
/// comes.
class AnswerReader {
 public:
  explicit AnswerReader(OutConnectionPtr from);

  /// @brief Reads the head; interim answers are skipped.
  /// @param until steady time by which it must be there.
  Task<tl::expected<AnswerHead, ExchangeError>> ReadHead(
      asio::steady_timer::time_point until);

  /// @brief Reads some of the body.
  /// @return bytes, or nothing once the answer is complete.
  Task<tl::expected<std::optional<std::string>, ExchangeError>> ReadSome(
      asio::steady_timer::time_point until);

  /// @brief Reads the rest of the body, at most `limit` bytes.
  Task<tl::expected<std::string, ExchangeError>> ReadAll(
      asio::steady_timer::time_point until,
      size_t limit);

 private:
  OutConnectionPtr connection;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser;
  std::array<char, 16384> piece{};
  std::optional<ExchangeError> failure;  // ends the body
};

}  // namespace celerykeel
