#include "celerykeel/gate/gate_server.h"

#include <httplib.h>  // for httplib::Request, httplib::Response

#include <openssl/rand.h>  // for RAND_bytes

#include <algorithm>  // for std::all_of
#include <array>      // for std::array
#include <optional>   // for std::optional
#include <utility>    // for std::move

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/gate/call_relay.h"      // for CallRelay
#include "celerykeel/gate/caller_http.h"     // for Answer, CheckHeaders
#include "celerykeel/gate/caller_request.h"  // for ReadProgramHeaders
#include "celerykeel/gate/credentials.h"     // for Authenticate
#include "celerykeel/gate/program_json.h"    // for ProgramJson
#include "celerykeel/gate/route_match.h"     // for FindRoute
#include "celerykeel/net/http_server.h"      // for HttpServer
#include "celerykeel/wire/problem_json.h"    // for ProblemJson

namespace celerykeel {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kProgramsPath = "/v1/programs/";
constexpr size_t kIdBytes = 16;
constexpr Duration kShortestRetry = std::chrono::milliseconds(1);

using httplib::Request;
using httplib::Response;
using Refused = tl::unexpected<pb::CallRefused>;

std::string FreshId() {
  std::array<unsigned char, kIdBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string id = "once-";
  for (const unsigned char byte : bytes) {
    id += fmt::format("{:02x}", byte);
  }
  return id;
}

}  // namespace

struct GateServer::State {
  void Handle(const Request& request, Response& response) {
    const Duration started = Now();
    tl::expected<void, pb::CallRefused> done = CheckHeaders(request);
    if (done) {
      done = this->Dispatch(request, response);
    }
    if (!done) {
      Answer(response, done.error());
    }
    if (this->parts.metrics != nullptr) {
      this->parts.metrics->NoteAnswer(
          done ? "answered" : RefusalName(done.error().type()),
          Now() - started);
    }
  }

  // Reading what was answered before takes nothing from the rate.
  tl::expected<void, pb::CallRefused> CheckRate(
      const std::optional<Caller>& caller) {
    if (!caller || this->parts.rates == nullptr) {
      return {};
    }
    const RateVerdict verdict = this->parts.rates->Admit(caller->team);
    if (verdict.admitted) {
      return {};
    }
    return Refused(Refuse(pb::RATE_EXCEEDED,
                          verdict.home_unresponsive
                              ? "the home of the team's rate did not answer"
                              : "the team has used up its rate and burst",
                          std::max(verdict.retry_after, kShortestRetry)));
  }

  tl::expected<void, pb::CallRefused> Dispatch(const Request& request,
                                               Response& response) {
    const std::string_view path = request.path;
    if (path == kChatPath && request.method == "POST") {
      return this->HandleChat(request, response);
    }
    if (path.starts_with(kServicesPath)) {
      return this->HandleService(request, response);
    }
    if (path.starts_with(kProgramsPath) &&
        (request.method == "GET" || request.method == "DELETE")) {
      return this->HandleProgram(request, response);
    }
    return Refused(
        Refuse(pb::UNKNOWN_ROUTE, "there is no such path for this method"));
  }

  tl::expected<Caller, pb::CallRefused> Identify(const FleetView& view,
                                                 const Request& request) const {
    auto caller = Authenticate(view.state->in_force,
                               request.get_header_value("Authorization"));
    // A stale instance cannot tell a new key from a wrong one.
    const bool has_key = caller || caller.error().type() != pb::NO_KEY;
    if (has_key && Now() - view.fresh_at > this->options.config_patience) {
      return Refused(Refuse(pb::CONFIGURATION_STALE,
                            "this instance cannot tell whether the key holds",
                            std::chrono::seconds(2)));
    }
    return caller;
  }

  tl::expected<void, pb::CallRefused> HandleChat(const Request& request,
                                                 Response& response) {
    const FleetView view = this->parts.view();
    const auto caller = this->Identify(view, request);
    if (!caller) {
      return Refused(caller.error());
    }
    pb::CallMessage message;
    pb::CallRequest& call = *message.mutable_request();
    if (auto read = ReadProgramHeaders(HeadersOf(request), caller->team,
                                       FreshId(), call);
        !read) {
      return read;
    }
    if (auto read = ReadChatBody(request.body, call); !read) {
      return read;
    }
    const Configuration& in_force = view.state->in_force;
    if (!in_force.models.contains(call.model()) &&
        !in_force.adapters.contains(call.model())) {
      return Refused(Refuse(pb::UNKNOWN_MODEL,
                            fmt::format("no model \"{}\"", call.model())));
    }
    call.set_key_id(caller->key_id);
    return this->Run(std::move(message), *caller, response);
  }

  tl::expected<void, pb::CallRefused> HandleService(const Request& request,
                                                    Response& response) {
    const FleetView view = this->parts.view();
    const std::string_view target =
        std::string_view(request.target).substr(kServicesPath.size() - 1);
    const size_t question = target.find('?');
    const std::string_view decoded =
        std::string_view(request.path).substr(kServicesPath.size());
    const size_t slash = decoded.find('/');
    const std::string_view service = decoded.substr(0, slash);
    const std::string_view path =
        slash == std::string_view::npos ? "/" : decoded.substr(slash);
    if (!request.target.starts_with(kServicesPath) ||
        IsAmbiguousPath(target.substr(0, question)) ||
        !IsPrintable(request.target)) {
      return Refused(Refuse(pb::BAD_REQUEST, "the path is ambiguous"));
    }
    const Route* const route =
        FindRoute(view.state->in_force, service, request.method, path);
    std::optional<Caller> caller;
    if (route == nullptr || !route->open_to_all) {
      const auto identified = this->Identify(view, request);
      if (!identified) {
        return Refused(identified.error());
      }
      caller = *identified;
    }
    if (route == nullptr) {
      return Refused(
          Refuse(pb::UNKNOWN_ROUTE, "no route in force covers the path"));
    }
    pb::CallMessage message;
    pb::CallRequest& call = *message.mutable_request();
    if (auto read = ReadProgramHeaders(
            HeadersOf(request), caller ? caller->team : "", FreshId(), call);
        !read) {
      return read;
    }
    const std::string stripped = StripCredentials(target);
    const size_t path_start = stripped.find_first_of("/?", 1);
    call.set_kind(pb::SERVICE);
    call.set_route(route->id);
    call.set_service(std::string(service));
    call.set_method(request.method);
    call.set_path(
        path_start == std::string::npos ? "/" : stripped.substr(path_start));
    call.set_content_type(request.get_header_value(kBodyTypeHeader));
    call.set_body(request.body);
    call.set_key_id(caller ? caller->key_id : "");
    return this->Run(std::move(message), caller, response);
  }

  tl::expected<void, pb::CallRefused> HandleProgram(const Request& request,
                                                    Response& response) {
    const FleetView view = this->parts.view();
    const auto caller = this->Identify(view, request);
    if (!caller) {
      return Refused(caller.error());
    }
    const auto target = ParseProgramTarget(
        std::string_view(request.path).substr(kProgramsPath.size()));
    if (!target) {
      return Refused(target.error());
    }
    pb::CallMessage message;
    pb::ProgramName* program = nullptr;
    if (request.method == "GET") {
      message.mutable_program_query()->set_call(target->call);
      program = message.mutable_program_query()->mutable_program();
    } else if (target->call == 0) {
      program = message.mutable_program_delete()->mutable_program();
    } else {
      return Refused(
          Refuse(pb::UNKNOWN_ROUTE, "a single call cannot be deleted"));
    }
    program->set_team(caller->team);
    program->set_id(target->id);
    return this->Run(std::move(message), *caller, response);
  }

  tl::expected<void, pb::CallRefused> Run(pb::CallMessage message,
                                          std::optional<Caller> caller,
                                          Response& response) {
    const pb::CallRequest call =
        message.has_request() ? message.request() : pb::CallRequest();
    const bool one_call = message.has_request() && call.call() == 0 &&
                          call.kind() == pb::CHAT &&
                          call.idempotency_key().empty();
    if (message.has_request()) {
      if (auto within = this->CheckRate(caller); !within) {
        return within;
      }
      SetAnswerHeaders(response, call);
    }
    auto relay = std::make_unique<CallRelay>(
        RelayContext{.view = this->parts.view,
                     .link = this->parts.link,
                     .owner_patience = this->options.owner_patience,
                     .config_patience = this->options.config_patience,
                     .caller_waits = CallerIsConnected},
        std::move(message), std::move(caller));
    for (;;) {
      RelayItem item = relay->Next();
      if (const auto* accepted = std::get_if<pb::CallAccepted>(&item)) {
        if (!accepted->durable()) {
          response.set_header("Program-Durable", "no");
        }
      } else if (auto* chunk = std::get_if<AnswerChunk>(&item)) {
        this->Stream(std::move(relay), std::move(chunk->data), one_call,
                     response);
        return {};
      } else if (const auto* finished = std::get_if<pb::CallFinished>(&item)) {
        AnswerWhole(*finished, response);
        return {};
      } else if (const auto* report = std::get_if<pb::ProgramReport>(&item)) {
        return AnswerReport(*report, response);
      } else {
        const auto& refused = std::get<pb::CallRefused>(item);
        if (refused.type() == pb::CANCELLED && one_call) {
          relay->Cancel("the caller has gone away");
        }
        return Refused(refused);
      }
    }
  }

  void Stream(std::unique_ptr<CallRelay> relay,
              std::string first,
              bool one_call,
              Response& response) {
    auto stream = std::make_shared<OpenStream>(
        OpenStream{.relay = std::move(relay),
                   .data = std::move(first),
                   .abandoned_is_cancelled = one_call,
                   .count = OpenStreamCount(this->parts.metrics)});
    response.set_header("Cache-Control", "no-cache");
    response.set_chunked_content_provider(
        "text/event-stream",
        [stream](size_t, httplib::DataSink& sink) {
          return WriteNext(*stream, sink);
        },
        [stream](bool complete) {
          if (!complete && stream->abandoned_is_cancelled) {
            stream->relay->Cancel("the caller has gone away");
          }
        });
  }

  GateServerOptions options;
  GateParts parts;
  std::unique_ptr<HttpServer> server;  // last: its threads use the rest
};

tl::expected<std::unique_ptr<GateServer>, ListenError> GateServer::Create(
    GateServerOptions options,
    GateParts parts) {
  auto state = std::make_unique<State>();
  State* const shared = state.get();
  state->options = std::move(options);
  state->parts = std::move(parts);
  auto server = HttpServer::Create(
      {.listen = shared->options.listen,
       .limits = shared->options.limits,
       .handler =
           [shared](const Request& request, Response& response) {
             shared->Handle(request, response);
           },
       .on_error = AnswerError,
       .busy_answer =
           ProblemJson(Refuse(pb::OVERLOADED, "too many open connections",
                              std::chrono::seconds(1)))});
  if (!server) {
    return tl::unexpected(server.error());
  }
  state->server = std::move(*server);
  return std::unique_ptr<GateServer>(new GateServer(std::move(state)));
}

GateServer::GateServer(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

GateServer::~GateServer() = default;

void GateServer::CloseConnectionsAfterAnswers() {
  this->state->server->CloseConnectionsAfterAnswers();
}

size_t GateServer::OpenConnections() const {
  return this->state->server->Count().connections;
}

size_t GateServer::RefusedConnections() const {
  return this->state->server->Count().refused;
}

void GateServer::Stop() {
  this->state->server->Stop();
}

}  // namespace celerykeel
