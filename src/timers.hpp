// Alarms of requests, and the one timer of the host that is set for what comes next. What an alarm is for and
// when it is due is decided in src/policy/.
#pragma once

#include <set>

#include "turn.hpp"

namespace petrelrail::policy {

class Timers {
 public:
  explicit Timers(Turn& turn) : turn_(turn) {}

  std::size_t alarms() const { return alarms_.size(); }

  // `alarm` is the request's own note of when it is due; max: not at all.
  void set(RequestId id, Time& alarm, Time at) {
    if (alarm != Time::max()) alarms_.erase({alarm, id});
    alarm = at;
    if (at != Time::max()) alarms_.insert({at, id});
  }

  // The request whose alarm is due first, for as long as one is.
  std::optional<RequestId> due() const {
    if (alarms_.empty() || alarms_.begin()->first > turn_.now) return std::nullopt;
    return alarms_.begin()->second;
  }

  void fired(TimerId timer) {
    if (timer == TimerId(timers_)) armed_ = {};  // also when a coarser clock brings it a hair early
  }

  // Sets the host's timer for the first alarm or for `next`, whichever is sooner; max: for neither.
  void arm(Time next) {
    if (!alarms_.empty()) next = std::min(next, alarms_.begin()->first);
    if (next == Time::max() || (armed_ > turn_.now && armed_ <= next)) return;
    armed_ = next;
    turn_.out.push_back(SetTimer{TimerId(++timers_), std::max(next - turn_.now, Duration(1))});
  }

 private:
  Turn& turn_;
  std::set<std::pair<Time, RequestId>> alarms_;
  Time armed_{};
  std::uint64_t timers_ = 0;
};

}  // namespace petrelrail::policy
