#include "policy/admission_controller.hpp"

#include <algorithm>

#include "common/lookup.hpp"

namespace petrelrail {

using namespace policy;

namespace {

// Limits retries to a tenth of the requests.
constexpr double kRetryTokensPerRequest = 0.1;
// Upper bound of the retry tokens that can accumulate.
constexpr double kMaxRetryTokens = 10;
// Number of expected latencies after which a predecessor's concurrency slot is presumed free.
constexpr double kSlotReleaseLatencies = 2;
// Interval between clean-ups of leases and idle connections.
constexpr Duration kSweepInterval = 250ms;
// Minimum back-off as a fraction of the latency objective; up to one objective of random jitter is
// added.
constexpr double kMinBackoffShare = 0.5;

Settings validated(Settings settings) {
  validate(settings);
  return settings;
}

}  // namespace

Gateway::AdmissionController::AdmissionController(Settings settings, std::uint64_t seed,
                                                  const ConnectionView* connections)
    : context_{validated(std::move(settings)), connections, std::mt19937_64(seed)},
      classes_(std::make_shared<const ClassSnapshot>(context_.settings, nullptr)),
      retry_tokens_(kMaxRetryTokens) {}

std::vector<Action> Gateway::AdmissionController::handle(Time now, const Event& event) {
  context_.now = now;
  context_.actions.clear();
  if (context_.settings.discovery_needs_subscription && !std::exchange(subscribed_, true))
    context_.actions.emplace_back(Subscribe{});
  leases_.rate_limiter().refill(now);
  std::visit([this](const auto& typed_event) { on(typed_event); }, event);
  while (auto* lease = leases_.next_in_queue()) process_waiting(*lease);
  serve_queued();
  arm_timer();
  return std::move(context_.actions);
}

TableSizes Gateway::AdmissionController::sizes() const {
  return {requests_.size(),  leases_.size(),
          endpoints_.size(), leases_.outstanding_calls(),
          timers_.size(),    leases_.rate_limiter().queue_size(),
          leases_.evicted()};
}

std::uint32_t Gateway::AdmissionController::best_effort_capacity(Time now) {
  context_.now = now;
  auto& limiter = leases_.rate_limiter();
  limiter.refill(now);
  if (!queue_.empty() || limiter.is_down() || !limiter.has_spare_tokens()) return 0;
  return load_balancer_.best_effort_capacity();
}

HandoverState Gateway::AdmissionController::export_state(Time now) {
  context_.now = now;
  HandoverState state;
  state.export_time = now;
  state.concurrency_limit = load_balancer_.concurrency_limit();
  endpoints_.export_state(state);
  classes_->export_state(state);
  std::map<LeaseId, std::vector<Time>> slot_releases;
  for (const auto& [id, request] : requests_) {
    if (!request.holds_slot) continue;
    const auto release_time = now +
                              from_seconds(kSlotReleaseLatencies * request.expected_latency());
    slot_releases[request.quota.lease_id()].push_back(
        std::min(request.deadline.time(), release_time));
  }
  leases_.export_state(state, std::move(slot_releases));
  return state;
}

// ---- Events

void Gateway::AdmissionController::on(const RestoreState& event) {
  load_balancer_.restore_limit(event.state->concurrency_limit);
  endpoints_.restore(*event.state);
  classes_->restore(*event.state);
  leases_.restore(*event.state);
}

void Gateway::AdmissionController::on(const SettingsChanged& event) {
  validate_change(context_.settings, *event.settings);
  context_.settings = *event.settings;
  classes_ = std::make_shared<const ClassSnapshot>(context_.settings, classes_.get());
}

void Gateway::AdmissionController::on(const EndpointListUpdate& event) {
  if (event.kind != EndpointListKind::failed) return endpoints_.apply_list(event);
  subscribed_ = false;  // the subscription is requested again with the next event
}

void Gateway::AdmissionController::on(const CounterResponse& event) {
  if (auto* lease = leases_.on_response(event)) process_waiting(*lease);
}

void Gateway::AdmissionController::on(const CounterRecovered&) {
  auto& limiter = leases_.rate_limiter();
  if (!limiter.is_down()) return;
  limiter.on_recovered();
  leases_.log_availability();
}

void Gateway::AdmissionController::on(const FleetView& event) {
  leases_.rate_limiter().set_gateways(
      std::clamp(event.live_gateways, 1U, context_.settings.fleet_size));
}

void Gateway::AdmissionController::on(const RequestArrived& event) {
  if (requests_.contains(event.request)) return;
  if (static_cast<std::size_t>(event.request_class) >= context_.settings.classes.size() ||
      static_cast<std::size_t>(event.plan) >= context_.settings.plans.size()) {
    context_.actions.emplace_back(Reject{event.request, {}, RejectionReason::no_endpoint});
    return;
  }
  endpoints_.on_request_arrived();
  auto& request = requests_.try_emplace(event.request, context_, event, classes_).first->second;
  retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + kRetryTokensPerRequest);
  if (request.misses_objective(context_.now))
    return reject(request, reject_backoff(), RejectionReason::objective_missed);
  if (request.quota.best_effort && best_effort_capacity(context_.now) == 0)
    return reject(request, reject_backoff(), RejectionReason::best_effort);
  admit(request);
}

void Gateway::AdmissionController::on(const AttemptEnded& event) {
  auto* request = find_or_null(requests_, event.request);
  if (!request || event.attempt >= request->attempts.size()) return;
  auto& attempt = request->attempts[event.attempt];
  if (!std::exchange(attempt.outstanding, false)) return;
  auto& endpoint = endpoints_.get(attempt.endpoint);
  endpoints_.on_attempt_ended(endpoint, *request, attempt, event);
  load_balancer_.on_attempt_ended(*request, event);
  request->on_attempt_ended(attempt, event.outcome, endpoint.info);
  if (event.settled_units > 0 && context_.settings.units_settled_after)
    leases_.return_units(request->quota, request->quota.units - event.settled_units);
  request->body_consumed = request->body_consumed || event.body_consumed;
  if (event.request_completed) end(*request);
  if (request->stage != RequestStage::ended && request->outstanding_attempts() == 0)
    retry_or_fail(*request);
  erase_if_done(event.request);
}

void Gateway::AdmissionController::on(const RequestReceived& event) {
  if (auto* request = find_or_null(requests_, event.request))
    request->on_received(context_.now, event.time_left);
}

// A request that waits for capacity begins now, if need be beyond the concurrency limit; one that
// waits for units is rejected at that time.
void Gateway::AdmissionController::on(const StartLimited& event) {
  auto* request = find_or_null(requests_, event.request);
  if (!request) return;
  request->latest_start = std::min(request->latest_start, event.latest_start);
  if (request->stage == RequestStage::waiting_for_lease)
    return timers_.set(request->id(), request->timer_deadline,
                       std::max(context_.now, request->queue_deadline()));
  if (request->stage != RequestStage::queued) return;
  std::erase(queue_, request->id());
  request->stage = RequestStage::waiting_for_lease;
  forward_first(*request);
}

void Gateway::AdmissionController::on(const ClientDisconnected& event) {
  if (auto* request = find_or_null(requests_, event.request)) end(*request);
  erase_if_done(event.request);
}

void Gateway::AdmissionController::on(const TimerDue& event) {
  timers_.on_due(event.timer);
  while (const auto id = timers_.next_due()) {
    auto& request = requests_.at(*id);
    const bool waits_for_lease = request.stage == RequestStage::waiting_for_lease;
    reject(request, reject_backoff(),
           waits_for_lease ? RejectionReason::lease_timeout : RejectionReason::queue_timeout);
  }
  if (context_.now < next_sweep_) return;
  next_sweep_ = context_.now + kSweepInterval;
  leases_.sweep();
  endpoints_.sweep();
}

// ---- Admission

// Takes the request's units and forwards it, queues it for a lease, or rejects it.
void Gateway::AdmissionController::admit(Request& request) {
  const bool metered = leases_.quota(request.quota.plan).metered;
  const bool limited = at(context_.settings.plans, request.quota.plan).max_concurrent > 0;
  if (!metered && !limited) return forward_first(request);
  auto* lease = leases_.find_or_create(request.quota);
  if (!lease) return reject(request, reject_backoff(), RejectionReason::customers_full);
  if (limited && !take_slot(request, *lease)) return;
  if (!metered) return forward_first(request);
  admit_metered(request, *lease);
}

// The slot is taken before the lease, because all requests that wait for a lease are released at
// once.
bool Gateway::AdmissionController::take_slot(Request& request, QuotaLease& lease) {
  if (request.holds_slot) return true;
  const auto slots = leases_.concurrency_slots(request.quota, lease, request.expected_latency());
  if (leases_.slots_of(request.quota.customer).in_use >= slots) {
    reject(request, reject_backoff(), RejectionReason::concurrency_limit);
    return false;
  }
  request.holds_slot = true;
  ++lease.slots_in_use;
  return true;
}

void Gateway::AdmissionController::admit_metered(Request& request, QuotaLease& lease) {
  leases_.record_request(request.quota, lease);
  if (lease.waiting.empty() && leases_.take(request.quota, lease)) return forward_first(request);
  if (lease.state.current.exhausted)
    return reject(request, leases_.until_next_window(lease), RejectionReason::quota_exhausted);
  if (!leases_.has_outstanding_call(lease) && decide_without_lease(request, lease)) return;
  wait_for_lease(request, lease);
}

bool Gateway::AdmissionController::decide_without_lease(Request& request, QuotaLease& lease) {
  const auto& limiter = leases_.rate_limiter();
  const double priority = leases_.call_priority(request.quota);
  if (limiter.is_down() && !limiter.may_call(1)) {
    reject(request, leases_.outage_backoff(), RejectionReason::counter_unavailable);
    return true;
  }
  if (!limiter.is_congested(priority)) return false;
  if (leases_.may_admit_before_lease(request.quota, lease)) {
    leases_.admit_before_lease(request.quota, lease);
    forward_first(request);
    return true;
  }
  if (context_.now + limiter.queueing_time(priority) < request.queue_deadline()) return false;
  reject(request, reject_backoff(), RejectionReason::counter_rate_limited);
  return true;
}

void Gateway::AdmissionController::wait_for_lease(Request& request, QuotaLease& lease) {
  request.quota.settles_unleased_units = leases_.may_admit_before_lease(request.quota, lease);
  request.stage = RequestStage::waiting_for_lease;
  lease.waiting.push_back(&request.quota);
  timers_.set(request.id(), request.timer_deadline,
              std::max(context_.now, request.queue_deadline()));
  if (!leases_.has_outstanding_call(lease) && !leases_.request_units(lease)) process_waiting(lease);
}

// Called after a counter response. Forwards waiting requests in order of arrival while units last;
// makes another counter call for the rest or rejects them.
void Gateway::AdmissionController::process_waiting(QuotaLease& lease) {
  while (!lease.waiting.empty()) {
    auto& request = requests_.at(lease.waiting.front()->id);
    const bool exhausted = lease.state.current.exhausted;
    if (leases_.take(request.quota, lease)) {
      lease.waiting.erase(lease.waiting.begin());
      forward_first(request);
    } else if (exhausted) {
      lease.waiting.erase(lease.waiting.begin());
      reject(request, leases_.until_next_window(lease), RejectionReason::quota_exhausted);
    } else if (!leases_.has_outstanding_call(lease) && leases_.rate_limiter().is_down()) {
      lease.waiting.erase(lease.waiting.begin());
      reject(request, leases_.outage_backoff(), RejectionReason::counter_unavailable);
    } else if (leases_.has_outstanding_call(lease) || leases_.request_units(lease)) {
      return;
    }
  }
}

// Returns whether no slot is free, by what has been learned from the lease since the request took
// its slot.
bool Gateway::AdmissionController::must_wait_for_slot(const Request& request) const {
  const auto limit = at(context_.settings.plans, request.quota.plan).max_concurrent;
  if (!request.holds_slot || limit >= request.quota.gateways) return false;
  const auto* lease = leases_.find(request.quota.lease_id());
  if (!lease) return false;
  return leases_.slots_of(request.quota.customer).forwarded >=
         leases_.concurrency_slots(request.quota, *lease, request.expected_latency());
}

// ---- Forwarding

// Makes the first attempt. Units are spent at this point: if their window has ended meanwhile, the
// request is admitted anew in the present window.
void Gateway::AdmissionController::forward_first(Request& request) {
  if (request.quota.holds_units && !leases_.still_holds_units(request.quota)) return admit(request);
  const auto selection = must_wait_for_slot(request) ? Selection{Selection::Kind::wait, {}}
                                                     : load_balancer_.select(request);
  if (selection.kind == Selection::Kind::endpoint) return forward(request, selection.endpoint);
  if (selection.kind == Selection::Kind::no_endpoint)
    return reject(request, reject_backoff(), RejectionReason::no_endpoint);
  if (context_.now >= request.queue_deadline())
    return reject(request, reject_backoff(), RejectionReason::queue_timeout);
  if (request.stage != RequestStage::queued) queue_.push_back(request.id());
  request.stage = RequestStage::queued;
  timers_.set(request.id(), request.timer_deadline, request.queue_deadline());
}

void Gateway::AdmissionController::forward(Request& request, EndpointId endpoint) {
  if (!request.attempts.empty())
    retry_tokens_ -= 1;
  else if (request.holds_slot)
    ++leases_.lease_of(request.quota).slots_forwarded;
  request.quota.holds_units = false;
  request.stage = RequestStage::forwarded;
  const double work = request.expected_latency();
  endpoints_.on_forwarded(endpoints_.get(endpoint), work);
  request.attempts.push_back(Attempt{endpoint, context_.now, work, true});
  // No time-out before the client's and no hedged requests: on overloaded servers both duplicated
  // work.
  timers_.set(request.id(), request.timer_deadline, Time::max());
  const auto timeout = std::max(request.deadline.time_left(context_.now), Duration(1));
  const Time start_deadline = std::min(request.retry_deadline(), request.latest_start);
  context_.actions.emplace_back(Send{request.id(), endpoint, timeout, start_deadline});
}

// Called when no attempt is in flight and the client still waits: retries where the class allows
// it, otherwise gives the final answer.
void Gateway::AdmissionController::retry_or_fail(Request& request) {
  if (retry_tokens_ >= 1 && request.may_retry(context_.now)) {
    const auto selection = load_balancer_.select(request);
    if (selection.kind == Selection::Kind::endpoint) return forward(request, selection.endpoint);
  }
  const auto retry_after = reject_backoff();
  if (request.client_may_retry(context_.now + retry_after))
    return reject(request, retry_after, RejectionReason::attempt_failed);
  context_.actions.emplace_back(Fail{request.id()});
  end(request);
}

// Forwards queued requests in first-in, first-out order as capacity becomes free.
void Gateway::AdmissionController::serve_queued() {
  for (std::size_t remaining = queue_.size(); remaining > 0; --remaining) {
    const auto id = queue_.front();
    queue_.pop_front();
    auto* request = find_or_null(requests_, id);
    if (!request || request->stage != RequestStage::queued) continue;
    if (must_wait_for_slot(*request)) {
      queue_.push_back(id);
      continue;
    }
    if (load_balancer_.select(*request).kind == Selection::Kind::wait) {
      queue_.push_front(id);
      return;
    }
    request->stage = RequestStage::waiting_for_lease;
    forward_first(*request);
  }
}

// ---- End of a request

// Returns the retry advice for a rejection not caused by quota: about one latency objective,
// randomised so that clients do not retry in step.
Duration Gateway::AdmissionController::reject_backoff() {
  const auto objective = context_.settings.classes.front().latency_objective;
  return scaled(objective, kMinBackoffShare + context_.random());
}

void Gateway::AdmissionController::reject(Request& request, Duration retry_after,
                                          RejectionReason reason) {
  context_.actions.emplace_back(Reject{request.id(), retry_after, reason});
  end(request);
  erase_if_done(request.id());
}

void Gateway::AdmissionController::end(Request& request) {
  if (request.stage == RequestStage::ended) return;
  // Units still held were not spent, as the request was never forwarded.
  if (std::exchange(request.quota.holds_units, false))
    leases_.return_units(request.quota, request.quota.units);
  timers_.set(request.id(), request.timer_deadline, Time::max());
  auto* lease = leases_.find(request.quota.lease_id());
  if (lease && request.stage == RequestStage::waiting_for_lease)
    std::erase(lease->waiting, &request.quota);
  request.stage = RequestStage::ended;
}

// Erases an ended request and frees its slot once no attempt is in flight: a disconnected client
// can leave an attempt behind.
void Gateway::AdmissionController::erase_if_done(RequestId id) {
  const auto* request = find_or_null(requests_, id);
  if (!request || request->stage != RequestStage::ended || request->outstanding_attempts() > 0)
    return;
  auto* lease = leases_.find(request->quota.lease_id());
  if (lease && request->holds_slot) lease->release_slot(!request->attempts.empty());
  requests_.erase(id);
}

void Gateway::AdmissionController::arm_timer() {
  const bool needs_sweep = !leases_.empty() || !endpoints_.empty();
  auto next = needs_sweep ? std::max(next_sweep_, context_.now + Duration(1)) : Time::max();
  const auto& limiter = leases_.rate_limiter();
  if (const auto priority = limiter.highest_priority())
    next = std::min(next, context_.now + limiter.time_until_call(*priority) + Duration(1));
  timers_.arm(next);
}

}  // namespace petrelrail
