#include "policy/slow_start.hpp"

#include <algorithm>

#include "common/time_math.hpp"

namespace petrelrail::policy {
namespace {

// Fraction of the allowed overload multiple that is sent to a server in slow start.
constexpr double kOverloadShare = 0.6;
constexpr double kMinDuration = 1e-9;  // in seconds, avoids division by zero

}  // namespace

void SlowStart::begin(Endpoint& endpoint, Time since) {
  if (context_.now - since >= context_.settings.slow_start_duration) return;
  auto& state = endpoint.slow_start;
  state.start_time = std::max(state.start_time, since);
  // The initial token fraction is random, as each gateway of a large fleet sends the server less
  // than one attempt during its warm-up.
  state.tokens = context_.random();
  state.last_refill_time = context_.now;
  endpoint.slowness = 1;
  endpoint.outlier.score = {};
  endpoint.outlier.ejection_end_time = Time::min();
  endpoint.outlier.ejection_duration = {};
  endpoint.outlier.is_unreachable = false;
}

bool SlowStart::is_active(const Endpoint& endpoint) const {
  const auto start_time = endpoint.slow_start.start_time;
  return start_time != Time::min() &&
         context_.now - start_time < context_.settings.slow_start_duration;
}

double SlowStart::factor(const Endpoint& endpoint) const {
  const double duration = std::max(kMinDuration, seconds(context_.settings.slow_start_duration));
  const double progress = seconds(context_.now - endpoint.slow_start.start_time) / duration;
  const double capacity = context_.settings.slow_start_capacity;
  return capacity + (1 - capacity) * std::clamp(progress, 0.0, 1.0);
}

void SlowStart::earn_tokens(Endpoint& endpoint, double attempts_per_second, double slowness) const {
  auto& state = endpoint.slow_start;
  const double boost = std::max(1.0, kOverloadShare * context_.settings.overload_multiple) /
                       std::max(1.0, slowness);
  const double share = std::min(1.0, boost * factor(endpoint));
  const double elapsed = seconds(context_.now - state.last_refill_time);
  state.tokens = std::min(1.0, state.tokens + elapsed * attempts_per_second * share);
  state.last_refill_time = context_.now;
}

void SlowStart::on_forwarded(Endpoint& endpoint) const {
  if (is_active(endpoint)) endpoint.slow_start.tokens -= 1;
}

}  // namespace petrelrail::policy
