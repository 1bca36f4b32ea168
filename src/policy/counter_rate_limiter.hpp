// Limits the rate of calls to the quota counter and orders the waiting calls by priority: a token
// bucket whose rate adapts to the counter's response times (additive increase, multiplicative
// decrease, slow start).
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

// Lower bound of the rate, as a fraction of the fair rate. At this rate the whole fleet leaves the
// counter spare capacity.
constexpr double kMinRateShare = 0.25;
// Consecutive slow responses at the minimum rate after which the counter is considered inherently
// slow: at that rate the fleet leaves spare capacity, so no queue can be the cause.
constexpr int kSlowResponsesAtFloor = 32;
// Interval between probe calls to a counter that is down, in counter time-outs.
constexpr double kProbeIntervalTimeouts = 2;

// Invariant: of all waiting calls, the one with the highest priority is made first. Each gateway
// adapts its own rate: it starts at the gateway's share of a counter that processes one call at a
// time, falls with slow and failed calls and rises with fast ones. This prevents a queue at the
// counter in which calls time out and are processed for nothing. Drawback: the rate also falls when
// single responses are slow without a queue.
//
// Priorities are the value of a call, from 0 to 1. Rates are in calls per second.
class CounterRateLimiter {
 public:
  CounterRateLimiter(Duration timeout, double gateways);

  double rate() const { return rate_; }
  double tokens() const { return tokens_; }
  double burst() const;  // upper bound of tokens
  // This gateway's share of the counter's capacity if all gateways call equally often.
  double fair_rate() const;
  bool is_down() const;
  Time down_since() const { return down_since_; }
  // Returns whether a call has failed since the last successful response.
  bool had_failures() const { return consecutive_failures_ > 0; }

  bool may_call(double priority) const;
  // Returns whether calls that no request waits for, such as prefetches, may be made.
  bool has_spare_tokens() const { return queue_.empty() && may_call(0); }
  Duration time_until_call(double priority) const;
  // Like time_until_call() for a call that is queued now, behind all waiting calls of at least its
  // priority.
  Duration queueing_time(double priority) const;
  // Returns whether a call would wait longer than a healthy counter takes to respond.
  bool is_congested(double priority = 0) const;

  void refill(Time now);
  void consume(double tokens = 1) { tokens_ -= tokens; }
  void on_response(Time now, CounterOutcome outcome, Duration duration);
  // Restarts slow start after an outage: the queue threshold learned before the outage is no longer
  // valid.
  void on_recovered();
  void set_gateways(double gateways) { gateways_ = gateways; }

  // ---- Queue of waiting calls, at most one per lease
  void enqueue(double priority, LeaseId lease) { queue_.insert({priority, lease}); }
  void remove(double priority, LeaseId lease) { queue_.erase({priority, lease}); }
  std::size_t queue_size() const { return queue_.size(); }
  std::optional<double> highest_priority() const;  // nullopt: no call waits
  // Removes and returns the lease whose call is next. Returns nullopt if no call waits or none may
  // be made yet.
  std::optional<LeaseId> pop_next();

  // ---- Hand-over
  std::vector<double> fastest_responses() const;  // in seconds
  void restore(double rate, const std::vector<double>& fastest_responses);

 private:
  // Tokens required for a call: the lower its priority, the more tokens remain for other calls.
  double tokens_needed(double priority) const;
  void record_fast_response(double response_time);
  void limit_to_probe_rate();

  Duration timeout_{};
  double gateways_ = 1;
  // Response time of a call that finds no queue, in seconds.
  double fastest_response_ = 0;
  // The fastest response times so far, in seconds. Several are kept, as a single one may be an
  // outlier.
  std::multiset<double> fastest_responses_;
  double rate_ = 0, tokens_ = 0;
  // Rate below which no queue was observed: slow start lasts up to this rate.
  double slow_start_threshold_ = std::numeric_limits<double>::infinity();
  Time last_refill_time_{}, last_decrease_time_{}, down_since_{};
  std::set<std::pair<double, LeaseId>> queue_;
  int consecutive_failures_ = 0;
  // Consecutive, up to kSlowResponsesAtFloor, from which on the counter is considered inherently
  // slow.
  int slow_responses_at_floor_ = 0;
};

}  // namespace petrelrail::policy
