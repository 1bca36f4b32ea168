// State shared by the parts of the decision module while an event is handled. Makes no decisions.
#pragma once

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "petrelrail/gateway.hpp"

namespace petrelrail {

struct DecisionContext {
  Settings settings;
  const ConnectionView* connection_view = nullptr;  // null: connections are unknown
  std::mt19937_64 random_engine{};
  Time now{};
  std::vector<Action> actions{};  // result of the event being handled

  // Uniformly distributed in [0, 1).
  double random() { return static_cast<double>(random_engine() >> 11U) * 0x1.0p-53; }
  void log(std::string text) { actions.emplace_back(Log{std::move(text)}); }
};

}  // namespace petrelrail
