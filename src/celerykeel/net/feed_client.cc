#include "celerykeel/net/feed_client.h"

#include <atomic>    // for std::atomic
#include <map>       // for std::map
#include <mutex>     // for std::mutex
#include <optional>  // for std::optional
#include <thread>    // for std::this_thread::sleep_for
#include <utility>   // for std::move
#include <variant>   // for std::variant

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/core/fold.h"         // for Fold
#include "celerykeel/feed.pb.h"           // for pb::FeedRequest
#include "celerykeel/wire/fleet_codec.h"  // for DecodeFleetRecord

namespace celerykeel {

namespace {

constexpr Duration kHelloInterval = std::chrono::seconds(1);
constexpr Duration kDrainedWait = std::chrono::milliseconds(500);
constexpr Duration kTick = std::chrono::milliseconds(50);

using AnswerHandler =
    std::variant<FeedClient::AppendHandler, FeedClient::JournalHandler>;

struct PendingAnswer {
  AnswerHandler done;
  Duration expires_at{};
};

AppendResult ToResult(const pb::FeedAppendReply& reply) {
  AppendResult result;
  result.first_offset = reply.first_offset();
  result.retry_after = std::chrono::milliseconds(reply.retry_after_ms());
  switch (reply.outcome()) {
    case pb::APPENDED:
      result.outcome = AppendOutcome::kAppended;
      break;
    case pb::NOT_APPENDED:
      result.outcome = AppendOutcome::kNotAppended;
      break;
    default:
      result.outcome = AppendOutcome::kUncertain;
  }
  return result;
}

JournalPage ToPage(pb::JournalReadReply& reply) {
  JournalPage page{reply.ok(), reply.next_from(), {}};
  page.entries.reserve(static_cast<size_t>(reply.records_size()));
  for (pb::FeedRecord& record : *reply.mutable_records()) {
    page.entries.push_back(
        {record.offset(), std::move(*record.mutable_payload())});
  }
  return page;
}

// No answer came: an append may have been taken, a journal was not read.
void AnswerNothing(AnswerHandler& done) {
  if (auto* append = std::get_if<FeedClient::AppendHandler>(&done)) {
    (*append)(AppendResult{});
  } else {
    std::get<FeedClient::JournalHandler>(done)(JournalPage{});
  }
}

}  // namespace

bool HoldsLease(const FleetView& view, Duration now) {
  return view.self != 0 && now < view.lease_until;
}

struct FeedClient::State {
  State(FeedClientOptions given, ViewHandler handler)
      : options(std::move(given)),
        steward(PeerAt(options.steward_address)),
        on_change(std::move(handler)) {
    this->view.state = std::make_shared<const FleetState>();
  }

  void OnMessage(Messenger& through, std::string_view bytes) {
    pb::FeedReply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      return;
    }
    if (reply.has_update()) {
      this->OnUpdate(through, reply.update());
    } else if (reply.has_append()) {
      this->OnAppendReply(reply.append());
    } else if (reply.has_journal_read()) {
      this->OnJournalReply(*reply.mutable_journal_read());
    } else if (reply.has_drained()) {
      this->drained_noted.store(true);
    }
  }

  void OnUpdate(Messenger& through, const pb::FeedUpdate& update) {
    FleetView next = this->Copy();
    const bool complete = FoldUpdate(next, update);
    next.self = update.incarnation();
    next.lease_until = Duration(update.lease_until_ns());
    next.fresh_at = complete ? Duration(update.fresh_at_ns()) : next.fresh_at;
    next.retention = std::chrono::milliseconds(update.retention_ms());
    next.successor_wait = std::chrono::milliseconds(update.successor_wait_ms());
    next.log_reachable = update.log_reachable();
    next.draining = update.draining();
    {
      const std::lock_guard lock(this->mutex);
      this->view = next;
    }
    if (!complete) {
      this->SendHello(through, Now());
    }
    if (this->on_change) {
      this->on_change(next);
    }
  }

  // False if records between the state and the update are missing.
  static bool FoldUpdate(FleetView& next, const pb::FeedUpdate& update) {
    const Offset offset = next.state->offset;
    const bool takes_snapshot =
        update.has_snapshot() && update.snapshot().offset() > offset;
    if (!takes_snapshot && update.records().empty()) {
      return update.offset() <= offset;
    }
    auto folded = std::make_shared<FleetState>(
        takes_snapshot ? FromProto(update.snapshot().state()) : *next.state);
    for (const pb::FeedRecord& record : update.records()) {
      if (record.offset() > folded->offset + 1) {
        break;
      }
      Fold(*folded, record.offset(), DecodeFleetRecord(record.payload()));
    }
    next.state = std::move(folded);
    return update.offset() <= next.state->offset;
  }

  void OnAppendReply(const pb::FeedAppendReply& reply) {
    if (auto done = this->Take(reply.id())) {
      if (auto* handler = std::get_if<AppendHandler>(&*done)) {
        (*handler)(ToResult(reply));
      }
    }
  }

  void OnJournalReply(pb::JournalReadReply& reply) {
    if (auto done = this->Take(reply.id())) {
      if (auto* handler = std::get_if<JournalHandler>(&*done)) {
        (*handler)(ToPage(reply));
      }
    }
  }

  void OnTick(Messenger& through) {
    const Duration now = Now();
    if (now - this->hello_at >= kHelloInterval) {
      this->SendHello(through, now);
    }
    if (this->drained.load() && !this->drained_noted.load()) {
      this->SendDrained(through);
    }
    this->Expire(now);
  }

  void SendDrained(Messenger& through) {
    pb::FeedRequest request;
    request.mutable_drained()->set_process(this->options.process);
    through.Send(this->steward, request.SerializeAsString());
  }

  void Expire(Duration now) {
    std::vector<AnswerHandler> expired;
    {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->pending, [&](auto& entry) {
        if (entry.second.expires_at > now) {
          return false;
        }
        expired.push_back(std::move(entry.second.done));
        return true;
      });
    }
    for (AnswerHandler& done : expired) {
      AnswerNothing(done);
    }
  }

  void SendHello(Messenger& through, Duration now) {
    this->hello_at = now;
    pb::FeedRequest request;
    request.mutable_hello()->set_process(this->options.process);
    request.mutable_hello()->set_offset(this->Copy().state->offset);
    through.Send(this->steward, request.SerializeAsString());
  }

  std::optional<AnswerHandler> Take(uint64_t id) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return std::nullopt;
    }
    AnswerHandler done = std::move(found->second.done);
    this->pending.erase(found);
    return done;
  }

  uint64_t Put(AnswerHandler done) {
    const std::lock_guard lock(this->mutex);
    const uint64_t id = ++this->last_id;
    this->pending[id] = {std::move(done), Now() + this->options.append_timeout};
    return id;
  }

  // Sends a request whose answer carries `id`; nothing stays if it can't.
  bool SendPending(uint64_t id, const pb::FeedRequest& request) {
    if (this->messenger->Send(this->steward, request.SerializeAsString())) {
      return true;
    }
    // An expiry that came first has run the handler already.
    return !this->Take(id).has_value();
  }

  bool Append(pb::Stream stream,
              std::vector<std::string> payloads,
              AppendHandler done) {
    const uint64_t id = this->Put(std::move(done));
    pb::FeedRequest request;
    pb::FeedAppend& append = *request.mutable_append();
    append.set_id(id);
    append.set_stream(stream);
    for (std::string& payload : payloads) {
      append.add_payloads(std::move(payload));
    }
    return this->SendPending(id, request);
  }

  FleetView Copy() const {
    const std::lock_guard lock(this->mutex);
    return this->view;
  }

  FeedClientOptions options;
  Peer steward;
  ViewHandler on_change;
  mutable std::mutex mutex;  // guards `view`, `pending` and `last_id`
  FleetView view;
  std::map<uint64_t, PendingAnswer> pending;
  uint64_t last_id = 0;
  Duration hello_at{};
  std::atomic<bool> drained{false};        // reported
  std::atomic<bool> drained_noted{false};  // by the steward
  std::unique_ptr<Messenger> messenger;
};

tl::expected<std::unique_ptr<FeedClient>, MessengerError> FeedClient::Create(
    FeedClientOptions options,
    ViewHandler on_change) {
  auto state =
      std::make_unique<State>(std::move(options), std::move(on_change));
  State* const running = state.get();
  MessengerOptions messenger_options;
  messenger_options.tick = kTick;
  auto messenger = Messenger::Create(
      messenger_options,
      {.on_message =
           [running](Messenger& through, const Peer&, std::string_view bytes) {
             running->OnMessage(through, bytes);
           },
       .on_tick = [running](Messenger& through) { running->OnTick(through); },
       .on_disconnect = {}});
  if (!messenger) {
    return tl::unexpected(messenger.error());
  }
  state->messenger = std::move(*messenger);
  return std::unique_ptr<FeedClient>(new FeedClient(std::move(state)));
}

FeedClient::FeedClient(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

FeedClient::~FeedClient() {
  const Duration deadline = Now() + kDrainedWait;
  while (this->state->drained.load() && !this->state->drained_noted.load() &&
         Now() < deadline) {
    std::this_thread::sleep_for(kTick / 10);
  }
  // Its thread uses the rest of the state.
  this->state->messenger.reset();
}

FleetView FeedClient::View() const {
  return this->state->Copy();
}

bool FeedClient::AppendJournal(std::vector<std::string> payloads,
                               AppendHandler done) {
  return this->state->Append(pb::JOURNAL, std::move(payloads), std::move(done));
}

bool FeedClient::AppendFleet(std::vector<std::string> payloads,
                             AppendHandler done) {
  return this->state->Append(pb::FLEET, std::move(payloads), std::move(done));
}

bool FeedClient::ReadJournal(Incarnation incarnation,
                             Offset from,
                             uint32_t max,
                             JournalHandler done) {
  const uint64_t id = this->state->Put(std::move(done));
  pb::FeedRequest request;
  pb::JournalRead& read = *request.mutable_journal_read();
  read.set_id(id);
  read.set_incarnation(incarnation);
  read.set_from(from);
  read.set_max(max);
  return this->state->SendPending(id, request);
}

void FeedClient::ReportDrained() {
  if (!this->state->drained.exchange(true)) {
    this->state->SendDrained(*this->state->messenger);
  }
}

}  // namespace celerykeel
