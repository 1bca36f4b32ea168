// Parameters shared by several parts of the decision module; the others are defined where they are
// used.
#pragma once

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

using namespace std::chrono_literals;

// EWMA gain per answer: averages about the last 14 answers, as work varies widely.
constexpr double kLatencyGain = 0.07;
// Time constant for a customer's recent requests and usage at this gateway.
constexpr Duration kUsageMemory = 20s;
constexpr Duration kRateMemory = 4s;  // averaging time of this gateway's answer rate

}  // namespace petrelrail::policy
