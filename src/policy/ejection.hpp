// Ejection times of servers and zones.
#pragma once

#include <algorithm>

#include "common/time_math.hpp"
#include "policy/decision_context.hpp"

namespace petrelrail::policy {

// Doubles with each further ejection until the server or zone answers.
constexpr Duration kFirstEjection = std::chrono::milliseconds(400);
// A longer ejection would waste the capacity of a recovered server.
constexpr Duration kMaxEjection = std::chrono::seconds(5);
constexpr double kEjectionJitter = 0.25;  // fraction by which an ejection time may vary

inline Duration next_ejection(Duration last) {
  return std::clamp(last * 2, kFirstEjection, kMaxEjection);
}

inline Duration with_jitter(Duration ejection, DecisionContext& context) {
  return scaled(ejection, 1 - kEjectionJitter + 2 * kEjectionJitter * context.random());
}

}  // namespace petrelrail::policy
