// Limits how often the changes of one state are logged: after a few, a state that flips is reported
// once in a while, with the number of changes in between.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

template <class State>
class TransitionLog {
 public:
  struct Report {
    State state{};
    std::uint64_t unreported = 0;  // changes before this one that were not reported
  };

  explicit TransitionLog(State initial) : state_(initial), reported_(initial) {}

  // To be called after each change, and from time to time. Returns what is to be logged now.
  std::optional<Report> update(Time now, State state) {
    if (state != std::exchange(state_, state)) ++changes_;
    if (state_ == reported_) return std::nullopt;
    // Each report delays the next ones by an interval, beyond a burst.
    const Time earliest = std::max(report_credit_time_, now - kBurstReports * kReportInterval);
    if (earliest > now - kReportInterval) return std::nullopt;
    report_credit_time_ = earliest + kReportInterval;
    reported_ = state_;
    return Report{state_, std::exchange(changes_, 0) - 1};
  }

 private:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr int kBurstReports = 4;

  State state_, reported_;
  std::uint64_t changes_ = 0;  // since the last report
  Time report_credit_time_ = Time::min();
};

}  // namespace petrelrail::policy
