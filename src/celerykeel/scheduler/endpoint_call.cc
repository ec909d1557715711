#include "celerykeel/scheduler/endpoint_call.h"

#include <httplib.h>  // for httplib::Client

#include <charconv>  // for std::from_chars
#include <utility>   // for std::move

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/net/http_guard.h"  // for SplitAddress
#include "celerykeel/wire/chat_json.h"  // for AddChatEvent, SplitEvents

namespace celerykeel {

namespace {

constexpr int kResumes = 2;
constexpr int kStatusOk = 200;
constexpr Duration kUpkeepTimeout = std::chrono::seconds(2);
constexpr char kEventStream[] = "text/event-stream";
constexpr char kJson[] = "application/json";

std::unique_ptr<httplib::Client> Connect(const std::string& address,
                                         Duration connect_timeout,
                                         Duration read_timeout) {
  const auto [host, port] = SplitAddress(address);
  auto client = std::make_unique<httplib::Client>(host, port);
  client->set_connection_timeout(connect_timeout);
  client->set_read_timeout(read_timeout);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  return client;
}

// Before a connection stands, no byte of a request has left.
bool HasNotLeft(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

// An answer as it comes in, over one or several transfers.
struct Reception {
  int status = 0;
  std::string content_type;
  std::string body;  // of an answer that is no stream
  EventSplitter splitter;
  ChatStream chat;
  uint64_t last_event = 0;  // by the ids of the engine; 0: it gives none
  bool is_whole = false;
  bool is_broken = false;  // torn, foreign or missing events
};

enum class Order { kNext, kDuplicate, kGap };

Order OrderOf(Reception& reception, const std::string& id) {
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(id.data(), id.data() + id.size(), number);
  if (id.empty() || error != std::errc() || end != id.data() + id.size()) {
    return Order::kNext;
  }
  if (number <= reception.last_event) {
    return Order::kDuplicate;
  }
  if (reception.last_event != 0 && number != reception.last_event + 1) {
    return Order::kGap;
  }
  reception.last_event = number;
  return Order::kNext;
}

// Takes one event of a stream; what the caller is to see is added to `relay`.
void TakeEvent(Reception& reception,
               const EndpointCall& call,
               const ServerSentEvent& event,
               std::string& relay) {
  const Order order = OrderOf(reception, event.id);
  if (order == Order::kDuplicate || reception.is_whole) {
    return;
  }
  if (order == Order::kGap) {
    reception.is_broken = true;
    return;
  }
  switch (AddChatEvent(reception.chat, event.data)) {
    case ChatEvent::kText:
      relay += "data: " + event.data + "\n\n";
      break;
    case ChatEvent::kUsage:
      if (call.work->wants_usage) {
        relay += "data: " + event.data + "\n\n";
      }
      break;
    case ChatEvent::kDone:
      reception.is_whole = !reception.chat.finish_reason.empty();
      reception.is_broken = !reception.is_whole;
      break;
    case ChatEvent::kError:
    case ChatEvent::kUnparsable:
    case ChatEvent::kOtherAnswer:
      reception.is_broken = true;
      break;
  }
}

bool TakeStreamBytes(Reception& reception,
                     const EndpointCall& call,
                     std::string_view bytes) {
  std::string relay;
  for (const ServerSentEvent& event : SplitEvents(reception.splitter, bytes)) {
    TakeEvent(reception, call, event, relay);
    if (reception.is_broken) {
      break;
    }
  }
  if (!relay.empty()) {
    call.stream->Relay(relay);
  }
  return !reception.is_broken;
}

bool IsStream(const Reception& reception, const EndpointCall& call) {
  return call.stream != nullptr && reception.status == kStatusOk &&
         reception.content_type.starts_with(kEventStream);
}

httplib::Request WithReceiver(httplib::Request request,
                              Reception& reception,
                              const EndpointCall& call) {
  request.response_handler = [&](const httplib::Response& response) {
    const std::string content_type = response.get_header_value("Content-Type");
    if (reception.last_event != 0) {  // only a stream goes on
      return response.status == kStatusOk &&
             content_type.starts_with(kEventStream);
    }
    reception.status = response.status;
    reception.content_type = content_type;
    // An engine that names the request it answers must name ours.
    const std::string answered = response.get_header_value("Request-Id");
    return answered.empty() || answered == call.request_id;
  };
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    const std::string_view bytes(data, size);
    if (call.stop->IsStopped()) {
      return false;
    }
    if (IsStream(reception, call)) {
      return TakeStreamBytes(reception, call, bytes);
    }
    reception.body += bytes;
    return true;
  };
  return request;
}

httplib::Request ChatRequestOf(const EndpointCall& call) {
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {{"Content-Type", kJson},
                     {"Request-Id", call.request_id},
                     {"Program", call.program},
                     {"Priority", std::to_string(call.priority)},
                     {"Fence", std::to_string(call.fence)}};
  request.body = BuildChatBody(call.work->body, call.messages, call.max_tokens,
                               call.stream != nullptr);
  return request;
}

httplib::Request ServiceRequestOf(const EndpointCall& call) {
  httplib::Request request;
  request.method = call.work->method;
  request.path = call.work->path;
  request.headers = {{"Request-Id", call.request_id},
                     {"Fence", std::to_string(call.fence)}};
  if (!call.work->content_type.empty()) {
    request.headers.emplace("Content-Type", call.work->content_type);
  }
  if (!call.work->idempotency_key.empty()) {
    request.headers.emplace("Idempotency-Key", call.work->idempotency_key);
  }
  request.body = call.work->body;
  return request;
}

httplib::Error Send(const EndpointCall& call,
                    httplib::Request request,
                    Reception& reception) {
  const auto client =
      Connect(call.address, call.connect_timeout, call.read_timeout);
  call.stop->Attach(client.get());
  const httplib::Result result =
      client->send(WithReceiver(std::move(request), reception, call));
  call.stop->Attach(nullptr);
  return result.error();
}

// A stream that broke goes on after the last event that came.
void Resume(const EndpointCall& call, Reception& reception) {
  for (int i = 0; i < kResumes && !reception.is_whole; ++i) {
    if (call.stop->IsStopped() || reception.last_event == 0) {
      return;
    }
    reception.is_broken = false;
    reception.splitter = {};
    httplib::Request request;
    request.method = "GET";
    request.path = fmt::format("/v1/requests/{}?from={}", call.request_id,
                               reception.last_event);
    request.headers = {{"Fence", std::to_string(call.fence)}};
    Send(call, std::move(request), reception);
  }
}

AttemptResult StreamResult(const EndpointCall& call, Reception& reception) {
  AttemptResult result;
  AssistantAnswer answer = FinishChatStream(reception.chat);
  result.usage = answer.usage;
  result.relayed = call.stream->HasStarted();
  if (!reception.is_whole) {
    result.kind = AttemptResult::Kind::kUnknown;
    result.usage.completion =
        std::max(result.usage.completion, reception.chat.chunks);
    return result;
  }
  result.kind = AttemptResult::Kind::kAnswered;
  result.status = kStatusOk;
  result.content_type = kJson;
  result.body = RenderChatAnswer(reception.chat, call.work->model);
  result.message = std::move(answer.message);
  return result;
}

AttemptResult WholeResult(const EndpointCall& call, Reception& reception) {
  AttemptResult result;
  result.kind = AttemptResult::Kind::kAnswered;
  result.status = static_cast<uint32_t>(reception.status);
  result.content_type = std::move(reception.content_type);
  result.body = std::move(reception.body);
  if (call.work->kind == CallKind::kChat && reception.status == kStatusOk) {
    auto answer = ParseChatAnswer(result.body);
    if (!answer) {
      result.kind = AttemptResult::Kind::kUnknown;
      return result;
    }
    result.message = std::move(answer->message);
    result.usage = answer->usage;
  }
  return result;
}

}  // namespace

void AttemptStop::Stop() {
  const std::lock_guard lock(this->mutex);
  this->stopped = true;
  if (this->client != nullptr) {
    this->client->stop();
  }
}

bool AttemptStop::IsStopped() const {
  const std::lock_guard lock(this->mutex);
  return this->stopped;
}

void AttemptStop::Attach(httplib::Client* running) {
  const std::lock_guard lock(this->mutex);
  this->client = running;
}

AttemptResult RunEndpointCall(const EndpointCall& call) {
  if (call.stop->IsStopped()) {
    return MakeAttemptResult(AttemptResult::Kind::kNotRun);
  }
  Reception reception;
  const bool is_chat = call.work->kind == CallKind::kChat;
  const httplib::Error error = Send(
      call, is_chat ? ChatRequestOf(call) : ServiceRequestOf(call), reception);
  if (HasNotLeft(error)) {
    return MakeAttemptResult(AttemptResult::Kind::kNotRun);
  }
  if (IsStream(reception, call)) {
    Resume(call, reception);
  }
  if (call.stop->IsStopped() && !reception.is_whole) {
    if (is_chat) {
      CancelRequest(call.address, call.request_id);
    }
    return MakeAttemptResult(AttemptResult::Kind::kCancelled);
  }
  if (IsStream(reception, call)) {
    return StreamResult(call, reception);
  }
  if (error != httplib::Error::Success) {
    return MakeAttemptResult(AttemptResult::Kind::kUnknown);
  }
  return WholeResult(call, reception);
}

bool ReleaseCache(const std::string& address, const std::string& name) {
  const auto client = Connect(address, kUpkeepTimeout, kUpkeepTimeout);
  const auto result = client->Delete("/cache/" + name);
  return result && result->status < 300;
}

std::optional<std::vector<std::string>> ListCache(const std::string& address) {
  const auto client = Connect(address, kUpkeepTimeout, kUpkeepTimeout);
  const auto result = client->Get("/cache");
  if (!result || result->status != kStatusOk) {
    return std::nullopt;
  }
  return ParseCacheNames(result->body);
}

bool CancelRequest(const std::string& address, const std::string& request_id) {
  const auto client = Connect(address, kUpkeepTimeout, kUpkeepTimeout);
  const auto result = client->Delete("/v1/requests/" + request_id);
  return result && result->status < 300;
}

}  // namespace celerykeel
