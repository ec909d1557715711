#pragma once

#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr
#include <mutex>       // for std::mutex
#include <string>      // for std::string
#include <vector>      // for std::vector

#include "celerykeel/call.pb.h"                      // for pb::CallMessage
#include "celerykeel/core/fleet_state.h"             // for FleetState
#include "celerykeel/net/feed_client.h"              // for FleetView
#include "celerykeel/net/messenger.h"                // for Messenger
#include "celerykeel/net/raw_connection_unittest.h"  // for FreeAddress

namespace celerykeel::testing {

inline constexpr char kKeyText[] =
    "ck_plum_0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
inline constexpr char kOtherKeyText[] =
    "ck_pear_fedcba98765432100123456789abcdef0123456789abcdeffedcba9876543210";

/// @brief A configuration with teams "orchard" (key kKeyText) and "cellar"
/// (key kOtherKeyText), model "plum-7b", and service "booking".
Configuration SomeConfiguration();

/// @brief A view that tests change while a gate uses it; fresh unless aged.
class FakeFeed {
 public:
  FakeFeed();

  FleetView View() const;
  void Change(const std::function<void(FleetState&)>& change);
  void AddMember(Incarnation incarnation, std::string scheduler_address);
  void SetAge(Duration given_age);

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const FleetState> state;
  Duration age{};
};

/// @brief A scheduler that records what it is sent and answers by a script.
class FakeScheduler {
 public:
  using Script =
      std::function<std::vector<pb::CallReply>(const pb::CallMessage&)>;

  FakeScheduler(const std::string& address, Script given_script);

  std::vector<pb::CallMessage> Seen() const;

 private:
  mutable std::mutex mutex;
  std::vector<pb::CallMessage> seen;
  Script script;
  std::unique_ptr<Messenger> messenger;
};

pb::CallReply Accepted(uint64_t id, bool durable = true);
pb::CallReply Chunk(uint64_t id, std::string_view data);
pb::CallReply Finished(uint64_t id, std::string_view body);
pb::CallReply Refused(uint64_t id, pb::RefusalType type, pb::Ran ran);

/// @brief Waits up to ten seconds for a condition.
bool Eventually(const std::function<bool()>& condition);

}  // namespace celerykeel::testing
