#include "celerykeel/scheduler/call_stream.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

void SendChunk(Messenger& messenger,
               const Requester& to,
               std::string_view events) {
  pb::CallReply reply;
  reply.mutable_chunk()->set_data(std::string(events));
  SendReply(messenger, to, std::move(reply));
}

}  // namespace

void SendReply(Messenger& messenger, const Requester& to, pb::CallReply reply) {
  reply.set_id(to.id);
  messenger.Send(to.peer, reply.SerializeAsString());
}

void CallStream::Relay(std::string_view new_events) {
  const std::lock_guard lock(this->mutex);
  this->events += new_events;
  for (const Requester& follower : this->followers) {
    SendChunk(this->messenger, follower, new_events);
  }
}

void CallStream::Follow(const Requester& requester) {
  const std::lock_guard lock(this->mutex);
  this->followers.push_back(requester);
  if (!this->events.empty()) {
    SendChunk(this->messenger, requester, this->events);
  }
}

void CallStream::Unfollow(const Requester& requester) {
  const std::lock_guard lock(this->mutex);
  std::erase(this->followers, requester);
}

bool CallStream::HasStarted() const {
  const std::lock_guard lock(this->mutex);
  return !this->events.empty();
}

}  // namespace celerykeel
