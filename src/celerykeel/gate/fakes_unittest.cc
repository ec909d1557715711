#include "celerykeel/gate/fakes_unittest.h"

#include <thread>   // for std::this_thread::sleep_for
#include <utility>  // for std::move

#include "celerykeel/base/clock.h"       // for Now
#include "celerykeel/core/key_digest.h"  // for KeyDigest

namespace celerykeel::testing {

namespace {

constexpr Duration kPatience = std::chrono::seconds(10);
constexpr Duration kPause = std::chrono::milliseconds(2);
constexpr char kSalt[] = "00112233445566778899aabbccddeeff";

Team TeamOf(const std::string& id) {
  Team team;
  team.id = id;
  team.rate = 1000;
  team.burst = 1000;
  return team;
}

Key KeyOf(const std::string& id, const std::string& team, const char* text) {
  Key key;
  key.id = id;
  key.team = team;
  key.salt = kSalt;
  key.digest = KeyDigest(kSalt, text);
  return key;
}

Route RouteOf(const std::string& id, const std::string& path_prefix) {
  Route route;
  route.id = id;
  route.service = "booking";
  route.path_prefix = path_prefix;
  return route;
}

}  // namespace

Configuration SomeConfiguration() {
  Configuration some;
  some.teams["orchard"] = TeamOf("orchard");
  some.teams["cellar"] = TeamOf("cellar");
  some.keys["plum"] = KeyOf("plum", "orchard", kKeyText);
  some.keys["pear"] = KeyOf("pear", "cellar", kOtherKeyText);
  some.models["plum-7b"].id = "plum-7b";
  some.routes["book"] = RouteOf("book", "/slots");
  some.routes["days"] = RouteOf("days", "/days");
  some.routes["days"].idempotent = true;
  some.routes["days"].open_to_all = true;
  return some;
}

FakeFeed::FakeFeed() {
  FleetState initial;
  initial.in_force = SomeConfiguration();
  this->state = std::make_shared<const FleetState>(std::move(initial));
}

FleetView FakeFeed::View() const {
  const std::lock_guard lock(this->mutex);
  return {.state = this->state,
          .self = 1,
          .lease_until = Now() + kPatience,
          .fresh_at = Now() - this->age,
          .log_reachable = true};
}

void FakeFeed::Change(const std::function<void(FleetState&)>& change) {
  const std::lock_guard lock(this->mutex);
  FleetState next = *this->state;
  change(next);
  ++next.offset;
  this->state = std::make_shared<const FleetState>(std::move(next));
}

void FakeFeed::AddMember(Incarnation incarnation,
                         std::string scheduler_address) {
  this->Change([&](FleetState& next) {
    Join join;
    join.incarnation = incarnation;
    join.instance = "instance-" + std::to_string(incarnation);
    join.scheduler_address = std::move(scheduler_address);
    next.members[incarnation] = {.join = join, .fence = next.offset + 1};
    next.roster_version = next.offset + 1;
  });
}

void FakeFeed::SetAge(Duration given_age) {
  const std::lock_guard lock(this->mutex);
  this->age = given_age;
}

FakeScheduler::FakeScheduler(const std::string& address, Script given_script)
    : script(std::move(given_script)) {
  MessengerOptions options;
  options.listen = address;
  auto created = Messenger::Create(
      options,
      {.on_message =
           [this](Messenger& self, const Peer& peer, std::string_view payload) {
             pb::CallMessage message;
             message.ParseFromString(std::string(payload));
             {
               const std::lock_guard lock(this->mutex);
               this->seen.push_back(message);
             }
             for (const auto& reply : this->script(message)) {
               self.Send(peer, reply.SerializeAsString());
             }
           },
       .on_tick = {},
       .on_disconnect = {}});
  this->messenger = std::move(created.value());
}

std::vector<pb::CallMessage> FakeScheduler::Seen() const {
  const std::lock_guard lock(this->mutex);
  return this->seen;
}

pb::CallReply Accepted(uint64_t id, bool durable) {
  pb::CallReply reply;
  reply.set_id(id);
  reply.mutable_accepted()->set_durable(durable);
  return reply;
}

pb::CallReply Chunk(uint64_t id, std::string_view data) {
  pb::CallReply reply;
  reply.set_id(id);
  reply.mutable_chunk()->set_data(std::string(data));
  return reply;
}

pb::CallReply Finished(uint64_t id, std::string_view body) {
  pb::CallReply reply;
  reply.set_id(id);
  reply.mutable_finished()->set_status(200);
  reply.mutable_finished()->set_durable(true);
  reply.mutable_finished()->set_body(std::string(body));
  return reply;
}

pb::CallReply Refused(uint64_t id, pb::RefusalType type, pb::Ran ran) {
  pb::CallReply reply;
  reply.set_id(id);
  reply.mutable_refused()->set_type(type);
  reply.mutable_refused()->set_ran(ran);
  return reply;
}

bool Eventually(const std::function<bool()>& condition) {
  const Duration until = Now() + kPatience;
  while (Now() < until) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return condition();
}

}  // namespace celerykeel::testing
