#include <string>   // for std::string, std::to_string
#include <variant>  // for std::visit

#include "celerykeel/core/ticket_check.h"

namespace celerykeel {

namespace {

struct Render {
  std::string operator()(const NumberTaken& refusal) const {
    return "number " + std::to_string(refusal.number) +
           " is taken; issue the ticket again under a new, higher number";
  }
  std::string operator()(const NumberTooOld& refusal) const {
    return "number " + std::to_string(refusal.number) +
           " is too old; take a number above " + std::to_string(refusal.floor);
  }
  std::string operator()(const StaleTicket& refusal) const {
    return refusal.object + " was set by ticket " +
           std::to_string(refusal.in_force) + ", newer than " +
           std::to_string(refusal.number) +
           "; look at what is in force and issue the change under a number "
           "above " +
           std::to_string(refusal.in_force);
  }
  std::string operator()(const UnknownReference& refusal) const {
    return refusal.field + " names " + refusal.object +
           ", which is not in force; correct the name, or add the object to "
           "the ticket";
  }
  std::string operator()(const StillReferenced& refusal) const {
    return refusal.field + " takes away " + refusal.object + ", but " +
           refusal.by + " still names it; change or remove " + refusal.by +
           " in the same ticket";
  }
  std::string operator()(const InvalidField& refusal) const {
    return refusal.field + " must be " + refusal.wanted;
  }
  std::string operator()(const NamedTwice& refusal) const {
    return refusal.field + " names " + refusal.object +
           " a second time; leave one of them";
  }
  std::string operator()(const EmptyTicket&) const {
    return "the ticket names no object; add what it is to change";
  }
};

struct Field {
  std::string operator()(const NumberTaken&) const { return "number"; }
  std::string operator()(const NumberTooOld&) const { return "number"; }
  std::string operator()(const EmptyTicket&) const { return ""; }
  template <typename T>
  std::string operator()(const T& refusal) const {
    return refusal.field;
  }
};

struct Kind {
  std::string operator()(const NumberTaken&) const { return "number_taken"; }
  std::string operator()(const NumberTooOld&) const { return "number_too_old"; }
  std::string operator()(const StaleTicket&) const { return "stale_ticket"; }
  std::string operator()(const UnknownReference&) const {
    return "unknown_reference";
  }
  std::string operator()(const StillReferenced&) const {
    return "still_referenced";
  }
  std::string operator()(const InvalidField&) const { return "invalid_field"; }
  std::string operator()(const NamedTwice&) const { return "named_twice"; }
  std::string operator()(const EmptyTicket&) const { return "empty_ticket"; }
};

}  // namespace

std::string RenderRefusal(const TicketRefusal& refusal) {
  return std::visit(Render{}, refusal);
}

std::string FieldOf(const TicketRefusal& refusal) {
  return std::visit(Field{}, refusal);
}

std::string KindOf(const TicketRefusal& refusal) {
  return std::visit(Kind{}, refusal);
}

}  // namespace celerykeel
