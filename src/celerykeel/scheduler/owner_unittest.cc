#include "celerykeel/scheduler/owner.h"

#include <doctest/doctest.h>

#include <functional>  // for std::function
#include <thread>      // for std::this_thread

#include "celerykeel/call.pb.h"                 // for pb::CallRequest
#include "celerykeel/core/cache_audit.h"        // for CacheName
#include "celerykeel/core/rendezvous.h"         // for OwnerOf
#include "celerykeel/net/bounded_ring.h"        // for BoundedRing
#include "celerykeel/scheduler/fake_engine.h"   // for FakeEngine
#include "celerykeel/scheduler/fake_steward.h"  // for FakeSteward

namespace celerykeel {
namespace {

constexpr Duration kPatience = std::chrono::seconds(20);

bool Eventually(const std::function<bool()>& holds) {
  const Duration deadline = Now() + kPatience;
  while (!holds()) {
    if (Now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

std::string AddressAt(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// One instance: a scheduler with the feed that it reads. Takes three ports.
struct Instance {
  Instance(Incarnation own, int first_port, FakeJournals& journals)
      : incarnation(own),
        port(first_port),
        steward(AddressAt(first_port), own, journals) {
    SchedulerOptions options;
    options.feed = AddressAt(this->port);
    options.listen = AddressAt(this->port + 1);
    options.workers = 8;
    options.audit_every = std::chrono::milliseconds(20);
    options.adoption.successor_wait = std::chrono::milliseconds(350);
    auto created =
        Owner::Create(options, std::make_shared<prometheus::Registry>());
    REQUIRE(created.has_value());
    this->owner = std::move(*created);
  }

  std::string Address() const { return AddressAt(this->port + 1); }

  const Incarnation incarnation;
  const int port;
  FakeSteward steward;
  std::unique_ptr<Owner> owner;
};

// The fleet's state as its members see it, with two engines and a service.
struct Fleet {
  Fleet() {
    for (int i = 1; i <= 2; ++i) {
      Endpoint endpoint;
      endpoint.id = "engine-" + std::to_string(i);
      endpoint.kind = EndpointKind::kModelEngine;
      endpoint.host = "127.0.0.1";
      endpoint.port = this->engines[i - 1].Port();
      endpoint.model = "plum";
      this->state.in_force.endpoints[endpoint.id] = endpoint;
    }
    Endpoint service;
    service.id = "booking-1";
    service.kind = EndpointKind::kPlainService;
    service.host = "127.0.0.1";
    service.port = this->engines[0].Port();
    service.service = "booking";
    this->state.in_force.endpoints[service.id] = service;
    Route route;
    route.id = "book";
    route.service = "booking";
    this->state.in_force.routes[route.id] = route;
  }

  Instance& Join(Incarnation incarnation, int port) {
    Instance& joined = *this->instances.emplace_back(
        std::make_unique<Instance>(incarnation, port, this->journals));
    Member member;
    member.join.incarnation = incarnation;
    member.join.instance = "instance-" + std::to_string(incarnation);
    member.join.scheduler_address = joined.Address();
    this->state.members[incarnation] = member;
    this->ShowAll();
    return joined;
  }

  void Evict(Incarnation incarnation) {
    DepartedMember departed;
    departed.member = this->state.members[incarnation];
    departed.evicted = true;
    this->state.members.erase(incarnation);
    this->state.departed[incarnation] = departed;
    this->ShowAll();
  }

  void ShowAll() {
    ++this->state.offset;
    this->state.roster_version = this->state.offset;
    for (const auto& instance : this->instances) {
      instance->steward.Show(this->state);
    }
  }

  FakeEngine engines[2];
  FakeJournals journals;
  FleetState state;
  std::vector<std::unique_ptr<Instance>> instances;
};

// A gate of one caller.
struct Caller {
  Caller() : replies(256) {
    auto created = Messenger::Create(
        {}, {.on_message =
                 [this](Messenger&, const Peer&, std::string_view bytes) {
                   pb::CallReply reply;
                   REQUIRE(reply.ParseFromArray(
                       bytes.data(), static_cast<int>(bytes.size())));
                   this->replies.Push(std::move(reply));
                 },
             .on_tick = {},
             .on_disconnect = {}});
    REQUIRE(created.has_value());
    this->messenger = std::move(*created);
  }

  pb::CallRequest Chat(uint32_t call,
                       const std::string& text,
                       bool stream = false) {
    pb::CallRequest request = this->Request(call);
    request.set_body(nlohmann::json{
        {"model", "plum"},
        {"stream", stream},
        {"messages",
         nlohmann::json::array({{{"role", "user"}, {"content", text}}})}}
                         .dump());
    return request;
  }

  pb::CallRequest Booking(uint32_t call) {
    pb::CallRequest request = this->Request(call);
    request.set_kind(pb::SERVICE);
    request.set_route("book");
    request.set_service("booking");
    request.set_method("POST");
    request.set_path("/act");
    return request;
  }

  pb::CallRequest Request(uint32_t call) {
    pb::CallRequest request;
    request.set_id(++this->last_id);
    request.mutable_program()->set_team("coop");
    request.mutable_program()->set_id(this->program);
    request.set_call(call);
    return request;
  }

  void Send(const Instance& to, const pb::CallRequest& request) {
    pb::CallMessage message;
    *message.mutable_request() = request;
    this->messenger->Send(PeerAt(to.Address()), message.SerializeAsString());
  }

  // The last reply to a request; streamed parts are added to `streamed`.
  pb::CallReply Last(const pb::CallRequest& request) {
    for (;;) {
      auto reply = this->replies.Pop(kPatience);
      REQUIRE(reply.has_value());
      if (reply->id() != request.id()) {
        continue;
      }
      if (reply->has_chunk()) {
        this->streamed += reply->chunk().data();
      } else if (!reply->has_accepted()) {
        return std::move(*reply);
      }
    }
  }

  // Asks until the owner acts for the program, as a gate does.
  pb::CallReply Ask(const Instance& to, const pb::CallRequest& request) {
    const Duration deadline = Now() + kPatience;
    for (;;) {
      this->Send(to, request);
      pb::CallReply reply = this->Last(request);
      if (!reply.has_refused() || reply.refused().type() != pb::NOT_OWNER ||
          Now() > deadline) {
        return reply;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::string program = "trip";
  std::string streamed;
  uint64_t last_id = 0;
  BoundedRing<pb::CallReply> replies;
  std::unique_ptr<Messenger> messenger;
};

std::string TextOf(const pb::CallReply& reply) {
  const auto body = nlohmann::json::parse(reply.finished().body());
  return body["choices"][0]["message"]["content"];
}

// The texts of all events, and what else they hold, such as [DONE].
std::string TextOfEvents(const std::string& events) {
  std::string text;
  for (size_t at = events.find("data: "); at != std::string::npos;
       at = events.find("data: ", at + 1)) {
    const std::string data =
        events.substr(at + 6, events.find("\n\n", at) - at - 6);
    const auto json = nlohmann::json::parse(data, nullptr, false);
    text += json.is_discarded()
                ? data
                : json["choices"][0]["delta"].value("content", "");
  }
  return text;
}

TEST_CASE("calls of a program run with its history") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24110);
  Caller caller;
  CHECK(TextOf(caller.Ask(only, caller.Chat(1, "a"))) == "a");
  CHECK(TextOf(caller.Ask(only, caller.Chat(2, "b"))) == "aab");
  const std::lock_guard lock(fleet.journals.mutex);
  CHECK(fleet.journals.records[1].size() == 2);
}

TEST_CASE("a stream is relayed whole, and its repeat is the recorded answer") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24120);
  Caller caller;
  CHECK(caller.Ask(only, caller.Chat(1, "a", true)).has_finished());
  CHECK(TextOfEvents(caller.streamed) == "a[DONE]");
  caller.streamed.clear();
  CHECK(caller.Ask(only, caller.Chat(1, "a", true)).has_finished());
  CHECK(TextOfEvents(caller.streamed) == "a[DONE]");
  CHECK(fleet.engines[0].chats + fleet.engines[1].chats == 1);
}

TEST_CASE("a stream that breaks is resumed, duplicate events are dropped") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24130);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  fleet.engines[0].duplicate_events = true;
  fleet.engines[1].duplicate_events = true;
  fleet.engines[0].break_streams = 1;
  fleet.engines[1].break_streams = 1;
  CHECK(caller.Ask(only, caller.Chat(2, "b", true)).has_finished());
  CHECK(TextOfEvents(caller.streamed) == "aab[DONE]");
  CHECK(fleet.engines[0].resumes + fleet.engines[1].resumes == 1);
}

TEST_CASE("a stream that cannot be resumed is told as broken, then repeated") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24140);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  for (FakeEngine& engine : fleet.engines) {
    engine.break_streams = 1;
    engine.can_resume = false;
  }
  const pb::CallReply broken = caller.Ask(only, caller.Chat(2, "b", true));
  REQUIRE(broken.has_refused());
  CHECK(broken.refused().ran() == pb::YES);
  for (FakeEngine& engine : fleet.engines) {
    engine.break_streams = 0;
  }
  caller.streamed.clear();
  CHECK(caller.Ask(only, caller.Chat(2, "b", true)).has_finished());
  CHECK(TextOfEvents(caller.streamed) == "aab[DONE]");
}

TEST_CASE("a booking whose answer is lost runs once and is told as unknown") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24150);
  Caller caller;
  fleet.engines[0].drop_act_answers = true;
  for (int i = 0; i < 2; ++i) {
    const pb::CallReply reply = caller.Ask(only, caller.Booking(1));
    REQUIRE(reply.has_refused());
    CHECK(reply.refused().type() == pb::OUTCOME_UNKNOWN);
    CHECK(reply.refused().ran() == pb::UNKNOWN);
  }
  CHECK(fleet.engines[0].acts == 1);
}

TEST_CASE("without the log bookings are refused and chats go on") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24160);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  only.steward.log_reachable = false;
  only.steward.Push();
  REQUIRE(Eventually([&] {
    const pb::CallReply reply = caller.Ask(only, caller.Booking(2));
    return reply.has_refused() &&
           reply.refused().type() == pb::LOG_UNAVAILABLE &&
           reply.refused().ran() == pb::NO;
  }));
  CHECK(fleet.engines[0].acts == 0);
  const pb::CallReply chat = caller.Ask(only, caller.Chat(2, "b"));
  REQUIRE(chat.has_finished());
  CHECK_FALSE(chat.finished().durable());
  only.steward.log_reachable = true;
  only.steward.Push();
  CHECK(Eventually([&] {
    const std::lock_guard lock(fleet.journals.mutex);
    return fleet.journals.records[1].size() >= 2;
  }));
}

TEST_CASE("without the lease nothing is sent") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24170);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  only.steward.holds_lease = false;
  only.steward.Push();
  const pb::CallRequest request = caller.Chat(2, "b");
  CHECK(Eventually([&] {
    const pb::CallReply reply = caller.Ask(only, request);
    return reply.has_refused() && reply.refused().type() == pb::LEASE_LAPSED;
  }));
}

TEST_CASE("programs move to a member that joins, with all their history") {
  Fleet fleet;
  Instance& first = fleet.Join(1, 24180);
  Caller caller;
  for (int i = 0; i < 8; ++i) {
    caller.program = "trip-" + std::to_string(i);
    CHECK(TextOf(caller.Ask(first, caller.Chat(1, "a"))) == "a");
  }
  Instance& second = fleet.Join(2, 24190);
  int moved = 0;
  for (int i = 0; i < 8; ++i) {
    caller.program = "trip-" + std::to_string(i);
    const bool is_moved = OwnerOf(fleet.state, {"coop", caller.program}) == 2U;
    moved += is_moved ? 1 : 0;
    const Instance& owner = is_moved ? second : first;
    CHECK(TextOf(caller.Ask(owner, caller.Chat(2, "b"))) == "aab");
  }
  CHECK(moved > 0);
  CHECK(moved < 8);
}

TEST_CASE("the successor of an evicted member reads its journal") {
  Fleet fleet;
  Instance& first = fleet.Join(1, 24200);
  Caller caller;
  CHECK(TextOf(caller.Ask(first, caller.Chat(1, "a"))) == "a");
  CHECK(caller.Ask(first, caller.Booking(2)).has_finished());
  fleet.instances.clear();
  FleetState& state = fleet.state;
  state.departed[1].member = state.members[1];
  state.departed[1].evicted = true;
  state.members.clear();
  Instance& second = fleet.Join(2, 24210);
  const pb::CallReply booked = caller.Ask(second, caller.Booking(2));
  REQUIRE(booked.has_finished());
  CHECK(booked.finished().body() == "done");
  CHECK(fleet.engines[0].acts == 1);
  CHECK(TextOf(caller.Ask(second, caller.Chat(3, "b"))) == "aab");
}

TEST_CASE(
    "a drained instance finishes what runs, takes no new program, leaves") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24230);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  for (FakeEngine& engine : fleet.engines) {
    engine.hold = true;
  }
  const pb::CallRequest running = caller.Chat(2, "b");
  caller.Send(only, running);
  REQUIRE(Eventually(
      [&] { return fleet.engines[0].chats + fleet.engines[1].chats == 2; }));
  only.owner->Drain();
  caller.program = "other";
  Caller late;
  late.program = "other";
  CHECK(Eventually([&] {
    const pb::CallReply reply = late.Ask(only, late.Chat(1, "a"));
    return reply.has_refused() && reply.refused().type() == pb::DRAINING;
  }));
  CHECK_FALSE(only.owner->IsReady());
  CHECK_FALSE(only.steward.drained);
  for (FakeEngine& engine : fleet.engines) {
    engine.hold = false;
  }
  CHECK(TextOf(caller.Last(running)) == "aab");
  CHECK(Eventually([&] { return only.steward.drained.load(); }));
  CHECK_FALSE(only.owner->IsDrained());
  fleet.state.departed[1].member = fleet.state.members[1];
  fleet.state.members.clear();
  fleet.ShowAll();
  CHECK(Eventually([&] { return only.owner->IsDrained(); }));
}

TEST_CASE("a program's placements are explained with their alternatives") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24240);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  pb::CallMessage message;
  message.mutable_explain_query()->set_id(++caller.last_id);
  message.mutable_explain_query()->set_kind("program");
  message.mutable_explain_query()->set_subject("coop/trip");
  caller.messenger->Send(PeerAt(only.Address()), message.SerializeAsString());
  const auto reply = caller.replies.Pop(kPatience);
  REQUIRE(reply.has_value());
  REQUIRE(reply->explain().decisions_size() == 1);
  CHECK(reply->explain().decisions(0).what() == "place");
  CHECK(reply->explain().decisions(0).alternatives_size() == 2);
}

TEST_CASE("an ended program is released at the engine that ran it") {
  Fleet fleet;
  Instance& only = fleet.Join(1, 24250);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  pb::CallMessage message;
  message.mutable_program_delete()->set_id(++caller.last_id);
  message.mutable_program_delete()->mutable_program()->set_team("coop");
  message.mutable_program_delete()->mutable_program()->set_id("trip");
  caller.messenger->Send(PeerAt(only.Address()), message.SerializeAsString());
  CHECK(Eventually([&] {
    return fleet.engines[0].releases + fleet.engines[1].releases == 1;
  }));
  const pb::CallReply reply = caller.Ask(only, caller.Chat(2, "b"));
  REQUIRE(reply.has_refused());
  CHECK(reply.refused().type() == pb::PROGRAM_ENDED);
}

TEST_CASE("what an engine holds for a program that is gone is released") {
  Fleet fleet;
  fleet.engines[0].Hold(CacheName({"coop", "ghost"}));
  Instance& only = fleet.Join(1, 24260);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  fleet.engines[1].Hold(CacheName({"coop", "trip"}));
  CHECK(Eventually([&] { return fleet.engines[0].releases >= 2; }));
  CHECK(fleet.engines[1].releases == 0);
}

TEST_CASE("a request for an earlier run of the instance is not run") {
  Fleet fleet;
  Instance& only = fleet.Join(2, 24220);
  Caller caller;
  caller.Ask(only, caller.Chat(1, "a"));
  pb::CallRequest late = caller.Chat(2, "b");
  late.set_owner(1);
  caller.Send(only, late);
  const pb::CallReply reply = caller.Last(late);
  REQUIRE(reply.has_refused());
  CHECK(reply.refused().type() == pb::NOT_OWNER);
  CHECK(reply.refused().ran() == pb::NO);
}

}  // namespace
}  // namespace celerykeel
