#include <doctest/doctest.h>

#include <string>  // for std::string

#include "celerykeel/compat/node_2b2638f.pb.h"  // for pb_2b2638f::NodeFrame
#include "celerykeel/compat/node_bfe44ba.pb.h"  // for pb_bfe44ba::NodeFrame
#include "celerykeel/node.pb.h"                 // for pb::NodeFrame
#include "celerykeel/wire/slot_codec.h"         // for EncodeSlotRecord

namespace celerykeel {
namespace {

namespace old = pb_bfe44ba;

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
  (frame++)->mutable_rate_wish()->set_needed(1.5);
  (frame++)->mutable_rate_grant()->set_tokens(2.5);
  (frame++)->mutable_rate_news()->add_uses()->set_closed(true);
  auto& news = *(frame++)->mutable_endpoint_news();
  news.add_changes()->set_entry("entry");
  news.add_departures()->set_started_at(11);
  news.add_limits()->set_per_second(3.5);
  news.add_versions()->set_in_use(true);
  (frame++)->mutable_limited_call_wish()->set_max_wait_ns(7);
  (frame++)->mutable_limited_call_grant()->set_granted(true);
  (frame++)->mutable_tunnel_open()->set_lifetime_ms(8);
  return frames;
}

// Guards against instances of two builds that can't serve together while they
// are replaced one after the other.
TEST_CASE("this build and bfe44ba read each other's messages") {
  const auto new_frames = KnownFrames<pb::NodeFrame>();
  const auto old_frames = KnownFrames<old::NodeFrame>();
  REQUIRE(new_frames.size() == old_frames.size());
  for (size_t i = 0; i < new_frames.size(); ++i) {
    CAPTURE(i);
    const std::string new_bytes = new_frames[i].SerializeAsString();
    CHECK(!new_bytes.empty());
    CHECK(new_bytes == old_frames[i].SerializeAsString());
    old::NodeFrame read_by_old;
    CHECK(read_by_old.ParseFromString(new_bytes));
    CHECK(static_cast<int>(read_by_old.body_case()) ==
          static_cast<int>(new_frames[i].body_case()));
  }
}

// Fills in a message of each kind that bfe44ba lacks.
template <typename Frame>
std::vector<Frame> LaterFrames() {
  std::vector<Frame> frames(5);
  auto frame = frames.begin();
  (frame++)->mutable_tunnel_opened()->set_verdict(
      Frame::default_instance().tunnel_opened().REFUSED);
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

TEST_CASE("this build and 2b2638f read each other's messages") {
  auto new_frames = KnownFrames<pb::NodeFrame>();
  auto old_frames = KnownFrames<pb_2b2638f::NodeFrame>();
  for (const pb::NodeFrame& frame : LaterFrames<pb::NodeFrame>()) {
    new_frames.push_back(frame);
  }
  for (const pb_2b2638f::NodeFrame& frame :
       LaterFrames<pb_2b2638f::NodeFrame>()) {
    old_frames.push_back(frame);
  }
  REQUIRE(new_frames.size() == old_frames.size());
  for (size_t i = 0; i < new_frames.size(); ++i) {
    CAPTURE(i);
    const std::string bytes = new_frames[i].SerializeAsString();
    CHECK(!bytes.empty());
    CHECK(bytes == old_frames[i].SerializeAsString());
    pb_2b2638f::NodeFrame read_by_old;
    CHECK(read_by_old.ParseFromString(bytes));
    CHECK(read_by_old.SerializeAsString() == bytes);
    pb::NodeFrame read;
    CHECK(read.ParseFromString(old_frames[i].SerializeAsString()));
    CHECK(read.SerializeAsString() == bytes);
  }
}

// Guards against a peer of the other build that takes a message with a new
// field, or without one, for something else.
TEST_CASE("this build and 2b2638f serve each other without the new fields") {
  pb::NodeFrame open;
  open.mutable_tunnel_open()->set_endpoint("e1");
  open.mutable_tunnel_open()->set_marks_end(true);
  pb_2b2638f::NodeFrame read_by_old;
  REQUIRE(read_by_old.ParseFromString(open.SerializeAsString()));
  CHECK(read_by_old.tunnel_open().endpoint() == "e1");
  pb_2b2638f::NodeFrame opened;
  opened.mutable_tunnel_opened();
  pb::NodeFrame read;
  REQUIRE(read.ParseFromString(opened.SerializeAsString()));
  CHECK(read.tunnel_opened().verdict() == pb::TunnelOpened::OPENED);
  CHECK_FALSE(read.tunnel_opened().marks_end());
  pb::NodeFrame done;
  done.mutable_end_done()->set_needs_base(true);
  REQUIRE(read_by_old.ParseFromString(done.SerializeAsString()));
  CHECK_FALSE(read_by_old.end_done().durable());
  CHECK_FALSE(read_by_old.end_done().not_holder());
  pb_2b2638f::NodeFrame old_done;
  old_done.mutable_end_done()->set_durable(true);
  REQUIRE(read.ParseFromString(old_done.SerializeAsString()));
  CHECK_FALSE(read.end_done().needs_base());
}

// Guards against an older home of a cold endpoint whose grants are taken for
// grants at its cold rate, and against heartbeats that an older build rejects.
TEST_CASE("2b2638f ignores evacuations and cold rates") {
  pb::NodeFrame beat;
  beat.mutable_heartbeat()->set_instance("i1");
  beat.mutable_heartbeat()->set_evacuations_digest(7);
  pb_2b2638f::NodeFrame read_by_old;
  REQUIRE(read_by_old.ParseFromString(beat.SerializeAsString()));
  CHECK(read_by_old.heartbeat().instance() == "i1");
  pb_2b2638f::NodeFrame old_beat;
  old_beat.mutable_heartbeat()->set_instance("i2");
  pb::NodeFrame read;
  REQUIRE(read.ParseFromString(old_beat.SerializeAsString()));
  CHECK_FALSE(read.heartbeat().has_evacuations_digest());
  pb::NodeFrame news;
  news.mutable_operator_news()->add_evacuations()->set_zone("z");
  REQUIRE(read_by_old.ParseFromString(news.SerializeAsString()));
  CHECK(read_by_old.body_case() == pb_2b2638f::NodeFrame::BODY_NOT_SET);
  pb_2b2638f::NodeFrame granted;
  granted.mutable_limited_call_grant()->set_granted(true);
  REQUIRE(read.ParseFromString(granted.SerializeAsString()));
  CHECK_FALSE(read.limited_call_grant().keeps_cold_rate());
}

TEST_CASE("bfe44ba reads news of crashes and ignores what it doesn't know") {
  pb::NodeFrame frame;
  pb::EndpointNews& news = *frame.mutable_endpoint_news();
  news.add_departures()->set_endpoint("e1");
  news.add_crashed_runs()->set_endpoint("e2");
  news.add_completed_runs()->set_age_ms(1);
  news.add_isolated_endpoints()->set_endpoint("e3");
  old::NodeFrame read;
  REQUIRE(read.ParseFromString(frame.SerializeAsString()));
  REQUIRE(read.has_endpoint_news());
  REQUIRE(read.endpoint_news().departures_size() == 1);
  CHECK(read.endpoint_news().departures(0).endpoint() == "e1");
  // A message of a kind that it doesn't know, which it logs and drops.
  pb::NodeFrame wish;
  wish.set_call(4);
  wish.mutable_suspect_run_wish()->set_interval_ms(1000);
  REQUIRE(read.ParseFromString(wish.SerializeAsString()));
  CHECK(read.call() == 4);
  CHECK(read.body_case() == old::NodeFrame::BODY_NOT_SET);
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

TEST_CASE("this build and bfe44ba read each other's slot records") {
  CheckRecords<old::SlotEntry, old::MemberEntry>();
}

// Guards against losing turns whose ids are not UTF-8, which older builds
// wrote.
TEST_CASE("records of 2b2638f with ids that are no text are read") {
  pb_2b2638f::SlotEntry entry;
  entry.mutable_turn()->set_team("orchard");
  entry.mutable_turn()->set_program("\xff\xfe");
  entry.mutable_turn()->set_turn("t");
  const auto record = DecodeSlotRecord(entry.SerializeAsString());
  REQUIRE(record);
  REQUIRE(std::holds_alternative<TurnRecord>(*record));
  CHECK(std::get<TurnRecord>(*record).program.id == "\xff\xfe");
  pb_2b2638f::NodeFrame frame;
  frame.mutable_admission()->set_program("\xff\xfe");
  pb::NodeFrame read;
  CHECK(read.ParseFromString(frame.SerializeAsString()));
}

TEST_CASE("this build and 2b2638f read each other's slot records") {
  CheckRecords<pb_2b2638f::SlotEntry, pb_2b2638f::MemberEntry>();
}

}  // namespace
}  // namespace celerykeel
