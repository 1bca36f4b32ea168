// How many calls this gateway makes to the quota counter, and which of those that wait comes first:
// a token bucket whose rate adapts to how the counter answers (additive increase, multiplicative
// decrease, with slow start).
#pragma once

#include <limits>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "petrelrail/events.hpp"
#include "policy/quota_lease.hpp"
#include "policy/windowed_quota.hpp"

namespace petrelrail::policy {

// Of the fair rate, however bad it gets: the fleet together then leaves the counter room.
constexpr double kMinRateShare = 0.25;
// Slow answers in a row at that floor: the fleet leaves room, so it is no queue at the counter.
constexpr int kSlowResponsesAtFloor = 32;
constexpr double
    kRetryTimeouts = 2;  // trial calls to a counter that is down: one in so many time-outs

// Invariant: of all that wait, the one of the highest priority is made first. Each gateway keeps to
// its own rate, which falls with slow and failed calls and rises with quick ones, from its part of
// a counter that takes one call at a time. Guards against a queue there in which calls time out and
// are worked on for nobody. It can hurt when single answers are slow without a queue.
//
// Priorities are what a call is worth, 0 to 1. Rates are calls a second.
class CounterRateLimiter {
 public:
  CounterRateLimiter(Duration timeout, double gateways);

  double rate() const { return rate_; }
  double tokens() const { return tokens_; }
  double burst() const;  // most tokens
  // This gateway's part of what the counter takes, if each of the fleet's calls as often.
  double fair_rate() const;
  bool is_down() const;
  Time down_since() const { return down_since_; }
  bool had_failures() const { return consecutive_failures_ > 0; }  // since the last answer

  bool may_call(double priority) const;
  // Calls that nobody waits for may be made.
  bool has_spare_tokens() const { return queue_.empty() && may_call(0); }
  Duration time_until_call(double priority) const;
  // The same for one that comes now: those that wait and are worth as much are made before it.
  Duration queueing_time(double priority) const;
  // A call would be waited for longer than a healthy counter takes to answer.
  bool is_congested(double priority = 0) const;

  void refill(Time now);
  void consume(double tokens = 1) { tokens_ -= tokens; }
  void on_response(Time now, CounterOutcome outcome, Duration duration);
  // After an outage slow start begins anew: what was seen of a queue before says nothing of now.
  void on_recovered();
  void set_gateways(double gateways) { gateways_ = gateways; }

  // ---- Calls that wait for their turn, one for a lease
  void enqueue(double priority, LeaseId lease) { queue_.insert({priority, lease}); }
  void remove(double priority, LeaseId lease) { queue_.erase({priority, lease}); }
  std::size_t queue_size() const { return queue_.size(); }
  std::optional<double> highest_priority() const;  // none: no call waits
  // Takes the lease whose call is next; none: no call waits, or none may be made yet.
  std::optional<LeaseId> pop_next();

  // ---- Hand-over
  std::vector<double> fastest_responses() const;  // in seconds
  void restore(double rate, const std::vector<double>& fastest_responses);

 private:
  // Tokens that there must be for a call: the less it is worth, the more is left for others.
  double tokens_needed(double priority) const;
  void record_fast_response(double took);
  void limit_to_trials();

  Duration timeout_{};
  double gateways_ = 1;
  double fastest_response_ = 0;              // seconds: what a call takes that finds no queue
  std::multiset<double> fastest_responses_;  // so far; one alone may not have waited its turn
  double rate_ = 0, tokens_ = 0;
  // The rate below which no queue was seen: slow start lasts until then.
  double slow_start_threshold_ = std::numeric_limits<double>::infinity();
  Time refilled_{}, last_decrease_{}, down_since_{};
  std::set<std::pair<double, LeaseId>> queue_;
  int consecutive_failures_ = 0;
  // In a row, up to kSlowResponsesAtFloor: from then on the counter is slow by nature.
  int slow_responses_at_floor_ = 0;
};

}  // namespace petrelrail::policy
