#pragma once

#include <atomic>  // for std::atomic
#include <map>     // for std::map
#include <mutex>   // for std::mutex
#include <string>  // for std::string
#include <vector>  // for std::vector

#include <doctest/doctest.h>  // for REQUIRE

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/feed.pb.h"           // for pb::FeedRequest
#include "celerykeel/net/messenger.h"     // for Messenger
#include "celerykeel/wire/fleet_codec.h"  // for ToProto

namespace celerykeel {

/// @brief Journals that outlive their instances, as the platform keeps them.
struct FakeJournals {
  std::mutex mutex;
  std::map<Incarnation, std::vector<std::string>> records;
};

/// @brief A steward's feed inside a test: a state that the test sets, a lease
/// that it gives, and journals.
class FakeSteward {
 public:
  FakeSteward(std::string address, Incarnation own, FakeJournals& shared)
      : self(own), journals(shared) {
    MessengerOptions options;
    options.listen = std::move(address);
    auto created = Messenger::Create(
        options, {.on_message =
                      [this](Messenger& through, const Peer& peer,
                             std::string_view bytes) {
                        this->Take(through, peer, bytes);
                      },
                  .on_tick = {},
                  .on_disconnect = {}});
    REQUIRE(created.has_value());
    this->messenger = std::move(*created);
  }

  /// @brief Shows a state; it must have a higher offset than the one before.
  void Show(FleetState next) {
    const std::lock_guard lock(this->mutex);
    this->state = std::move(next);
    for (const Peer& reader : this->readers) {
      this->messenger->Send(reader, this->UpdateLocked());
    }
  }

  void Push() {
    const std::lock_guard lock(this->mutex);
    for (const Peer& reader : this->readers) {
      this->messenger->Send(reader, this->UpdateLocked());
    }
  }

  std::atomic<bool> holds_lease{true};
  std::atomic<bool> log_reachable{true};
  std::atomic<bool> drained{false};

 private:
  void Take(Messenger& through, const Peer& peer, std::string_view bytes) {
    pb::FeedRequest request;
    REQUIRE(
        request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
    if (request.has_hello()) {
      const std::lock_guard lock(this->mutex);
      this->readers = {peer};
      through.Send(peer, this->UpdateLocked());
    } else if (request.has_append()) {
      through.Send(peer, this->Append(request.append()));
    } else if (request.has_journal_read()) {
      through.Send(peer, this->Read(request.journal_read()));
    } else if (request.has_drained()) {
      this->drained = true;
    }
  }

  std::string UpdateLocked() const {
    pb::FeedReply reply;
    pb::FeedUpdate& update = *reply.mutable_update();
    update.mutable_snapshot()->set_offset(this->state.offset);
    *update.mutable_snapshot()->mutable_state() = ToProto(this->state);
    update.set_offset(this->state.offset);
    update.set_incarnation(this->self);
    const Duration lease = std::chrono::hours(this->holds_lease ? 1 : -1);
    update.set_lease_until_ns((Now() + lease).count());
    update.set_fresh_at_ns(Now().count());
    update.set_log_reachable(this->log_reachable);
    return reply.SerializeAsString();
  }

  std::string Append(const pb::FeedAppend& append) {
    pb::FeedReply reply;
    reply.mutable_append()->set_id(append.id());
    if (!this->log_reachable) {
      reply.mutable_append()->set_outcome(pb::NOT_APPENDED);
      return reply.SerializeAsString();
    }
    const std::lock_guard lock(this->journals.mutex);
    for (const std::string& payload : append.payloads()) {
      this->journals.records[this->self].push_back(payload);
    }
    reply.mutable_append()->set_outcome(pb::APPENDED);
    return reply.SerializeAsString();
  }

  std::string Read(const pb::JournalRead& read) {
    pb::FeedReply reply;
    pb::JournalReadReply& page = *reply.mutable_journal_read();
    page.set_id(read.id());
    page.set_ok(this->log_reachable);
    const std::lock_guard lock(this->journals.mutex);
    Offset offset = 0;
    for (const auto& payload : this->journals.records[read.incarnation()]) {
      page.add_records()->set_offset(++offset);
      page.mutable_records()->rbegin()->set_payload(payload);
    }
    return reply.SerializeAsString();
  }

  const Incarnation self;
  FakeJournals& journals;
  std::mutex mutex;
  FleetState state;
  std::vector<Peer> readers;
  std::unique_ptr<Messenger> messenger;
};

}  // namespace celerykeel
