#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include "celerykeel/node/holder_unittest.h"  // for MakeHolder
#include "celerykeel/node/slot_host.h"        // for AdmitAsHolder
#include "celerykeel/testing/http_standin.h"  // for Task

namespace celerykeel::testing {
namespace {

using std::chrono::milliseconds;

// A holder whose peer holds one of the slots. The test reads what is sent to
// the peer, and answers for it.
struct HolderWithPeer {
  HolderWithPeer() : node(MakeHolder()) {
    this->node->slots.held.erase(kPeerSlot);
    this->node->fleet.slots[kPeerSlot].instance = "peer0";
    const auto link = std::make_shared<PeerLink>();
    link->instance = "peer0";
    const auto port = this->acceptor.local_endpoint().port();
    link->address = "127.0.0.1:" + std::to_string(port);
    this->node->peers.links["peer0"] = link;
    Spawn(this->node->io,
          RunLink(this->node->io, link, std::chrono::seconds(2), [] {}));
    this->Run(milliseconds(50));
    this->peer = std::make_shared<PeerSocket>(this->acceptor.accept());
    Spawn(this->node->io, ReadFrames(this->peer, [this](const auto& frame) {
            if (frame.has_lookup()) {
              this->lookups.push_back(frame.call());
            }
          }));
  }

  void Run(milliseconds time) {
    this->node->io.run_for(time);
    this->node->io.restart();
  }

  void AnswerLookups() {
    for (const uint64_t call : this->lookups) {
      pb::NodeFrame frame;
      frame.set_call(call);
      frame.mutable_found()->set_found(true);
      frame.mutable_found()->set_history("earlier");
      SendFrame(this->peer, frame);
    }
    this->Run(milliseconds(500));
  }

  static constexpr uint32_t kPeerSlot = 3;
  static constexpr uint32_t kOwnSlot = 0;
  HolderPtr node;
  Tcp::acceptor acceptor{this->node->io,
                         {asio::ip::make_address("127.0.0.1"), 0}};
  PeerSocketPtr peer;
  std::vector<uint64_t> lookups;
};

// A turn that goes on from a turn of another program, which the peer has.
Task<> Ask(Node& node, std::optional<pb::TurnGrant>& grant) {
  pb::TurnAdmission admission;
  admission.set_slot(HolderWithPeer::kOwnSlot);
  admission.set_team("orchard");
  admission.set_program("p");
  admission.set_turn("b");
  admission.set_previous("a");
  admission.set_most_tokens(100);
  admission.set_budget(150);
  admission.set_kept(true);
  TurnRelay relay;
  std::function<void(bool)> covered = [](bool) {};
  grant = co_await AdmitAsHolder(node, admission, relay, covered);
}

Task<> End(Node& node) {
  pb::TurnEnd end;
  end.set_slot(HolderWithPeer::kOwnSlot);
  end.set_team("orchard");
  end.set_program("p");
  end.set_turn("b");
  end.set_most_tokens(100);
  [[maybe_unused]] const auto done = co_await EndAsHolder(node, end);
}

size_t CountRunning(const Node& node) {
  const auto& programs =
      node.slots.held.at(HolderWithPeer::kOwnSlot)->ledger.programs;
  const auto found = programs.find({"orchard", "p"});
  return found == programs.end() ? 0 : found->second.running.size();
}

// Guards against lookups in all slots that are begun once more for each request
// while the first ones are still under way, and delay each other.
TEST_CASE("a repeated request for an admission joins the first one") {
  HolderWithPeer holder;
  std::optional<pb::TurnGrant> first;
  std::optional<pb::TurnGrant> second;
  Spawn(holder.node->io, Ask(*holder.node, first));
  holder.Run(milliseconds(30));
  Spawn(holder.node->io, Ask(*holder.node, second));
  holder.Run(milliseconds(30));
  CHECK(holder.lookups.size() == 1);
  holder.AnswerLookups();
  REQUIRE(first);
  REQUIRE(second);
  CHECK(first->verdict() == pb::TurnGrant::NOT_HOLDER);
  CHECK(second->verdict() == pb::TurnGrant::GRANTED);
  CHECK(second->history() == "earlier");
  CHECK(CountRunning(*holder.node) == 1);
}

// Guards against a turn that nobody ends, and that holds its program's budget.
TEST_CASE("a turn that was given up is not admitted afterwards") {
  HolderWithPeer holder;
  std::optional<pb::TurnGrant> first;
  std::optional<pb::TurnGrant> again;
  SUBCASE("while its admission is under way") {
    Spawn(holder.node->io, Ask(*holder.node, first));
    holder.Run(milliseconds(30));
    Spawn(holder.node->io, End(*holder.node));
    holder.Run(milliseconds(10));
    holder.AnswerLookups();
    CHECK(first->verdict() == pb::TurnGrant::NOT_HOLDER);
  }
  SUBCASE("while a repeated request is under way") {
    Spawn(holder.node->io, Ask(*holder.node, first));
    holder.Run(milliseconds(30));
    holder.AnswerLookups();
    CHECK(first->verdict() == pb::TurnGrant::GRANTED);
    holder.lookups.clear();
    Spawn(holder.node->io, Ask(*holder.node, again));
    holder.Run(milliseconds(30));
    Spawn(holder.node->io, End(*holder.node));
    holder.Run(milliseconds(10));
    holder.AnswerLookups();
    CHECK(again->verdict() == pb::TurnGrant::NOT_HOLDER);
  }
  CHECK(CountRunning(*holder.node) == 0);
}

}  // namespace
}  // namespace celerykeel::testing
