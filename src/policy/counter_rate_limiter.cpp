#include "policy/counter_rate_limiter.hpp"

#include <algorithm>
#include <iterator>

namespace petrelrail::policy {
namespace {

// Assumed response time before any was observed, as a fraction of the counter's time-out.
constexpr double kInitialCallShare = 0.05;
// Number of fastest response times kept; the slowest of them is taken as the response time without
// a queue.
constexpr std::size_t kFastResponses = 3;
// Fraction of the counter's time-out beyond which a response time shows a queue at the counter.
constexpr double kSlowResponseShare = 0.3;
// Rate increase per fast response while calls are held back, as a fraction of the fair rate.
constexpr double kRateIncrease = 0.2;
// Rate increase per fast response until a queue is observed, in calls per time-out: e-fold in 20
// responses.
constexpr double kSlowStartIncrease = 0.05;
// Fraction by which the rate falls after a failed call; a slow call lowers it by less.
constexpr double kRateDecrease = 0.3;
constexpr double kMinBurst = 3;            // lower bound of the burst, in tokens
constexpr Duration kBurstSpan = 100ms;     // the burst is the rate over this span, if larger
constexpr int kFailuresUntilDown = 3;      // consecutive
constexpr double kMinResponseTime = 1e-5;  // in seconds
constexpr double kMinCycle = 1e-9;         // in seconds, bounds the fair rate

}  // namespace

CounterRateLimiter::CounterRateLimiter(Duration timeout, double gateways)
    : timeout_(std::max(timeout, Duration(1))),
      gateways_(gateways),
      fastest_response_(seconds(timeout_) * kInitialCallShare) {
  rate_ = fair_rate();
  tokens_ = std::min(burst(), 1 + rate_ * seconds(timeout_));
}

double CounterRateLimiter::burst() const {
  return std::max(kMinBurst, rate_ * seconds(kBurstSpan));
}

double CounterRateLimiter::fair_rate() const {
  return 1 / std::max(kMinCycle, gateways_ * fastest_response_);
}

bool CounterRateLimiter::is_down() const { return consecutive_failures_ >= kFailuresUntilDown; }

double CounterRateLimiter::tokens_needed(double priority) const {
  return 1 + (1 - priority) * (burst() - 1) / 2;
}

bool CounterRateLimiter::may_call(double priority) const {
  return tokens_ >= tokens_needed(is_down() ? 1 : priority);
}

Duration CounterRateLimiter::time_until_call(double priority) const {
  return from_seconds(std::max(0.0, tokens_needed(priority) - tokens_) / rate_);
}

Duration CounterRateLimiter::queueing_time(double priority) const {
  const auto ahead = std::distance(queue_.lower_bound({priority, LeaseId{}}), queue_.end());
  return time_until_call(priority) + from_seconds(static_cast<double>(ahead) / rate_);
}

bool CounterRateLimiter::is_congested(double priority) const {
  return queueing_time(priority) > scaled(timeout_, kProbeIntervalTimeouts);
}

void CounterRateLimiter::refill(Time now) {
  const auto since = std::exchange(last_refill_time_, now);
  if (since != Time{}) tokens_ = std::min(burst(), tokens_ + rate_ * seconds(now - since));
}

void CounterRateLimiter::record_fast_response(double response_time) {
  fastest_responses_.insert(std::max(response_time, kMinResponseTime));
  if (fastest_responses_.size() > kFastResponses)
    fastest_responses_.erase(std::prev(fastest_responses_.end()));
  if (fastest_responses_.size() == kFastResponses) fastest_response_ = *fastest_responses_.rbegin();
}

void CounterRateLimiter::on_recovered() {
  if (is_down()) {
    rate_ = std::max(rate_, fair_rate());
    slow_start_threshold_ = std::numeric_limits<double>::infinity();
  }
  consecutive_failures_ = 0;
}

void CounterRateLimiter::on_response(Time now, CounterOutcome outcome, Duration duration) {
  const bool ok = outcome == CounterOutcome::ok;
  if (ok) {
    record_fast_response(seconds(duration));
    on_recovered();
  } else {
    ++consecutive_failures_;
  }
  if (consecutive_failures_ == kFailuresUntilDown) down_since_ = now;
  // If calls are inherently slow, only the time beyond the fastest response shows a queue.
  const bool is_inherently_slow = fastest_response_ > seconds(timeout_) ||
                                  slow_responses_at_floor_ == kSlowResponsesAtFloor;
  const double base_time = is_inherently_slow ? fastest_response_ : 0;
  const double share = ok ? std::max(0.0, seconds(duration) - base_time) / seconds(timeout_) : 1.0;
  if (ok && !is_inherently_slow) {
    const bool fast = share < kSlowResponseShare || rate_ > kMinRateShare * fair_rate();
    slow_responses_at_floor_ = fast ? 0 : slow_responses_at_floor_ + 1;
    if (slow_responses_at_floor_ == kSlowResponsesAtFloor)
      slow_start_threshold_ = std::numeric_limits<double>::infinity();
  }
  if (share < kSlowResponseShare) {
    const double slow_start = rate_ < slow_start_threshold_ ? kSlowStartIncrease / seconds(timeout_)
                                                            : 0;
    if (!has_spare_tokens()) rate_ += std::max(slow_start, kRateIncrease * fair_rate());
  } else if (now - duration >= last_decrease_time_) {
    // Only one decrease for all calls made before the last one.
    const double excess = (share - kSlowResponseShare) / (1 - kSlowResponseShare);
    rate_ *= 1 - kRateDecrease * std::min(1.0, excess);
    slow_start_threshold_ = rate_;
    last_decrease_time_ = now;
  }
  rate_ = std::max(rate_, kMinRateShare * fair_rate());
  if (is_down()) limit_to_probe_rate();
}

void CounterRateLimiter::limit_to_probe_rate() {
  rate_ = std::min(fair_rate(), 1 / (kProbeIntervalTimeouts * seconds(timeout_)));
  tokens_ = std::min(tokens_, 0.0);
}

std::optional<double> CounterRateLimiter::highest_priority() const {
  if (queue_.empty()) return std::nullopt;
  return queue_.rbegin()->first;
}

std::optional<LeaseId> CounterRateLimiter::pop_next() {
  if (queue_.empty() || !may_call(queue_.rbegin()->first)) return std::nullopt;
  const auto last = std::prev(queue_.end());
  const auto lease = last->second;
  queue_.erase(last);
  return lease;
}

std::vector<double> CounterRateLimiter::fastest_responses() const {
  return {fastest_responses_.begin(), fastest_responses_.end()};
}

void CounterRateLimiter::restore(double rate, const std::vector<double>& fastest_responses) {
  rate_ = std::max(rate, kMinRateShare * fair_rate());
  for (const auto response_time : fastest_responses) record_fast_response(response_time);
}

}  // namespace petrelrail::policy
