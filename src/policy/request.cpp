#include "policy/request.hpp"

#include <algorithm>

#include "common/lookup.hpp"
#include "common/time_math.hpp"

namespace petrelrail::policy {
namespace {

// Fraction of the latency objective that a request may wait in the queue; a later answer would miss
// the objective.
constexpr double kQueueShare = 0.3;
// Fraction by which two values of time_left may differ and still count as equal.
constexpr double kEqualTimeTolerance = 0.01;
// Expected latency before the first answer of a class, as a fraction of the objective.
constexpr double kInitialLatencyShare = 1.0 / 8;

}  // namespace

Request::Request(DecisionContext& context, const RequestArrived& arrival,
                 std::shared_ptr<const ClassSnapshot> class_snapshot)
    : classes(std::move(class_snapshot)), class_index(arrival.request_class) {
  quota.id = arrival.request;
  quota.plan = arrival.plan;
  quota.customer = arrival.customer;
  quota.units = std::max(0.0, arrival.units);
  quota.best_effort = arrival.best_effort;
  quota.gateways = std::clamp(arrival.gateways, 1U, context.settings.fleet_size);
  const double weight = request_class().priority_weight * quota.units;
  quota.priority = std::clamp(weight / classes->max_weight, 0.0, 1.0);
  admission_jitter = context.random() + 1 - quota.priority;
  arrival_time = context.now;
  deadline = arrival.body_pending ? RequestDeadline::pending(arrival.time_left)
                                  : RequestDeadline::running(context.now, arrival.time_left);
  first_request_time = context.now - time_since_first_request(arrival);
}

const RequestClass& Request::request_class() const { return at(classes->classes, class_index); }

ClassStatistics& Request::statistics() const { return *at(classes->statistics, class_index); }

std::ptrdiff_t Request::outstanding_attempts() const {
  return std::ranges::count(attempts, true, &Attempt::outstanding);
}

double Request::expected_latency() const {
  const double average = statistics().average_latency;
  return average > 0 ? average : seconds(request_class().latency_objective) * kInitialLatencyShare;
}

void Request::on_received(Time now, Duration time_left) {
  if (!deadline.on_last_byte(now)) return;
  deadline.limit(now + time_left);
  first_request_time += now - arrival_time;
  arrival_time = now;
}

bool Request::misses_objective(Time now) const {
  const Time counted = deadline.is_running() ? now : arrival_time;
  return request_class().late_weight == 0 && counted >= objective_end();
}

Time Request::queue_deadline() const {
  const auto objective = std::max(objective_end() - arrival_time, Duration{});
  const auto time_left = deadline.time_left(arrival_time);
  const Time useful_until = arrival_time + scaled(std::min(objective, time_left), kQueueShare);
  return std::min(useful_until, latest_start);
}

Time Request::retry_deadline() const {
  const auto& class_config = request_class();
  if (!may_have_run || class_config.idempotency == Idempotency::idempotent) return Time::max();
  if (class_config.idempotency == Idempotency::non_idempotent) return Time::min();
  return first_run_time + class_config.deduplication_window;
}

bool Request::may_retry(Time now) const {
  const bool in_time = now < std::min({deadline.time(), retry_deadline(), latest_start}) &&
                       !misses_objective(now);
  return in_time && !body_consumed && attempts.size() < classes->max_attempts;
}

bool Request::client_may_retry(Time then) const {
  const auto& class_config = request_class();
  const bool known_everywhere = class_config.idempotency == Idempotency::idempotent ||
                                class_config.deduplication_scope == DeduplicationScope::all;
  return then < retry_deadline() && (!may_have_run || known_everywhere);
}

bool Request::may_go_to(const EndpointInfo& endpoint) const {
  const auto& class_config = request_class();
  if (!may_have_run || class_config.idempotency != Idempotency::idempotency_key) return true;
  switch (class_config.deduplication_scope) {
    case DeduplicationScope::zone: return endpoint.zone == first_endpoint.zone;
    case DeduplicationScope::cell: return endpoint.cell == first_endpoint.cell;
    case DeduplicationScope::all: break;
  }
  return true;
}

void Request::on_attempt_ended(const Attempt& attempt, AttemptOutcome outcome,
                               const EndpointInfo& endpoint) {
  const bool never_ran = outcome == AttemptOutcome::overloaded ||
                         outcome == AttemptOutcome::connect_failed ||
                         outcome == AttemptOutcome::never_sent;
  if (never_ran || std::exchange(may_have_run, true)) return;
  first_run_time = attempt.forwarded;
  first_endpoint = endpoint;
}

// Time since the client's first attempt. A retry's time_left is what remains of the class's
// deadline since the first attempt; a retry with the full time of an attempt carries no such
// information.
Duration Request::time_since_first_request(const RequestArrived& arrival) const {
  auto& longest = statistics().longest_time_left;
  const auto max_time = request_class().deadline;
  if (!arrival.is_retry) {
    longest = std::max(longest, std::min(arrival.time_left, max_time));
    return Duration{};
  }
  if (std::chrono::abs(arrival.time_left - longest) < scaled(longest, kEqualTimeTolerance))
    return Duration{};
  return std::max(max_time - arrival.time_left, Duration{});
}

}  // namespace petrelrail::policy
