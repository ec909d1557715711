#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/crash_records.h"  // for CrashedRun
#include "celerykeel/node.pb.h"             // for pb::CrashedRun

namespace celerykeel {

pb::RequestIdentity ToProto(const RequestIdentity& request);
RequestIdentity FromProto(const pb::RequestIdentity& request);

pb::CrashedRun ToProto(const CrashedRun& run, Duration now);
CrashedRun FromProto(const pb::CrashedRun& run, Duration now);

/// @param clears_group true if no other request of the group is a suspect.
pb::CompletedRun CompletedRunOf(const RequestIdentity& request,
                                bool clears_group);

/// @brief Returns the request of a completed run, and when it completed.
std::pair<RequestIdentity, Duration> FromProto(const pb::CompletedRun& run,
                                               Duration now);

/// @brief Returns the key of a run in the store; at most 80 bytes.
std::string StoredCrashKey(const CrashedRun& run);
std::string EncodeStoredCrash(const CrashedRun& run,
                              Duration now,
                              WallMillis wall_now);

/// @brief Decodes a value; nothing if the bytes are invalid.
std::optional<CrashedRun> DecodeStoredCrash(std::string_view bytes,
                                            Duration now,
                                            WallMillis wall_now);

}  // namespace celerykeel
