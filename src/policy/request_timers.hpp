// Deadlines of requests, and the single host timer that is armed for the earliest of them. The
// meaning of a deadline is up to the caller.
#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "policy/decision_context.hpp"

namespace petrelrail::policy {

class RequestTimers {
 public:
  explicit RequestTimers(DecisionContext& context) : context_(context) {}

  std::size_t size() const { return deadlines_.size(); }

  // Sets or moves a request's deadline. `timer_deadline` is the request's record of it; Time::max()
  // means none.
  void set(RequestId id, Time& timer_deadline, Time due) {
    if (timer_deadline != Time::max()) deadlines_.erase({timer_deadline, id});
    timer_deadline = due;
    if (due != Time::max()) deadlines_.insert({due, id});
  }

  // Returns the request with the earliest deadline if that has passed.
  std::optional<RequestId> next_due() const {
    if (deadlines_.empty() || deadlines_.begin()->first > context_.now) return std::nullopt;
    return deadlines_.begin()->second;
  }

  // Called when the host's timer fires, which a coarser clock can do slightly early.
  void on_due(TimerId timer) {
    if (timer == TimerId(last_timer_)) armed_until_ = {};
  }

  // Arms the host's timer for the earliest deadline or `next`, whichever is sooner; Time::max()
  // means neither.
  void arm(Time next) {
    if (!deadlines_.empty()) next = std::min(next, deadlines_.begin()->first);
    if (next == Time::max() || (armed_until_ > context_.now && armed_until_ <= next)) return;
    armed_until_ = next;
    const auto delay = std::max(next - context_.now, Duration(1));
    context_.actions.emplace_back(SetTimer{TimerId(++last_timer_), delay});
  }

 private:
  DecisionContext& context_;
  std::set<std::pair<Time, RequestId>> deadlines_;
  Time armed_until_{};
  std::uint64_t last_timer_ = 0;
};

}  // namespace petrelrail::policy
