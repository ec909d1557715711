#include "celerykeel/gate/owner_link.h"

#include <mutex>          // for std::mutex
#include <random>         // for std::random_device
#include <unordered_map>  // for std::unordered_map
#include <utility>        // for std::move

namespace celerykeel {

namespace {

struct Entry {
  std::shared_ptr<PendingCall> call;
  std::string address;  // where the call was last sent
};

// A gate that starts anew must not take the replies to its earlier run.
uint64_t FirstId() {
  std::random_device device;
  return (uint64_t{device()} << 32U) | device();
}

void Deliver(PendingCall& call, OwnerEvent event) {
  const bool may_drop = event.kind == OwnerEvent::Kind::kWake;
  if (!call.events.Push(std::move(event)) && !may_drop) {
    call.events.Close();
  }
}

}  // namespace

struct OwnerLink::State {
  void OnMessage(const Peer& peer, std::string_view payload) {
    auto reply = std::make_unique<pb::CallReply>();
    if (!reply->ParseFromArray(payload.data(),
                               static_cast<int>(payload.size()))) {
      return;
    }
    const std::lock_guard lock(this->mutex);
    if (const auto found = this->calls.find(reply->id());
        found != this->calls.end()) {
      Deliver(*found->second.call, {.kind = OwnerEvent::Kind::kReply,
                                    .address = peer.address,
                                    .reply = std::move(reply)});
    }
  }

  void OnDisconnect(const Peer& peer) {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, entry] : this->calls) {
      if (entry.address == peer.address) {
        Deliver(*entry.call, {.kind = OwnerEvent::Kind::kDisconnected,
                              .address = peer.address,
                              .reply = nullptr});
      }
    }
  }

  std::mutex mutex;
  std::unordered_map<uint64_t, Entry> calls;
  uint64_t next_id = FirstId();
  std::unique_ptr<Messenger> messenger;  // last: its thread uses the rest
};

tl::expected<std::unique_ptr<OwnerLink>, MessengerError> OwnerLink::Create() {
  auto state = std::make_unique<State>();
  State* const shared = state.get();
  auto messenger = Messenger::Create(
      {},
      {.on_message =
           [shared](Messenger&, const Peer& peer, std::string_view payload) {
             shared->OnMessage(peer, payload);
           },
       .on_tick = {},
       .on_disconnect = [shared](
                            Messenger&,
                            const Peer& peer) { shared->OnDisconnect(peer); }});
  if (!messenger) {
    return tl::unexpected(messenger.error());
  }
  state->messenger = std::move(*messenger);
  return std::unique_ptr<OwnerLink>(new OwnerLink(std::move(state)));
}

OwnerLink::OwnerLink(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

OwnerLink::~OwnerLink() = default;

std::shared_ptr<PendingCall> OwnerLink::Open() {
  const std::lock_guard lock(this->state->mutex);
  auto call = std::make_shared<PendingCall>(this->state->next_id++);
  this->state->calls.emplace(call->id, Entry{call, {}});
  return call;
}

void OwnerLink::Close(const PendingCall& call) {
  const std::lock_guard lock(this->state->mutex);
  this->state->calls.erase(call.id);
}

bool OwnerLink::Send(const PendingCall& call,
                     std::string_view address,
                     const pb::CallMessage& message) {
  {
    const std::lock_guard lock(this->state->mutex);
    if (const auto found = this->state->calls.find(call.id);
        found != this->state->calls.end()) {
      found->second.address = address;
    }
  }
  return this->state->messenger->Send(PeerAt(address),
                                      message.SerializeAsString());
}

void OwnerLink::WakeAll() {
  const std::lock_guard lock(this->state->mutex);
  for (const auto& [id, entry] : this->state->calls) {
    Deliver(*entry.call, {});
  }
}

}  // namespace celerykeel
