// Exponentially decaying event counter.
#pragma once

#include <cmath>

#include "common/time_math.hpp"

namespace petrelrail {

// An event's weight decays to e^-1 after `span`.
struct DecayingCounter {
  double value = 0;
  Time updated{};  // the time as of which `value` holds

  double count(Time now, Duration span) const {
    return value * std::exp(-seconds(now - updated) / seconds(span));
  }
  // Returns events per second.
  double rate(Time now, Duration span) const { return count(now, span) / seconds(span); }
  void add(Time now, Duration span, double events = 1) {
    value = count(now, span) + events;
    updated = now;
  }
};

}  // namespace petrelrail
