#include "celerykeel/net/messenger.h"

#include <doctest/doctest.h>

#include <zmq.hpp>  // for zmq::socket_t, a foreign peer

#include "celerykeel/net/bounded_ring.h"  // for BoundedRing

namespace celerykeel {
namespace {

constexpr Duration kPatience = std::chrono::seconds(10);
constexpr char kAddress[] = "127.0.0.1:29871";

std::unique_ptr<Messenger> EchoServer() {
  MessengerOptions options;
  options.listen = kAddress;
  auto server = Messenger::Create(
      options,
      {.on_message =
           [](Messenger& self, const Peer& peer, std::string_view payload) {
             self.Send(peer, "echo " + std::string(payload));
           },
       .on_tick = {},
       .on_disconnect = {}});
  REQUIRE(server.has_value());
  return std::move(*server);
}

TEST_CASE("a message is answered over the connection that it came by") {
  const auto server = EchoServer();
  BoundedRing<std::string> answers(8);
  auto client = Messenger::Create(
      {}, {.on_message =
               [&answers](Messenger&, const Peer&, std::string_view payload) {
                 answers.Push(std::string(payload));
               },
           .on_tick = {},
           .on_disconnect = {}});
  REQUIRE(client.has_value());
  REQUIRE((*client)->Send(PeerAt(kAddress), "hello"));
  CHECK(answers.Pop(kPatience) == "echo hello");
}

TEST_CASE("a foreign message of many frames is dropped, the next is served") {
  const auto server = EchoServer();
  zmq::context_t context;
  zmq::socket_t foreign(context, ZMQ_DEALER);
  foreign.set(zmq::sockopt::linger, 0);
  foreign.set(zmq::sockopt::rcvtimeo, 10'000);
  foreign.connect(std::string("tcp://") + kAddress);
  foreign.send(zmq::str_buffer("a"), zmq::send_flags::sndmore);
  foreign.send(zmq::str_buffer("b"), zmq::send_flags::none);
  foreign.send(zmq::str_buffer("c"), zmq::send_flags::none);
  zmq::message_t answer;
  REQUIRE(foreign.recv(answer, zmq::recv_flags::none).has_value());
  CHECK(answer.to_string() == "echo c");
}

TEST_CASE("an address in use is a typed error") {
  const auto server = EchoServer();
  MessengerOptions options;
  options.listen = kAddress;
  const auto second = Messenger::Create(
      options, {.on_message = [](Messenger&, const Peer&, std::string_view) {},
                .on_tick = {},
                .on_disconnect = {}});
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().code == EADDRINUSE);
}

TEST_CASE("a full ring refuses, a closed ring lets the reader finish") {
  BoundedRing<int> ring(2);
  CHECK(ring.Push(1));
  CHECK(ring.Push(2));
  CHECK_FALSE(ring.Push(3));
  ring.Close();
  CHECK_FALSE(ring.Push(4));
  CHECK(ring.Pop(kPatience) == 1);
  CHECK(ring.Pop(kPatience) == 2);
  CHECK_FALSE(ring.Pop(kPatience).has_value());
}

}  // namespace
}  // namespace celerykeel
