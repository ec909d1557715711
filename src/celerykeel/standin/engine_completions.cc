#include <httplib.h>  // for httplib::Server

#include <algorithm>  // for std::max
#include <charconv>   // for std::from_chars
#include <chrono>     // for std::chrono::milliseconds
#include <memory>     // for std::shared_ptr
#include <optional>   // for std::optional
#include <string>     // for std::string

#include <fmt/format.h>  // for fmt::format
#include <xxhash.h>      // for XXH3_64bits

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/standin/chat.h"          // for ParseChat
#include "celerykeel/standin/credentials.h"   // for HasCredential
#include "celerykeel/standin/engine_state.h"  // for EngineState
#include "celerykeel/standin/fault_count.h"   // for TakeOne
#include "celerykeel/standin/tokens.h"        // for CountTokens, HashBlocks

namespace celerykeel {

namespace {

using httplib::Request;
using httplib::Response;

constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(100);
constexpr char kNoProgram[] = "unnamed";
constexpr char kCancelledEvent[] =
    "data: {\"error\":{\"type\":\"cancelled\","
    "\"message\":\"the request was cancelled\"}}\n\n";

// One reader's place in a streamed answer.
struct StreamCursor {
  std::string id;
  uint64_t next_event = 1;
  uint64_t sent = 0;  // events
  bool with_usage = true;
  std::optional<StreamEnd> early_end;
};

struct PendingEvents {
  std::string text;
  bool is_last = false;    // the answer is complete
  bool is_broken = false;  // a fault ends the stream here
};

int64_t PriorityOf(const Request& request) {
  const std::string text = request.get_header_value("Priority");
  int64_t priority = 0;
  std::from_chars(text.data(), text.data() + text.size(), priority);
  return priority;
}

std::string ProgramOf(const Request& request) {
  const std::string program = request.get_header_value("Program");
  return program.empty() ? kNoProgram : program;
}

uint64_t DigestOf(const Chat& chat) {
  return XXH3_64bits(chat.prompt.data(), chat.prompt.size());
}

void StartRequest(EngineState& state,
                  const Request& request,
                  const Chat& chat,
                  const std::string& id) {
  EngineRequest started;
  started.answer = MakeAnswer(chat, id);
  started.prompt_digest = DigestOf(chat);
  started.usage.prompt_tokens = CountTokens(chat.prompt);
  started.usage.completion_tokens = started.answer.tokens.size();
  std::string whole = chat.prompt;
  for (const std::string& token : started.answer.tokens) {
    whole += token;
  }
  EngineWork work{.id = id,
                  .program = ProgramOf(request),
                  .priority = PriorityOf(request),
                  .prompt_tokens = started.usage.prompt_tokens,
                  .answer_tokens = started.usage.completion_tokens,
                  .blocks = HashBlocks(whole)};
  StartRecord(state.book, id, std::move(started), Now());
  CountCall(state.runs, id);
  Submit(state.batcher, std::move(work));
  PublishChanges(state, {}, Now());
  state.work_added.notify_all();
}

// Joins the request of this id or starts it; false if it was refused.
bool FindOrStart(EngineState& state,
                 const Request& request,
                 Response& response,
                 const Chat& chat,
                 const std::string& id) {
  if (!chat.model.empty() && !IsServed(state.orders, chat.model, Now())) {
    RefuseRequest(response, 404, "model_not_found", "not loaded here");
    return false;
  }
  if (!PassFence(state, request, response)) {
    return false;
  }
  const EngineRequest* const known = FindRequest(state.book, id);
  if (known == nullptr || known->state == RequestState::kCancelled) {
    StartRequest(state, request, chat, id);
    return true;
  }
  if (known->prompt_digest != DigestOf(chat)) {
    RefuseRequest(response, 409, "conflict",
                  "another prompt came with this Request-Id");
    return false;
  }
  return true;
}

// Takes what may be read by now, with the faults that a test asked for.
PendingEvents TakeEvents(EngineState& state,
                         const EngineRequest& request,
                         StreamCursor& cursor) {
  PendingEvents pending;
  const uint64_t last = request.answer.tokens.size() + 1;
  const bool is_finished = request.state == RequestState::kFinished;
  const uint64_t readable = is_finished ? last : request.produced;
  for (; cursor.next_event <= readable; ++cursor.next_event) {
    const std::string event = RenderEvent(request.answer, request.usage,
                                          cursor.with_usage, cursor.next_event);
    if (cursor.early_end && cursor.sent >= cursor.early_end->after) {
      pending.is_broken = true;
      if (cursor.early_end->is_torn) {
        pending.text += event.substr(0, event.size() / 2);
      }
      return pending;
    }
    pending.text += event;
    if (TakeOne(state.faults.duplicated_events)) {
      pending.text += event;
    }
    ++cursor.sent;
  }
  pending.is_last = is_finished;
  return pending;
}

void ForgetRequest(EngineState& state, const std::string& id) {
  CancelRequest(state, id, Now());
  EndRequest(state.book, id, RequestState::kCancelled);
  state.book.requests.erase(id);
}

bool WriteText(httplib::DataSink& sink, std::string_view text) {
  return text.empty() || sink.write(text.data(), text.size());
}

// Writes what there is of a stream; false ends the connection.
bool WriteStream(EngineState& state,
                 StreamCursor& cursor,
                 httplib::DataSink& sink) {
  EngineLock lock(state.mutex);
  const EngineRequest* request = FindRequest(state.book, cursor.id);
  if (request != nullptr && request->state == RequestState::kUnderWay &&
      request->produced < cursor.next_event) {
    state.progressed.wait_for(lock, kCallerCheckInterval);
    request = FindRequest(state.book, cursor.id);
  }
  if (state.stopping || request == nullptr) {
    return false;
  }
  if (request->state == RequestState::kCancelled) {
    lock.unlock();
    const bool is_written = WriteText(sink, kCancelledEvent);
    sink.done();
    return is_written;
  }
  const PendingEvents pending = TakeEvents(state, *request, cursor);
  if (pending.is_broken && cursor.early_end->forgets_request) {
    ForgetRequest(state, cursor.id);
  }
  state.counts.answers += pending.is_last ? 1 : 0;
  if (pending.is_last) {
    state.progressed.notify_all();
  }
  lock.unlock();
  if (!WriteText(sink, pending.text) || pending.is_broken ||
      !sink.is_writable()) {
    return false;
  }
  if (pending.is_last) {
    sink.done();
  }
  return true;
}

void Stream(EngineState& state, Response& response, StreamCursor first) {
  AddReader(state.book, first.id);
  auto cursor = std::make_shared<StreamCursor>(std::move(first));
  cursor->early_end = TakeStreamEnd(state.faults);
  response.set_chunked_content_provider(
      "text/event-stream",
      [&state, cursor](size_t, httplib::DataSink& sink) {
        return WriteStream(state, *cursor, sink);
      },
      [&state, cursor](bool) {
        const EngineLock lock(state.mutex);
        RemoveReader(state.book, cursor->id, Now());
      });
}

// What tells a request apart from those before it.
struct Arrival {
  uint64_t number = 0;   // from 1
  uint64_t answers = 0;  // sent before it came
};

// Every other answer waits until one was sent since its request came.
void CrossAsAsked(EngineState& state,
                  EngineLock& lock,
                  const Arrival& arrival) {
  if (arrival.number % 2 == 0) {
    return;
  }
  state.progressed.wait_for(lock, state.faults.crossing, [&] {
    return state.stopping || state.counts.answers != arrival.answers;
  });
}

bool IsUnderWay(EngineState& state, const std::string& id) {
  const EngineRequest* const request = FindRequest(state.book, id);
  return request != nullptr && request->state == RequestState::kUnderWay;
}

// Waits until the request ended or its caller went away.
void WaitForEnd(EngineState& state,
                EngineLock& lock,
                const Request& request,
                const std::string& id) {
  const auto connection = FindConnection(request);
  while (!state.stopping && IsUnderWay(state, id)) {
    state.progressed.wait_for(lock, kCallerCheckInterval);
    if (!connection || CallerHasGone(*connection)) {
      return;
    }
  }
}

void AnswerWhole(EngineState& state,
                 EngineLock& lock,
                 const Request& request,
                 Response& response,
                 const std::string& id,
                 const Arrival& arrival) {
  AddReader(state.book, id);
  WaitForEnd(state, lock, request, id);
  CrossAsAsked(state, lock, arrival);
  RemoveReader(state.book, id, Now());
  const EngineRequest* const ended = FindRequest(state.book, id);
  if (ended == nullptr || ended->state == RequestState::kCancelled) {
    return RefuseRequest(response, 410, "cancelled",
                         "the request was cancelled");
  }
  if (ended->state == RequestState::kUnderWay ||
      TakeOne(state.faults.lost_answers)) {
    return CloseConnection(request);
  }
  response.set_content(RenderWhole(ended->answer, ended->usage), kJsonType);
  ++state.counts.answers;
  state.progressed.notify_all();
}

void Complete(EngineState& state, const Request& request, Response& response) {
  const auto chat = ParseChat(request.body);
  EngineLock lock(state.mutex);
  const Arrival arrival{.number = ++state.counts.requests,
                        .answers = state.counts.answers};
  state.counts.credentials += HasCredential(request) ? 1 : 0;
  DelayAsAsked(state, lock);
  if (!chat) {
    return RefuseRequest(response, 400, "bad_request", chat.error().detail);
  }
  const std::string id = request.has_header("Request-Id")
                             ? request.get_header_value("Request-Id")
                             : fmt::format("unnamed-{}", arrival.number);
  response.set_header("Request-Id", id);
  if (!FindOrStart(state, request, response, *chat, id)) {
    return;
  }
  if (!chat->stream) {
    return AnswerWhole(state, lock, request, response, id, arrival);
  }
  StreamCursor cursor;
  cursor.id = id;
  Stream(state, response, std::move(cursor));
  CrossAsAsked(state, lock, arrival);
}

void Resume(EngineState& state, const Request& request, Response& response) {
  StreamCursor cursor;
  cursor.id = request.matches[1].str();
  cursor.next_event = std::max<uint64_t>(QueryNumber(request, "from", 1), 1);
  response.set_header("Request-Id", cursor.id);
  const EngineLock lock(state.mutex);
  const EngineRequest* const known = FindRequest(state.book, cursor.id);
  if (known == nullptr) {
    return RefuseRequest(response, 404, "unknown_request", "not known here");
  }
  if (known->state == RequestState::kCancelled) {
    return RefuseRequest(response, 410, "cancelled",
                         "the request was cancelled");
  }
  Stream(state, response, std::move(cursor));
}

void CancelByCaller(EngineState& state,
                    const Request& request,
                    Response& response) {
  const std::string id = request.matches[1].str();
  const EngineLock lock(state.mutex);
  if (FindRequest(state.book, id) == nullptr) {
    return RefuseRequest(response, 404, "unknown_request", "not known here");
  }
  CancelRequest(state, id, Now());
  response.status = 204;
}

}  // namespace

void AddCompletionRoutes(EngineState& state, httplib::Server& server) {
  constexpr char kRequest[] = R"(/v1/requests/(.+))";
  server.Post("/v1/chat/completions",
              [&state](const Request& request, Response& response) {
                Complete(state, request, response);
              });
  server.Get(kRequest, [&state](const Request& request, Response& response) {
    Resume(state, request, response);
  });
  server.Delete(kRequest, [&state](const Request& request, Response& response) {
    CancelByCaller(state, request, response);
  });
}

}  // namespace celerykeel
