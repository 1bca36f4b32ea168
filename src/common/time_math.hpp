// Arithmetic on durations.
#pragma once

#include <chrono>

#include "petrelrail/types.hpp"

namespace petrelrail {

inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

inline Duration from_seconds(double value) {
  constexpr double kNanosecondsPerSecond = std::nano::den;
  return Duration(static_cast<Duration::rep>(value * kNanosecondsPerSecond));
}

inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace petrelrail
