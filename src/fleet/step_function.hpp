// A rate as a step function of time that changes at whole minutes only. Used by the reservation
// ledger; holds one entry per step.
#pragma once

#include <iterator>
#include <map>

#include "reservation.hpp"

namespace petrelrail::fleet {

class StepFunction {
 public:
  // Adds the window's rate over the window, or subtracts it.
  void add(const Window& w, bool subtract = false) {
    const auto end = insert_step(w.to), begin = insert_step(w.from);
    for (auto i = begin; i != end; ++i) subtract ? i->second -= w.rate : i->second += w.rate;
    remove_if_redundant(end), remove_if_redundant(begin);
  }
  struct Segment {
    Rate rate;
    Minute to;  // time of the next step; Minute::max() after the last
  };
  Segment at(Minute t) const {
    const auto next = steps_.upper_bound(t);
    return {next == steps_.begin() ? Rate{} : std::prev(next)->second,
            next == steps_.end() ? Minute::max() : next->first};
  }

  // Reads the function at ascending times in amortized constant time.
  class Cursor {
   public:
    Cursor(const std::map<Minute, Rate>& steps, Minute t)
        : next_(steps.upper_bound(t)), end_(steps.end()) {
      if (next_ != steps.begin()) segment_.rate = std::prev(next_)->second;
      segment_.to = next_ == end_ ? Minute::max() : next_->first;
    }
    const Segment& at(Minute t) {
      for (; segment_.to <= t; segment_.to = ++next_ == end_ ? Minute::max() : next_->first)
        segment_.rate = next_->second;
      return segment_;
    }

   private:
    std::map<Minute, Rate>::const_iterator next_, end_;
    Segment segment_{};
  };
  Cursor cursor(Minute t) const { return {steps_, t}; }

 private:
  using Map = std::map<Minute, Rate>;  // rate from the key on; zero before the first and after the
                                       // last step
  Map::iterator insert_step(Minute t) {
    const auto next = steps_.lower_bound(t);
    if (next != steps_.end() && next->first == t) return next;
    return steps_.emplace_hint(next, t, next == steps_.begin() ? Rate{} : std::prev(next)->second);
  }
  void remove_if_redundant(Map::iterator i) {
    if (i->second == (i == steps_.begin() ? Rate{} : std::prev(i)->second)) steps_.erase(i);
  }
  Map steps_;
};

}  // namespace petrelrail::fleet
