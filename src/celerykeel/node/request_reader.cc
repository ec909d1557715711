#include "celerykeel/node/request_reader.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>  // for std::count_if, std::max, std::min
#include <iterator>   // for std::distance
#include <stdexcept>  // for std::length_error
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"      // for Now
#include "celerykeel/node/call_path.h"  // for CheckHead
#include "celerykeel/node/node.h"       // for Node
#include "platform/headers.h"           // for platform::DecodeRequest

namespace celerykeel {

namespace {

namespace http = boost::beast::http;
using RequestParser = http::request_parser<http::string_body>;
using TimePoint = asio::steady_timer::time_point;

constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
// The parser needs all of a chunk's size line, or of the trailer, in one
// buffer. Added to the limit for the head.
constexpr size_t kChunkLineBytes = 16384;
// Of the connection, the parser and the coroutines.
constexpr size_t kRequestBaseBytes = 8192;
// A parsed field takes up to 20 times its bytes if it is empty, and 4 times if
// it has an ordinary length.
constexpr size_t kHeadMemoryFactor = 4;
constexpr size_t kHeadReadBytes = 2048;
constexpr int kMaxDraining = 8;  // connections of an address
constexpr size_t kBodyReadBytes = 16384;

// Returns true if the body has a transfer coding other than chunked. Like two
// length headers, an unknown coding could smuggle a second request past this
// instance. Beast itself refuses two length headers.
bool HasAmbiguousLength(const http::request<http::string_body>& message) {
  const auto coding = message[http::field::transfer_encoding];
  return !coding.empty() && !boost::beast::iequals(coding, "chunked");
}

size_t CountFields(const http::request<http::string_body>& message) {
  return static_cast<size_t>(std::distance(message.begin(), message.end()));
}

bool IsHttpError(const ErrorCode& error) {
  return error.category() ==
         make_error_code(http::error::end_of_stream).category();
}

// State of a request that is being read.
struct Reading {
  Reading(Node& of_node, CallerStreamPtr from)
      : node(of_node), caller(std::move(from)) {
    if (this->node.deployment != nullptr) {
      this->limits = this->node.deployment->limits;
    }
    this->parser.header_limit(static_cast<uint32_t>(this->limits.header_bytes) +
                              1024);
    this->parser.body_limit(this->limits.body_bytes);
    this->parser.eager(false);
    auto& buffer = this->caller->buffer;
    buffer.max_size(
        std::max(this->limits.header_bytes + kChunkLineBytes, buffer.size()));
  }

  Node& node;
  CallerStreamPtr caller;
  CallerLimits limits;
  RequestParser parser;
  size_t head_bytes = 0;     // parsed so far
  bool needs_bytes = false;  // those in the buffer are no complete element
  ErrorCode error;
  bool is_out_of_memory = false;
};

size_t HeadMemory(const Reading& reading) {
  return kRequestBaseBytes +
         kHeadMemoryFactor *
             (reading.head_bytes + reading.caller->buffer.size());
}

// Counts the memory of the request. @return false if it must end.
bool Count(Reading& reading) {
  CallerStream& caller = *reading.caller;
  if (caller.closed_for_memory ||
      !caller.memory->Resize(HeadMemory(reading) +
                             reading.parser.get().body().size())) {
    reading.is_out_of_memory = true;
  }
  return !reading.is_out_of_memory;
}

bool NeedsBytes(const Reading& reading) {
  return reading.needs_bytes || reading.caller->buffer.size() == 0;
}

// Beast throws for a field that is longer than its fields take, which the limit
// for the head may allow.
size_t Parse(RequestParser& parser,
             const boost::beast::flat_buffer& buffer,
             ErrorCode& error) try {
  return parser.put(buffer.data(), error);
} catch (const std::length_error&) {
  error = http::error::header_limit;
  return 0;
}

// Parses what has been read, and reads before if that is not enough. Beast's
// own operations read until a head or a chunk's header is complete, however
// slowly it arrives.
Task<> ParseMore(Reading& reading, size_t most_bytes) {
  auto& buffer = reading.caller->buffer;
  if (NeedsBytes(reading)) {
    const size_t room = std::min(most_bytes, buffer.max_size() - buffer.size());
    if (room == 0) {
      reading.error = http::error::buffer_overflow;
      co_return;
    }
    const size_t count = co_await reading.caller->stream.async_read_some(
        buffer.prepare(room), Into(reading.error));
    if (reading.error) {
      co_return;
    }
    buffer.commit(count);
  }
  const bool is_head = !reading.parser.is_header_done();
  const size_t parsed = Parse(reading.parser, buffer, reading.error);
  buffer.consume(parsed);
  reading.head_bytes += is_head ? parsed : 0;
  reading.needs_bytes = reading.error == http::error::need_more;
  if (reading.needs_bytes) {
    reading.error = {};
  }
}

Task<> ReadHead(Reading& reading) {
  CallerStream& caller = *reading.caller;
  bool has_begun = caller.buffer.size() > 0;
  SetReadDeadline(reading.caller,
                  Until(has_begun ? reading.limits.header_timeout
                                  : reading.limits.idle_timeout));
  while (!reading.parser.is_header_done() && !reading.error) {
    co_await ParseMore(reading, kHeadReadBytes);
    if (reading.error && caller.memory == nullptr) {
      break;  // the connection was idle
    }
    if (!has_begun) {
      has_begun = true;
      SetReadDeadline(reading.caller, Until(reading.limits.header_timeout));
    }
    if (caller.memory == nullptr) {
      caller.memory = std::make_unique<HeldMemory>(reading.node.request_memory,
                                                   reading.caller);
    }
    if (!Count(reading)) {
      break;
    }
  }
}

// Time by which the body must have made more progress: a grace, and the time
// that its bytes take at the lowest rate.
TimePoint BodyDeadline(const Reading& reading, TimePoint began) {
  const double seconds =
      static_cast<double>(reading.parser.get().body().size()) /
      static_cast<double>(reading.node.options.min_body_bytes_per_second);
  return began + ToSteadyDuration(reading.limits.header_timeout * 2) +
         std::chrono::duration_cast<asio::steady_timer::duration>(
             std::chrono::duration<double>(seconds));
}

Task<> ReadBody(Reading& reading) {
  CallerStream& caller = *reading.caller;
  const TimePoint began = asio::steady_timer::clock_type::now();
  caller.memory->SetClosable(true);
  while (!reading.parser.is_done() && !reading.error) {
    if (NeedsBytes(reading)) {
      if (!Count(reading)) {
        co_return;
      }
      SetReadDeadline(reading.caller, BodyDeadline(reading, began));
    }
    co_await ParseMore(reading, kBodyReadBytes);
  }
  Count(reading);
}

std::optional<CallRefusal> RefusalOf(const Reading& reading) {
  const ErrorCode& error = reading.error;
  if (reading.is_out_of_memory || reading.caller->closed_for_memory) {
    return kNoMemory;
  }
  if (reading.caller->read_timed_out) {
    if (reading.caller->memory == nullptr) {
      return std::nullopt;  // the connection was idle
    }
    return CallRefusal{kTimeout, "not run: the request arrives too slowly", {}};
  }
  if (error == http::error::body_limit) {
    return CallRefusal{kTooLarge, "the body is too long", {}};
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return reading.parser.is_header_done()
               ? CallRefusal{kBadRequest, "a chunk's header is too long", {}}
               : CallRefusal{kHeadTooLarge, "the header is too long", {}};
  }
  if (IsHttpError(error)) {
    return CallRefusal{kBadRequest, "the request can't be read", {}};
  }
  return std::nullopt;
}

std::string_view LimitOf(const CallRefusal& refusal) {
  switch (refusal.status) {
    case kTimeout:
      return "progress";
    case kTooLarge:
      return "body size";
    case kHeadTooLarge:
      return "header size";
    case kUnavailable:
      return "memory";
    default:
      return "syntax";
  }
}

// Frees what the request holds before the connection is drained.
void Drop(Reading& reading) {
  reading.caller->memory.reset();
  reading.caller->busy = false;
  std::string().swap(reading.parser.get().body());
}

// Connections that wait for the end of a refused body are limited for each
// address, as callers may open them as fast as they are refused.
Task<> DrainIfAllowed(Reading& reading) {
  const auto& callers = reading.node.callers;
  const auto draining = std::count_if(
      callers.begin(), callers.end(), [&](const CallerStreamPtr& other) {
        return other->is_draining && other->address == reading.caller->address;
      });
  if (draining < kMaxDraining) {
    co_await CloseAfterRefusal(reading.caller, reading.limits.body_bytes);
  }
}

Task<> RefuseUnread(Reading& reading, CallRefusal refusal) {
  CallerStream& caller = *reading.caller;
  RecordCallerLimit(reading.node, caller, LimitOf(refusal));
  CountRefusal(reading.node.metrics, refusal.status, refusal.reason);
  Drop(reading);
  caller.closed_for_memory = false;
  caller.keep_alive = false;
  co_await SendRefusal(reading.caller, refusal);
  co_await DrainIfAllowed(reading);
}

// Copies the head: the parser still needs its own for the body. Fields of a
// trailer are not part of it, and are dropped.
CallRequest CopyHead(const RequestParser& parser) {
  CallRequest request;
  const auto& message = parser.get();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  platform::DecodeRequest(request);
  return request;
}

// Returns true if no further bytes are needed for the body.
bool HasArrived(const Reading& reading) {
  const auto left = reading.parser.content_length_remaining();
  return reading.parser.is_done() ||
         (left && *left <= reading.caller->buffer.size());
}

std::optional<CallRefusal> RefusalOfMessage(const Reading& reading) {
  const auto& message = reading.parser.get();
  if (CountFields(message) > reading.node.options.max_header_fields) {
    return CallRefusal{kHeadTooLarge, "the header has too many fields", {}};
  }
  if (HasAmbiguousLength(message)) {
    return CallRefusal{kBadRequest, "the body's length is ambiguous", {}};
  }
  return std::nullopt;
}

bool ExpectsContinue(const RequestParser& parser) {
  return boost::beast::iequals(parser.get()[http::field::expect],
                               "100-continue");
}

Task<> SendContinue(Reading& reading) {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  CallerStream& caller = *reading.caller;
  caller.stream.expires_after(ToSteadyDuration(reading.limits.header_timeout));
  co_await asio::async_write(caller.stream,
                             asio::buffer(kContinue.data(), kContinue.size()),
                             Into(reading.error));
  caller.stream.expires_never();
}

// An instance that has just started has no configuration for some 100 ms, and
// most callers return only once. Waits for it for a third of the caller's time.
Task<> AwaitConfiguration(Node& node, CallHeaderValues& header_values) {
  constexpr Duration kLongestWait = std::chrono::seconds(1);
  constexpr Duration kPollInterval = std::chrono::milliseconds(20);
  constexpr int kWaitDivisor = 3;
  const Duration began = Now();
  const Duration until =
      began +
      std::min(kLongestWait,
               header_values.time_left.value_or(kLongestWait) / kWaitDivisor);
  while (!HasConfiguration(node) && Now() + kPollInterval < until) {
    co_await Sleep(node.io, kPollInterval);
  }
  if (header_values.time_left) {
    *header_values.time_left -= Now() - began;
  }
}

}  // namespace

Task<std::optional<CallRequest>> ReadRequest(Node& node,
                                             CallerStreamPtr caller) {
  Reading reading(node, caller);
  co_await ReadHead(reading);
  std::optional<CallRefusal> refusal = RefusalOf(reading);
  if (!refusal && !reading.error) {
    refusal = RefusalOfMessage(reading);
  }
  if (refusal || reading.error) {
    if (refusal) {
      co_await RefuseUnread(reading, *refusal);
    }
    co_return std::nullopt;
  }
  caller->busy = true;
  const auto call = std::make_shared<Call>();
  call->request = CopyHead(reading.parser);
  call->caller = caller;
  call->arrived_at = Now();
  if (!HasConfiguration(node)) {
    co_await AwaitConfiguration(node, call->request.header_values);
  }
  refusal = CheckHead(node, *call);
  if (refusal && !HasArrived(reading)) {
    // A caller without a valid key never makes this instance hold a body.
    caller->keep_alive = false;
    Drop(reading);
    co_await Refuse(node, call, *refusal);
    co_await DrainIfAllowed(reading);
    co_return std::nullopt;
  }
  if (call->team != nullptr) {
    caller->memory->SetTeam(call->team->name);
  }
  if (!refusal && ExpectsContinue(reading.parser) && !HasArrived(reading)) {
    co_await SendContinue(reading);
  }
  co_await ReadBody(reading);
  SetReadDeadline(caller, CallerStream::kNoDeadline);
  refusal = RefusalOf(reading);
  if (refusal || reading.error) {
    if (refusal) {
      co_await RefuseUnread(reading, *refusal);
    }
    co_return std::nullopt;
  }
  // From now on the request may run.
  caller->memory->SetClosable(false);
  caller->keep_alive = reading.parser.get().keep_alive() && !node.stopping;
  call->request.body = std::move(reading.parser.get().body());
  std::optional<CallRequest> request = std::move(call->request);
  co_return request;
}

}  // namespace celerykeel
