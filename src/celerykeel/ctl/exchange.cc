#include "celerykeel/ctl/exchange.h"

#include <algorithm>           // for std::all_of
#include <condition_variable>  // for std::condition_variable
#include <mutex>               // for std::mutex
#include <utility>             // for std::move

namespace celerykeel {

struct Exchange::State {
  void OnMessage(const Peer& from, std::string_view bytes) {
    const std::lock_guard lock(this->mutex);
    for (size_t i = 0; i < this->questions.size(); ++i) {
      if (!this->answers[i] && this->questions[i].address == from.address &&
          this->questions[i].is_answer(bytes)) {
        this->answers[i] = std::string(bytes);
        this->answered.notify_all();
        return;
      }
    }
  }

  bool AllAnswered() const {
    return std::all_of(this->answers.begin(), this->answers.end(),
                       [](const auto& answer) { return answer.has_value(); });
  }

  std::mutex mutex;
  std::condition_variable answered;
  std::vector<Question> questions;
  std::vector<std::optional<std::string>> answers;
  uint64_t last_id = 0;
  std::unique_ptr<Messenger> messenger;  // last: its thread ends first
};

tl::expected<std::unique_ptr<Exchange>, MessengerError> Exchange::Create() {
  auto initial = std::make_unique<State>();
  State* const shared = initial.get();
  MessengerHandlers handlers;
  handlers.on_message = [shared](Messenger&, const Peer& from,
                                 std::string_view bytes) {
    shared->OnMessage(from, bytes);
  };
  auto messenger = Messenger::Create({}, std::move(handlers));
  if (!messenger) {
    return tl::unexpected(messenger.error());
  }
  initial->messenger = std::move(*messenger);
  return std::unique_ptr<Exchange>(new Exchange(std::move(initial)));
}

Exchange::Exchange(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

Exchange::~Exchange() = default;

uint64_t Exchange::NextId() {
  return ++this->state->last_id;
}

std::vector<std::optional<std::string>> Exchange::Ask(
    std::vector<Question> questions,
    Duration timeout) {
  std::unique_lock lock(this->state->mutex);
  this->state->answers.assign(questions.size(), std::nullopt);
  this->state->questions = std::move(questions);
  for (const Question& question : this->state->questions) {
    this->state->messenger->Send(PeerAt(question.address), question.payload);
  }
  this->state->answered.wait_for(lock, timeout,
                                 [&] { return this->state->AllAnswered(); });
  this->state->questions.clear();
  return std::move(this->state->answers);
}

}  // namespace celerykeel
