#include "celerykeel/gate/caller_http.h"

#include <algorithm>  // for std::all_of
#include <utility>    // for std::move

#include "celerykeel/gate/program_json.h"  // for ToAnswer
#include "celerykeel/net/http_server.h"    // for kBodyTypeHeader
#include "celerykeel/wire/problem_json.h"  // for ProblemJson

namespace celerykeel {

namespace {

constexpr char kJson[] = "application/json";

using httplib::Request;
using httplib::Response;
using Refused = tl::unexpected<pb::CallRefused>;

}  // namespace

void Answer(Response& response, const pb::CallRefused& refusal) {
  response.status = HttpStatus(refusal.type());
  if (const uint64_t seconds = RetryAfterSeconds(refusal); seconds > 0) {
    response.set_header("Retry-After", std::to_string(seconds));
  }
  if (response.status == 401) {
    response.set_header("WWW-Authenticate", "Bearer");
  }
  response.set_content(ProblemJson(refusal), kProblemJsonType);
}

void AnswerError(int status, Response& response) {
  if (status == 413) {
    Answer(response, Refuse(pb::BODY_TOO_LARGE, "the body is over the limit"));
  } else if (status >= 500) {
    Answer(response, RefuseMaybeRun(pb::REFUSAL_UNSPECIFIED,
                                    "the gate failed; see its log"));
  } else {
    Answer(response, Refuse(pb::BAD_REQUEST,
                            "the HTTP request is malformed, over a limit, or "
                            "did not arrive in time"));
  }
  response.status = status;
}

ProgramHeaders HeadersOf(const Request& request) {
  return {.id = request.get_header_value("Program-Id"),
          .call = request.get_header_value("Program-Call"),
          .parent = request.get_header_value("Program-Parent"),
          .budget = request.get_header_value("Program-Budget"),
          .history = request.get_header_value("Program-History"),
          .idempotency_key = request.get_header_value("Idempotency-Key")};
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

tl::expected<void, pb::CallRefused> CheckHeaders(const Request& request) {
  for (const char* name :
       {"Authorization", "Program-Id", "Program-Call", "Program-Parent",
        "Program-Budget", "Program-History", "Idempotency-Key",
        kBodyTypeHeader}) {
    if (request.get_header_value_count(name) > 1 ||
        !IsPrintable(request.get_header_value(name))) {
      return Refused(Refuse(pb::BAD_REQUEST,
                            "a header comes twice or is not printable ASCII"));
    }
  }
  return {};
}

void SetAnswerHeaders(Response& response, const pb::CallRequest& request) {
  response.set_header("Program-Id", request.program().id());
  if (request.call() > 0) {
    response.set_header("Program-Call", std::to_string(request.call()));
  }
}

void AnswerWhole(const pb::CallFinished& finished, Response& response) {
  response.status = static_cast<int>(finished.status());
  if (!finished.durable()) {
    response.headers.erase("Program-Durable");
    response.set_header("Program-Durable", "no");
  }
  response.set_content(finished.body(), finished.content_type().empty()
                                            ? std::string(kJson)
                                            : finished.content_type());
}

tl::expected<void, pb::CallRefused> AnswerReport(
    const pb::ProgramReport& report,
    Response& response) {
  if (!report.found()) {
    return Refused(
        Refuse(pb::UNKNOWN_PROGRAM, "the team has no such program or call"));
  }
  if (report.has_call()) {
    response.set_header("Program-Id", report.call().program().id());
  }
  const ProgramAnswer answer = ToAnswer(report);
  response.status = answer.status;
  response.set_content(answer.body, answer.content_type);
  return {};
}

bool WriteNext(OpenStream& stream, httplib::DataSink& sink) {
  if (!stream.data.empty()) {
    if (!sink.is_writable() ||
        !sink.write(stream.data.data(), stream.data.size())) {
      return false;
    }
    stream.data.clear();
  }
  if (stream.last) {
    sink.done();
    return true;
  }
  RelayItem item = stream.relay->Next();
  if (auto* chunk = std::get_if<AnswerChunk>(&item)) {
    stream.data = std::move(chunk->data);
  } else if (auto* finished = std::get_if<pb::CallFinished>(&item)) {
    stream.data = std::move(*finished->mutable_body());
    stream.last = true;
  } else if (const auto* refused = std::get_if<pb::CallRefused>(&item)) {
    stream.data = ProblemEvent(*refused);
    stream.last = true;
  }
  return true;
}

}  // namespace celerykeel
