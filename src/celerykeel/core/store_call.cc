#include "celerykeel/core/store_call.h"

namespace celerykeel {

namespace {

struct Describer {
  std::string operator()(const Fenced& error) const {
    return "fenced by epoch " + std::to_string(error.epoch);
  }
  std::string operator()(const OutOfSequence& error) const {
    return "sequence " + std::to_string(error.expected) + " expected";
  }
  std::string operator()(const Expired& error) const {
    return "expired before offset " + std::to_string(error.first);
  }
  std::string operator()(const StoreRefused& error) const {
    return "refused with status " + std::to_string(error.status);
  }
  std::string operator()(const NoAnswer& error) const {
    return "no answer: " + error.reason;
  }
  std::string operator()(const BadAnswer& error) const {
    return "unreadable answer with status " + std::to_string(error.status);
  }
};

}  // namespace

std::string Describe(const StoreError& error) {
  return std::visit(Describer{}, error);
}

}  // namespace celerykeel
