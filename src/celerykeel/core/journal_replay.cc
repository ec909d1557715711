#include "celerykeel/core/journal_replay.h"

#include <algorithm>  // for std::max, std::min
#include <utility>    // for std::move

namespace celerykeel {

namespace {

const ProgramName& NameOf(const CallIntent& intent) {
  return intent.key.program;
}
const ProgramName& NameOf(const CallRecord& record) {
  return record.key.program;
}
const ProgramName& NameOf(const ProgramState& state) {
  return state.name;
}
const ProgramName& NameOf(const ProgramEnd& end) {
  return end.program;
}

bool IsChat(const CallRecord& record) {
  return !record.new_messages.empty();
}

// The engine's token count of a call's prompt and answer equals that of the
// history after the call.
void CountHistory(Program& program, const CallRecord& record) {
  if (IsChat(record)) {
    program.history_tokens = record.usage.prompt + record.usage.completion;
    program.counted_messages = program.messages.size();
  }
}

void Take(ProgramFamily& family, Program& program, const CallIntent& intent) {
  program.open_intent = intent;
  family.version = intent.version;
}

void Take(ProgramFamily& family, Program& program, const CallRecord& record) {
  family.version = record.version;
  family.budget = record.budget;
  family.tokens_used += record.usage.prompt + record.usage.completion;
  family.last_used_at = std::max(family.last_used_at, record.finished_at);
  if (family.started_at == 0 || record.started_at < family.started_at) {
    family.started_at = record.started_at;
  }
  program.open_intent.reset();
  if (record.state == CallState::kFailed) {
    return;
  }
  program.has_gap |= record.key.call != program.next_call;
  program.messages.insert(program.messages.end(), record.new_messages.begin(),
                          record.new_messages.end());
  CountHistory(program, record);
  program.calls[record.key.call] = std::make_shared<const CallRecord>(record);
  program.next_call = record.key.call + 1;
  ++family.calls_used;
}

void Take(ProgramFamily& family, Program& program, const ProgramState& state) {
  family.version = state.version;
  family.budget = state.budget;
  family.tokens_used = state.tokens_used;
  family.calls_used = state.calls_used;
  family.started_at = state.started_at;
  family.last_used_at = std::max(family.last_used_at, state.last_used_at);
  // An intent stays open, because a state can be written while the call runs.
  Program fresh;
  fresh.name = state.name;
  fresh.ended = state.ended;
  fresh.messages = state.messages;
  fresh.open_intent = std::move(program.open_intent);
  for (const CallRecord& record : state.calls) {
    fresh.calls[record.key.call] = std::make_shared<const CallRecord>(record);
    fresh.next_call = record.key.call + 1;
    CountHistory(fresh, record);
  }
  program = std::move(fresh);
}

void Take(ProgramFamily& family, Program& program, const ProgramEnd& end) {
  program.ended = true;
  family.version = end.version;
}

// The program states of one handover share a version, so an equal version is
// applied too.
bool IsNew(const ProgramFamily& family, const ProgramState& state) {
  return state.version >= family.version;
}

template <typename Record>
bool IsNew(const ProgramFamily& family, const Record& record) {
  return record.version > family.version;
}

}  // namespace

void Replay(ReplayedFamilies& images, const JournalRecord& record) {
  std::visit(
      [&](const auto& kind) {
        const ProgramName& name = NameOf(kind);
        const ProgramName root{name.team, std::string(RootOf(name.id))};
        ProgramFamily& family = images[root];
        if (!IsNew(family, kind)) {
          return;
        }
        family.root = root;
        Program& program = family.programs[name.id];
        program.name = name;
        Take(family, program, kind);
      },
      record);
}

void Merge(ReplayedFamilies& images, ReplayedFamilies other) {
  for (auto& entry : other) {
    ProgramFamily& kept = images[entry.first];
    if (kept.root.id.empty() || kept.version < entry.second.version) {
      kept = std::move(entry.second);
    }
  }
}

}  // namespace celerykeel
