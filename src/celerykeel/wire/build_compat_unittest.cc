#include <doctest/doctest.h>

#include <string>  // for std::string

#include "celerykeel/compat/node_e0847c4.pb.h"  // for pb_e0847c4::NodeFrame
#include "celerykeel/node.pb.h"                 // for pb::NodeFrame
#include "celerykeel/wire/crash_codec.h"        // for ToProto, FromProto
#include "celerykeel/wire/slot_codec.h"         // for EncodeSlotRecord

namespace celerykeel {
namespace {

namespace old = pb_e0847c4;

// Fills in a message of each kind that all builds know. The builds differ in
// the namespace only.
template <typename Frame>
std::vector<Frame> KnownFrames() {
  std::vector<Frame> frames(17);
  auto frame = frames.begin();
  auto& beat = *(frame++)->mutable_heartbeat();
  beat.set_instance("i1");
  beat.set_incarnation(5);
  beat.set_address("127.0.0.1:7");
  beat.set_zone("z");
  beat.set_deployment_version(9);
  beat.set_store_reached(true);
  beat.add_slots()->set_epoch(3);
  beat.add_loads()->set_in_flight(4);
  beat.set_endpoints_age_ms(20);
  beat.set_opens_tunnels(true);
  auto& admission = *(frame++)->mutable_admission();
  admission.set_slot(2);
  admission.set_team("orchard");
  admission.set_program("p");
  admission.set_turn("t");
  admission.set_previous("s");
  admission.set_most_tokens(100);
  admission.set_budget(900);
  admission.set_kept(true);
  admission.set_resumed_call("r");
  auto& grant = *(frame++)->mutable_grant();
  grant.set_verdict(Frame::default_instance().grant().BUDGET_HELD);
  grant.set_history("h");
  grant.set_endpoint("e1");
  grant.set_foreign(true);
  grant.set_covered(true);
  grant.mutable_origin()->set_version("v1");
  (frame++)->mutable_covered();
  auto& end = *(frame++)->mutable_end();
  end.set_program("p");
  end.set_used_tokens(40);
  end.set_kept(true);
  end.set_input("in");
  end.set_output("out");
  end.set_base("base");
  end.mutable_began()->set_call("c");
  (frame++)->mutable_end_done()->set_durable(true);
  (frame++)->mutable_lookup()->set_turn("t");
  auto& found = *(frame++)->mutable_found();
  found.set_found(true);
  found.add_slots(6);
  (frame++)->mutable_store_call()->set_target("/x");
  (frame++)->mutable_store_answer()->set_status(200);
  auto& wish = *(frame++)->mutable_rate_wish();
  wish.set_needed(1.5);
  wish.set_max_wait_ms(20);
  wish.set_program(5);
  wish.set_caller(6);
  auto& loan = *(frame++)->mutable_rate_grant();
  loan.set_tokens(2.5);
  loan.set_in_progress(true);
  (frame++)->mutable_rate_news()->add_uses()->set_closed(true);
  auto& news = *(frame++)->mutable_endpoint_news();
  news.add_changes()->set_entry("entry");
  news.add_departures()->set_started_at(11);
  news.add_limits()->set_per_second(3.5);
  news.add_versions()->set_in_use(true);
  auto& limited = *(frame++)->mutable_limited_call_wish();
  limited.set_max_wait_ns(7);
  limited.set_cold_per_second(0.5);
  auto& permit = *(frame++)->mutable_limited_call_grant();
  permit.set_granted(true);
  permit.set_keeps_cold_rate(true);
  auto& open = *(frame++)->mutable_tunnel_open();
  open.set_lifetime_ms(8);
  open.set_marks_end(true);
  return frames;
}

// The rest of the messages of both builds.
template <typename Frame>
std::vector<Frame> LaterFrames() {
  std::vector<Frame> frames(11);
  auto frame = frames.begin();
  auto& opened = *(frame++)->mutable_tunnel_opened();
  opened.set_verdict(Frame::default_instance().tunnel_opened().REFUSED);
  opened.set_marks_end(true);
  (frame++)->mutable_operator_news()->add_evacuations()->set_zone("z");
  (frame++)->mutable_deployment_wish()->set_newer_than(7);
  (frame++)->mutable_deployment_piece()->set_bytes("piece");
  (frame++)->mutable_programs_begun()->add_programs(9);
  (frame++)->mutable_rate_recall()->set_team("orchard");
  auto& beat = *(frame++)->mutable_heartbeat();
  beat.set_evacuations_digest(7);
  beat.set_gives_deployment(true);
  beat.set_counts_covers(true);
  beat.set_append_age_ms(3);
  beat.set_rate_protocol(1);
  beat.set_link_mbps(600);
  beat.add_speeds()->set_calls(2);
  beat.add_team_loads()->set_in_flight(2);
  (frame++)->mutable_stream_began()->set_call("c");
  (frame++)->mutable_suspect_run_wish()->set_interval_ms(5);
  (frame++)->mutable_suspect_run_grant()->set_retry_ms(6);
  auto& news = *(frame++)->mutable_endpoint_news();
  auto& crashed = *news.add_crashed_runs();
  crashed.mutable_request()->set_hash_high(3);
  crashed.set_endpoint("e1");
  crashed.set_started_at(4);
  crashed.set_others_missing(true);
  crashed.set_began_recently(true);
  news.add_completed_runs()->set_age_ms(7);
  news.add_isolated_endpoints()->set_runs_ms(8);
  return frames;
}

// Guards against instances of two builds that can't serve together while they
// are replaced one after the other.
TEST_CASE("this build and e0847c4 read each other's messages") {
  auto new_frames = KnownFrames<pb::NodeFrame>();
  auto old_frames = KnownFrames<old::NodeFrame>();
  for (const pb::NodeFrame& frame : LaterFrames<pb::NodeFrame>()) {
    new_frames.push_back(frame);
  }
  for (const old::NodeFrame& frame : LaterFrames<old::NodeFrame>()) {
    old_frames.push_back(frame);
  }
  REQUIRE(new_frames.size() == old_frames.size());
  for (size_t i = 0; i < new_frames.size(); ++i) {
    CAPTURE(i);
    const std::string bytes = new_frames[i].SerializeAsString();
    CHECK(!bytes.empty());
    CHECK(bytes == old_frames[i].SerializeAsString());
    old::NodeFrame read_by_old;
    CHECK(read_by_old.ParseFromString(bytes));
    CHECK(static_cast<int>(read_by_old.body_case()) ==
          static_cast<int>(new_frames[i].body_case()));
    CHECK(read_by_old.SerializeAsString() == bytes);
    pb::NodeFrame read;
    CHECK(read.ParseFromString(old_frames[i].SerializeAsString()));
    CHECK(read.SerializeAsString() == bytes);
  }
}

// Guards against clearing or blaming requests that begin alike: e0847c4 takes
// all of them for one.
TEST_CASE("this build and e0847c4 read each other's crashes") {
  const RequestIdentity request =
      IdentityOf("orchard", "POST", "/a", std::string(300, 'x'));
  const RequestIdentity group = GroupOf(request);
  const auto read_by_old = [](const auto& message, auto& out) {
    return out.ParseFromString(message.SerializeAsString());
  };
  old::CrashedRun crashed;
  REQUIRE(read_by_old(ToProto(CrashedRun{.request = request,
                                         .endpoint = {"e1", 7},
                                         .crashed_at = {},
                                         .seen_at = {}},
                              Duration::zero()),
                      crashed));
  CHECK(crashed.request().hash_high() == group.hash_high);
  CHECK(crashed.request().hash_low() == group.hash_low);
  // A completion that clears no other request of the group is told to it.
  old::CompletedRun completed;
  REQUIRE(read_by_old(CompletedRunOf(request, true), completed));
  CHECK(completed.request().hash_low() == group.hash_low);
  REQUIRE(read_by_old(CompletedRunOf(request, false), completed));
  CHECK_FALSE(completed.has_request());
  // What it writes is known to be of the group alone.
  pb::CompletedRun of_old;
  of_old.mutable_request()->set_team(group.team);
  of_old.mutable_request()->set_hash_high(group.hash_high);
  of_old.mutable_request()->set_hash_low(group.hash_low);
  CHECK(FromProto(of_old, Duration::zero()).first == group);
  CHECK(FromProto(ToProto(request)) == request);
  CHECK(GroupOf(FromProto(ToProto(request))) == group);
  CHECK(FromProto(ToProto(group)) == group);
}

// Guards against a count after the end of a tunnel that the other build takes
// for bytes of an answer: it is sent only if both builds know it.
TEST_CASE("this build and e0847c4 open tunnels without the new field") {
  pb::NodeFrame open;
  open.mutable_tunnel_open()->set_endpoint("e1");
  open.mutable_tunnel_open()->set_marks_end(true);
  open.mutable_tunnel_open()->set_counts_request(true);
  old::NodeFrame read_by_old;
  REQUIRE(read_by_old.ParseFromString(open.SerializeAsString()));
  CHECK(read_by_old.tunnel_open().endpoint() == "e1");
  CHECK(read_by_old.tunnel_open().marks_end());
  old::NodeFrame opened;
  opened.mutable_tunnel_opened()->set_marks_end(true);
  pb::NodeFrame read;
  REQUIRE(read.ParseFromString(opened.SerializeAsString()));
  CHECK(read.tunnel_opened().verdict() == pb::TunnelOpened::OPENED);
  CHECK(read.tunnel_opened().marks_end());
  CHECK_FALSE(read.tunnel_opened().counts_request());
  old::NodeFrame old_open;
  old_open.mutable_tunnel_open()->set_marks_end(true);
  REQUIRE(read.ParseFromString(old_open.SerializeAsString()));
  CHECK_FALSE(read.tunnel_open().counts_request());
}

// Checks that this build and another one read each other's records.
template <typename Entry, typename Member>
void CheckRecords() {
  Entry spend;
  spend.mutable_spend()->set_team("orchard");
  spend.mutable_spend()->set_program("p");
  spend.mutable_spend()->set_spent(40);
  spend.mutable_spend()->set_ceiling(260);
  Entry turn;
  turn.mutable_turn()->set_turn("t");
  turn.mutable_turn()->set_output("out");
  turn.mutable_turn()->set_expires_at(99);
  Entry claim;
  claim.mutable_claim()->set_holder("i1");
  claim.mutable_claim()->set_epoch(1025);
  claim.mutable_claim()->set_cover(claim.claim().COVER_OPEN);
  Entry rate;
  rate.mutable_rate()->set_kept(2.5);
  Entry stream;
  stream.mutable_stream()->mutable_origin()->set_version("v1");
  for (const Entry& entry : {spend, turn, claim, rate, stream}) {
    CAPTURE(static_cast<int>(entry.record_case()));
    const auto record = DecodeSlotRecord(entry.SerializeAsString());
    REQUIRE(record);
    Entry read;
    REQUIRE(read.ParseFromString(EncodeSlotRecord(*record)));
    CHECK(read.SerializeAsString() == entry.SerializeAsString());
  }
  pb::MemberEntry member;
  member.set_address("127.0.0.1:7");
  member.add_slots()->set_slot(3);
  Member read;
  REQUIRE(read.ParseFromString(member.SerializeAsString()));
  CHECK(read.SerializeAsString() == member.SerializeAsString());
}

// Guards against losing turns whose ids are not UTF-8, which older builds
// wrote.
TEST_CASE("records of e0847c4 with ids that are no text are read") {
  old::SlotEntry entry;
  entry.mutable_turn()->set_team("orchard");
  entry.mutable_turn()->set_program("\xff\xfe");
  entry.mutable_turn()->set_turn("t");
  const auto record = DecodeSlotRecord(entry.SerializeAsString());
  REQUIRE(record);
  REQUIRE(std::holds_alternative<TurnRecord>(*record));
  CHECK(std::get<TurnRecord>(*record).program.id == "\xff\xfe");
  old::NodeFrame frame;
  frame.mutable_admission()->set_program("\xff\xfe");
  pb::NodeFrame read;
  CHECK(read.ParseFromString(frame.SerializeAsString()));
}

TEST_CASE("this build and e0847c4 read each other's slot records") {
  CheckRecords<old::SlotEntry, old::MemberEntry>();
}

}  // namespace
}  // namespace celerykeel
