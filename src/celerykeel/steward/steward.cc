#include "celerykeel/steward/steward.h"

#include <atomic>   // for std::atomic
#include <random>   // for std::random_device
#include <thread>   // for std::thread
#include <utility>  // for std::move

#include "celerykeel/base/clock.h"               // for Now
#include "celerykeel/net/bounded_ring.h"         // for BoundedRing
#include "celerykeel/net/log.h"                  // for Log
#include "celerykeel/steward/control.h"          // for Control, OnTick
#include "celerykeel/steward/journal_reader.h"   // for JournalReader
#include "celerykeel/steward/log_appender.h"     // for LogAppender
#include "celerykeel/steward/log_reader.h"       // for LogReader
#include "celerykeel/steward/membership.h"       // for IsReady
#include "celerykeel/steward/steward_metrics.h"  // for StewardMetrics

namespace celerykeel {

namespace {

constexpr size_t kMaxEvents = 4096;
constexpr double kFleetShare = 0.1;  // of an instance's appends
constexpr Duration kTick = std::chrono::milliseconds(50);

struct LogFailureEvent {};

struct OwnRecordEvent {
  OwnRecord kind = OwnRecord::kJoin;
  AppendResult result;
};

struct FeedEvent {
  Peer peer;
  pb::FeedRequest request;
};

struct PeerEvent {
  Peer peer;
  std::string bytes;
};

using Event = std::variant<std::monostate,
                           FleetPage,
                           LogFailureEvent,
                           OwnRecordEvent,
                           FeedEvent,
                           PeerEvent>;

uint64_t Seed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

pb::AppendOutcome ToProto(AppendOutcome outcome) {
  switch (outcome) {
    case AppendOutcome::kAppended:
      return pb::APPENDED;
    case AppendOutcome::kNotAppended:
      return pb::NOT_APPENDED;
    case AppendOutcome::kUncertain:
      break;
  }
  return pb::APPEND_UNCERTAIN;
}

pb::FeedReply AppendReply(uint64_t id, const AppendResult& result) {
  pb::FeedReply reply;
  pb::FeedAppendReply& append = *reply.mutable_append();
  append.set_id(id);
  append.set_outcome(ToProto(result.outcome));
  append.set_first_offset(result.first_offset);
  append.set_retry_after_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(result.retry_after)
          .count()));
  return reply;
}

pb::FeedReply JournalReply(uint64_t id,
                           const tl::expected<LogPage, LogError>& page) {
  pb::FeedReply reply;
  pb::JournalReadReply& read = *reply.mutable_journal_read();
  read.set_id(id);
  read.set_ok(page.has_value());
  if (!page) {
    return reply;
  }
  for (const LogEntry& entry : page->entries) {
    pb::FeedRecord& record = *read.add_records();
    record.set_offset(entry.offset);
    record.set_payload(entry.payload);
  }
  if (!page->entries.empty() && page->entries.back().offset + 1 < page->next) {
    read.set_next_from(page->entries.back().offset + 1);
  }
  return reply;
}

}  // namespace

struct Steward::State {
  explicit State(StewardOptions options)
      : events(kMaxEvents), control(MakeControl(std::move(options), Seed())) {}

  void Run() {
    while (!this->events.Closed()) {
      auto event = this->events.Pop(kTick);
      const Duration now = Now();
      Outbox out;
      if (event) {
        std::visit([&](auto& kind) { this->Handle(kind, now, out); }, *event);
      }
      if (now - this->ticked_at >= kTick) {
        this->ticked_at = now;
        if (this->drain_asked.load()) {
          OnDrain(this->control, now, out);
        }
        this->metrics->Update(this->control, now);
        this->metrics->Update(this->fleet_appender->Totals(),
                              this->journal_appender->Totals());
        OnTick(this->control, now, out);
      }
      this->Publish();
      this->Flush(out);
    }
  }

  void Handle(std::monostate&, Duration, Outbox&) {}
  void Handle(FleetPage& page, Duration now, Outbox& out) {
    OnFleetPage(this->control, std::move(page), now, out);
  }
  void Handle(LogFailureEvent&, Duration, Outbox& out) {
    OnLogFailure(this->control, out);
  }
  void Handle(OwnRecordEvent& event, Duration now, Outbox&) {
    OnOwnRecord(this->control, event.kind, event.result, now);
  }
  void Handle(FeedEvent& event, Duration now, Outbox& out) {
    OnFeedRequest(this->control, event.peer, event.request, now, out);
  }
  void Handle(PeerEvent& event, Duration now, Outbox& out) {
    OnPeerBytes(this->control, event.peer, event.bytes, now, out);
  }

  // Copies for other threads what they need of the control state.
  void Publish() {
    this->self.store(this->control.self);
    this->left.store(this->control.left);
    this->PublishOffset();
    this->ready.store(IsReady(this->control, Now()));
  }

  // Records that peers passed on need not be read again, and the budget of
  // appends is shared by all members.
  void PublishOffset() {
    if (const Offset offset = this->control.state.offset;
        offset != this->published) {
      this->published = offset;
      this->log_reader->SkipTo(offset);
      const auto members =
          std::max<size_t>(this->control.state.members.size(), 1);
      const double rate =
          static_cast<double>(this->control.options.append_budget) /
          static_cast<double>(members);
      this->fleet_appender->SetRate(rate * kFleetShare);
      this->journal_appender->SetRate(rate * (1 - kFleetShare));
    }
  }

  void Flush(Outbox& out) {
    for (auto& [peer, reply] : out.feed) {
      this->feed->Send(peer, reply.SerializeAsString());
    }
    for (auto& [peer, message] : out.peers) {
      this->peers->Send(peer, message.SerializeAsString());
    }
    for (auto& [kind, payload] : out.log) {
      this->fleet_appender->Append(
          {std::string(kFleetStream),
           {std::move(payload)},
           [this, kind = kind](const AppendResult& result) {
             this->events.Push(OwnRecordEvent{kind, result});
           },
           {}});
    }
  }

  void OnFeedMessage(Messenger& through,
                     const Peer& peer,
                     std::string_view bytes) {
    pb::FeedRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      return;
    }
    if (request.has_append()) {
      this->OnAppend(through, peer, *request.mutable_append());
    } else if (request.has_journal_read()) {
      this->OnJournalRead(through, peer, request.journal_read());
    } else {
      this->events.Push(FeedEvent{peer, std::move(request)});
    }
  }

  void OnAppend(Messenger& through, const Peer& peer, pb::FeedAppend& append) {
    auto done = [&through, peer, id = append.id()](const AppendResult& result) {
      through.Send(peer, AppendReply(id, result).SerializeAsString());
    };
    std::vector<std::string> payloads(
        std::make_move_iterator(append.mutable_payloads()->begin()),
        std::make_move_iterator(append.mutable_payloads()->end()));
    if (append.stream() == pb::FLEET) {
      this->fleet_appender->Append({std::string(kFleetStream),
                                    std::move(payloads),
                                    std::move(done),
                                    {}});
    } else if (const Incarnation owner = this->self.load(); owner != 0) {
      this->journal_appender->Append(
          {JournalStream(owner), std::move(payloads), std::move(done), {}});
    } else {
      done({AppendOutcome::kNotAppended, 0, kTick});
    }
  }

  void OnJournalRead(Messenger& through,
                     const Peer& peer,
                     const pb::JournalRead& read) {
    auto done = [&through, peer,
                 id = read.id()](const tl::expected<LogPage, LogError>& page) {
      through.Send(peer, JournalReply(id, page).SerializeAsString());
    };
    if (!this->journal_reader->Read(
            {read.incarnation(), read.from(), read.max(), done})) {
      done(tl::unexpected(LogError{LogErrorKind::kRefused, 0, kTick}));
    }
  }

  LogClientOptions LogOptions() const {
    LogClientOptions options;
    options.address = this->control.options.log;
    options.client = this->control.options.instance;
    return options;
  }

  tl::expected<void, StewardError> Start();

  BoundedRing<Event> events;
  Control control;  // of the control thread
  Duration ticked_at{};
  Offset published = 0;
  std::atomic<Incarnation> self{0};
  std::atomic<bool> ready{false};
  std::atomic<bool> left{false};
  std::atomic<bool> drain_asked{false};
  std::shared_ptr<prometheus::Registry> registry =
      std::make_shared<prometheus::Registry>();
  std::unique_ptr<StewardMetrics> metrics = StewardMetrics::Create(*registry);
  std::unique_ptr<Messenger> feed;
  std::unique_ptr<Messenger> peers;
  std::unique_ptr<LogAppender> fleet_appender;
  std::unique_ptr<LogAppender> journal_appender;
  std::unique_ptr<JournalReader> journal_reader;
  std::unique_ptr<LogReader> log_reader;
  std::unique_ptr<OperatorServer> operators;
  std::thread thread;
};

tl::expected<void, StewardError> Steward::State::Start() {
  const StewardOptions& options = this->control.options;
  LogAppenderOptions appender;
  appender.log = this->LogOptions();
  appender.wait = options.append_wait;
  appender.on_append = [this](Duration took) {
    this->metrics->ObserveAppend(took);
  };
  this->fleet_appender = LogAppender::Create(appender);
  this->journal_appender = LogAppender::Create(appender);
  this->journal_reader = JournalReader::Create(this->LogOptions());
  MessengerOptions feed_options;
  feed_options.listen = options.feed;
  auto made_feed = Messenger::Create(
      feed_options, {.on_message =
                         [this](Messenger& through, const Peer& peer,
                                std::string_view bytes) {
                           this->OnFeedMessage(through, peer, bytes);
                         },
                     .on_tick = {},
                     .on_disconnect = {}});
  if (!made_feed) {
    return tl::unexpected(StewardError(made_feed.error()));
  }
  this->feed = std::move(*made_feed);
  MessengerOptions peers_options;
  peers_options.listen = options.peers;
  auto made_peers = Messenger::Create(
      peers_options,
      {.on_message =
           [this](Messenger&, const Peer& peer, std::string_view bytes) {
             this->events.Push(PeerEvent{peer, std::string(bytes)});
           },
       .on_tick = {},
       .on_disconnect = {}});
  if (!made_peers) {
    return tl::unexpected(StewardError(made_peers.error()));
  }
  this->peers = std::move(*made_peers);
  auto made_operators =
      OperatorServer::Create({options.operators, this->registry,
                              [this] { return this->ready.load(); }});
  if (!made_operators) {
    return tl::unexpected(StewardError(made_operators.error()));
  }
  this->operators = std::move(*made_operators);
  LogReaderOptions reader;
  reader.log = this->LogOptions();
  this->log_reader = LogReader::Create(
      reader,
      {.on_page =
           [this](FleetPage page) {
             return this->events.Push(std::move(page));
           },
       .on_failure =
           [this](const LogError&) { this->events.Push(LogFailureEvent{}); }});
  this->thread = std::thread([this] { this->Run(); });
  return {};
}

tl::expected<std::unique_ptr<Steward>, StewardError> Steward::Create(
    StewardOptions options) {
  std::unique_ptr<Steward> steward(
      new Steward(std::make_unique<State>(std::move(options))));
  if (auto started = steward->state->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return steward;
}

Steward::Steward(std::unique_ptr<State> initial) : state(std::move(initial)) {}

// The control thread uses all others, so it ends before them.
Steward::~Steward() {
  this->state->operators.reset();
  this->state->events.Close();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
  this->state->log_reader.reset();
  this->state->journal_reader.reset();
  this->state->fleet_appender.reset();
  this->state->journal_appender.reset();
  this->state->feed.reset();
  this->state->peers.reset();
}

void Steward::Drain() {
  this->state->drain_asked.store(true);
}

bool Steward::HasLeft() const {
  return this->state->left.load();
}

}  // namespace celerykeel
