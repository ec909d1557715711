#include "celerykeel/node/answer_reader.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

namespace celerykeel {
namespace {

using Body = tl::expected<std::string, ExchangeError>;

constexpr char kUnframed[] =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst part";

std::string Piece(const std::string& bytes) {
  std::string length(4, '\0');
  length[2] = static_cast<char>(bytes.size() / 256);
  length[3] = static_cast<char>(bytes.size() % 256);
  return length + bytes;
}

Task<> Read(OutConnectionPtr connection, Body& body) {
  constexpr size_t kMaxBytes = 1000;
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  AnswerReader reader(connection);
  const auto head = co_await reader.ReadHead(until);
  if (!head) {
    body = tl::unexpected(head.error());
    co_return;
  }
  body = co_await reader.ReadAll(until, kMaxBytes);
}

// Reads an answer from a connection that carries `bytes` and is then closed.
Body ReadAnswer(const std::string& bytes, bool is_tunnel, bool is_marked) {
  asio::io_context loop{1};
  Tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
  auto connection = std::make_shared<OutConnection>(loop);
  ErrorCode error;
  connection->stream.socket().connect(acceptor.local_endpoint(), error);
  REQUIRE_FALSE(error);
  Tcp::socket peer = acceptor.accept();
  asio::write(peer, asio::buffer(bytes), error);
  peer.close(error);
  uint32_t tunnels = 0;
  if (is_tunnel) {
    connection->tunnel = std::make_shared<TunnelUse>(tunnels);
    connection->tunnel_pieces.are_marked = is_marked;
  }
  Body body;
  Spawn(loop, Read(connection, body));
  loop.run();
  return body;
}

// Guards against taking the end of the process that relays an answer for the
// end of the answer.
TEST_CASE("the end of a tunnel is not the end of an answer without a length") {
  CHECK(ReadAnswer(kUnframed, false, false) == "first part");
  // A peer of an older build does not say how the endpoint's connection ended.
  CHECK(ReadAnswer(kUnframed, true, false) ==
        tl::unexpected(ExchangeError::kClosed));
  CHECK(ReadAnswer(Piece(kUnframed), true, true) ==
        tl::unexpected(ExchangeError::kClosed));
  CHECK(ReadAnswer(Piece(kUnframed) + Piece(""), true, true) == "first part");
  CHECK(ReadAnswer(Piece(kUnframed) + Piece(" and more") + Piece(""), true,
                   true) == "first part and more");
}

TEST_CASE("an answer with a length is whole without a mark of its end") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  CHECK(ReadAnswer(answer, true, false) == "body");
  CHECK(ReadAnswer(Piece(answer.substr(0, 20)) + Piece(answer.substr(20)), true,
                   true) == "body");
  CHECK(ReadAnswer(Piece(answer.substr(0, 20)) + Piece(""), true, true) ==
        tl::unexpected(ExchangeError::kClosed));
}

}  // namespace
}  // namespace celerykeel
