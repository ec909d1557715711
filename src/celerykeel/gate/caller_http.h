#pragma once

#include <httplib.h>  // for httplib::Request, httplib::Response

#include <memory>       // for std::unique_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/gate/call_relay.h"      // for CallRelay
#include "celerykeel/gate/caller_request.h"  // for ProgramHeaders
#include "celerykeel/gate/gate_metrics.h"    // for OpenStreamCount

namespace celerykeel {

/// @brief Answers with a refusal.
void Answer(httplib::Response& response, const pb::CallRefused& refusal);

/// @brief Answers what the server itself refuses, by its HTTP status.
void AnswerError(int status, httplib::Response& response);

/// @brief Answers with a whole answer of an owner.
void AnswerWhole(const pb::CallFinished& finished, httplib::Response& response);

/// @brief Answers with what is known of a program or a call.
tl::expected<void, pb::CallRefused> AnswerReport(
    const pb::ProgramReport& report,
    httplib::Response& response);

ProgramHeaders HeadersOf(const httplib::Request& request);

bool IsPrintable(std::string_view text);

/// @brief Refuses a header of ours that is not ASCII, or comes twice: it has
/// no one meaning.
tl::expected<void, pb::CallRefused> CheckHeaders(
    const httplib::Request& request);

void SetAnswerHeaders(httplib::Response& response,
                      const pb::CallRequest& request);

/// @brief A streamed answer between two calls of the content provider.
struct OpenStream {
  std::unique_ptr<CallRelay> relay;
  std::string data;  // to be written next
  bool last = false;
  bool abandoned_is_cancelled = false;
  OpenStreamCount count;
};

/// @brief Writes what is there and waits for more.
/// @return false once the caller has gone.
bool WriteNext(OpenStream& stream, httplib::DataSink& sink);

}  // namespace celerykeel
