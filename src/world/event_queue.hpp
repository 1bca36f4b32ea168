// Queue of timed events, run in order of time and, for equal times, of insertion. It has no clock
// of its own: the simulated runtime advances it from event to event, the process runtime up to the
// current time. Single-threaded.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "petrelrail/gateway.hpp"

namespace petrelrail::world {

class EventQueue {
 public:
  using Callback = std::function<void()>;

  explicit EventQueue(Time begin) : now_(begin) {}

  // Time of the running event, or the time up to which all events have run. Never decreases.
  Time now() const { return clock_ ? std::max(now_, clock_()) : now_; }
  // Sets a real-time clock, which now() reads too: a runtime in real time receives input between
  // two events.
  void set_clock(std::function<Time()> clock) { clock_ = std::move(clock); }
  // An event scheduled for a time in the past runs next.
  void at(Time when, Callback callback) {
    entries_.push_back({std::max(when, now_), ++last_number_, std::move(callback)});
    std::push_heap(entries_.begin(), entries_.end(), Later{});
  }
  void after(Duration delay, Callback callback) { at(now() + delay, std::move(callback)); }

  std::optional<Time> next_time() const {
    return entries_.empty() ? std::nullopt : std::optional(entries_.front().when);
  }
  // Runs all events due up to and including `until`, also those that running events add.
  void run_until(Time until) {
    while (!entries_.empty() && entries_.front().when <= until) run_next();
    now_ = std::max(now_, until);
  }

 private:
  struct Entry {
    Time when{};
    std::uint64_t number = 0;
    Callback callback;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return std::pair(a.when, a.number) > std::pair(b.when, b.number);
    }
  };

  void run_next() {
    std::pop_heap(entries_.begin(), entries_.end(), Later{});
    const Entry due = std::move(entries_.back());
    entries_.pop_back();
    now_ = std::max(now_, due.when);
    due.callback();
  }

  Time now_;
  std::function<Time()> clock_;
  std::uint64_t last_number_ = 0;
  std::vector<Entry> entries_;
};

}  // namespace petrelrail::world
