#include "policy/quota_lease_table.hpp"

#include <cmath>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "policy/decaying_counter.hpp"
#include "policy/tuning.hpp"

namespace petrelrail::policy {
namespace {

// Size of one lease, in requests.
constexpr double kQuantumRequests = 4;
// How far ahead units are leased: longer than most counter outages.
constexpr Duration kPrefetchSpan = 20s;
// Bounds the size of the table and the number of calls.
constexpr std::int64_t kMaxPrefetchWindows = 16;
// Upper bound of prefetch calls per request.
constexpr int kMaxPrefetchCalls = 2;
// Prefetched units relative to the customer's average demand; the margin covers uneven arrivals.
constexpr double kPrefetchShare = 1.25;
// Minimum fraction of the quantum that must be missing before a call is made.
constexpr double kPrefetchStep = 0.5;
// Minimum number of requests per window here for a customer to count as steady.
constexpr double kSteadyDemand = 0.4;
// Fraction of a window before which its count is a poor estimate of the rate.
constexpr double kMinElapsedShare = 0.25;
constexpr double kUnitTolerance = 1e-6;   // totals are rounded to seven digits
constexpr double kCountTolerance = 2e-3;  // or to thousandths; a smaller difference is not a loss
constexpr double kMinSpan = 1e-9;         // in seconds, avoids division by zero

}  // namespace

struct QuotaLeaseTable::Demand {
  double units = 0, largest = 1, gateways = 1, priority = 0;
  bool settles_unleased_units = false;
};

QuotaLeaseTable::QuotaLeaseTable(DecisionContext& context)
    : context_(context),
      rate_limiter_(context.settings.counter_timeout, context.settings.fleet_size),
      quotas_(context.settings.plans.begin(), context.settings.plans.end()),
      counter_keys_(context.settings.plans, quotas_),
      unsettled_units_(quotas_.size()) {}

const WindowedQuota& QuotaLeaseTable::quota(PlanIndex plan) const { return at(quotas_, plan); }

QuotaLease* QuotaLeaseTable::find(LeaseId id) { return find_or_null(leases_, id); }

const QuotaLease* QuotaLeaseTable::find(LeaseId id) const { return find_or_null(leases_, id); }

QuotaLease& QuotaLeaseTable::lease_of(const QuotaRequest& request) {
  auto& lease = leases_[request.lease_id()];
  lease.state.customer = request.customer;
  lease.state.plan = request.plan;
  return lease;
}

// ---- Units

void QuotaLeaseTable::record_request(const QuotaRequest& request, QuotaLease& lease) {
  roll_window(lease);
  auto& state = lease.state;
  state.requested_units += request.units;
  const DecayingCounter recent{state.recent_requests, state.last_request_time};
  state.recent_requests = recent.count(context_.now, kUsageMemory) + 1;
  state.last_request_time = context_.now;
  if (!context_.settings.counter && state.current.counted == 0) {
    const double even_share = quota(state.plan).limit / std::max(1U, request.gateways);
    state.current.counted = 1;
    state.current.exhausted = true;
    state.current.held = std::max(context_.settings.max_units, even_share);
  }
  prefetch(request, lease);
}

bool QuotaLeaseTable::take(QuotaRequest& request, QuotaLease& lease) const {
  auto& units = lease.state.current;
  if (units.held + kUnitTolerance < request.units) return false;
  units.held -= request.units;
  request.holds_units = true;
  request.window = units.window;
  return true;
}

void QuotaLeaseTable::return_units(const QuotaRequest& request, double units) {
  auto* lease = find(request.lease_id());
  if (lease && lease->state.current.window == request.window) lease->state.current.held += units;
}

bool QuotaLeaseTable::still_holds_units(QuotaRequest& request) {
  auto& lease = lease_of(request);
  roll_window(lease);
  request.holds_units = lease.state.current.window == request.window;
  return request.holds_units;
}

Duration QuotaLeaseTable::until_next_window(const QuotaLease& lease) const {
  const auto end = window_start(lease) + quota(lease.state.plan).window;
  return std::max(end - context_.now, Duration(1ms));
}

Duration QuotaLeaseTable::outage_backoff() const {
  return std::max(scaled(context_.settings.counter_timeout, kProbeIntervalTimeouts),
                  context_.now - rate_limiter_.down_since());
}

std::uint32_t QuotaLeaseTable::concurrency_slots(const QuotaRequest& request,
                                                 const QuotaLease& lease, double latency) const {
  const auto& state = lease.state;
  const auto limit = at(context_.settings.plans, request.plan).max_concurrent;
  const auto even_share = limit / std::max(1U, request.gateways);
  if (state.other_gateways_rate < 0 || !quota(request.plan).metered)
    return std::max(1U, even_share);
  const auto start = window_start(lease);
  if (even_share == 0 && state.last_call_time < start) return limit;
  const double elapsed = seconds(context_.now - start);
  const double elapsed_at_call = seconds(state.last_call_time - start) /
                                 std::max(kMinSpan, elapsed);
  // Uses what was leased until the last call, as if nothing had been leased since: the response to
  // the present call reports the rest.
  const double span = even_share == 0 ? std::min(latency, elapsed) * elapsed_at_call : latency;
  const double slots_of_others = state.other_gateways_rate /
                                 std::max(request.units, kUnitTolerance) * span;
  const double deviation = even_share == 0 ? 0 : std::sqrt(slots_of_others);
  const double remaining = even_share == 0 ? limit - slots_of_others
                                           : limit - slots_of_others - deviation;
  return std::max(even_share, static_cast<std::uint32_t>(std::max(remaining, 0.0)));
}

SlotCounts QuotaLeaseTable::slots_of(CustomerId customer) const {
  SlotCounts slots;
  for (auto it = leases_.lower_bound(LeaseId{customer});
       it != leases_.end() && it->first.customer == customer; ++it) {
    slots.in_use += it->second.slots_in_use;
    slots.forwarded += it->second.slots_forwarded;
  }
  return slots;
}

// ---- Calls to the counter

double QuotaLeaseTable::call_priority(const QuotaRequest& request) const {
  return (quota(request.plan).has_ceiling + request.priority) / 2;
}

bool QuotaLeaseTable::has_outstanding_call(const QuotaLease& lease) const {
  return calls_.contains(counter_keys_.key(lease.id(), lease.state.current.window));
}

QuotaLeaseTable::Demand QuotaLeaseTable::demand_of(const QuotaLease& lease) const {
  Demand demand;
  for (const auto* request : lease.waiting) {
    demand.priority = std::min(1.0, demand.priority + call_priority(*request));
    demand.settles_unleased_units = demand.settles_unleased_units ||
                                    request->settles_unleased_units;
    demand.units += request->units;
    demand.largest = std::max(demand.largest, request->units);
    demand.gateways = std::max<double>(demand.gateways, request->gateways);
  }
  return demand;
}

double QuotaLeaseTable::quantum_for(const QuotaLease& lease, const Demand& demand) const {
  const double limit = quota(lease.state.plan).limit;
  const double few_requests = kQuantumRequests * demand.largest;
  double quantum = std::min(few_requests, limit / (2.0 * demand.gateways));
  // While calls are short, fewer calls are made, each for a window's demand. The bound is above an
  // even share, which for a customer spread unevenly over many gateways can be below one request.
  const double capped_few_requests = std::min(few_requests, limit / kQuantumRequests);
  if (rate_limiter_.is_congested()) {
    const double max_quantum = std::max(limit / demand.gateways, capped_few_requests);
    quantum = std::max(quantum, std::min(lease.state.average_demand, max_quantum));
  }
  if (handed_over_) quantum = 0;
  // A fraction of a request's units could not be spent.
  quantum = std::floor(quantum / demand.largest) * demand.largest;
  const double missing = demand.units - lease.state.current.held;
  return std::min(std::max({quantum, missing, demand.largest}), limit);
}

bool QuotaLeaseTable::request_units(QuotaLease& lease) {
  auto& units = lease.state.current;
  const auto& plan_quota = quota(lease.state.plan);
  // After a loss of counts it is unknown what was leased: windows begun before it stay closed under
  // a ceiling.
  if (plan_quota.has_ceiling && window_start(lease) <= counter_reset_) {
    units.exhausted = true;
    return false;
  }
  const auto demand = demand_of(lease);
  if (!rate_limiter_.may_call(demand.priority)) {
    rate_limiter_.remove(std::exchange(lease.queued_priority, demand.priority), lease.id());
    rate_limiter_.enqueue(demand.priority, lease.id());
    return true;
  }
  const double quantum = quantum_for(lease, demand);
  double unsettled = 0;
  if (demand.settles_unleased_units) {
    auto& plan_unsettled = at(unsettled_units_, lease.state.plan);
    unsettled = std::min(std::exchange(plan_unsettled, 0.0), plan_quota.limit);
  }
  const double correction = std::exchange(units.correction, 0);
  call_counter(lease, units.window, quantum, quantum + unsettled - correction);
  return true;
}

QuotaLease* QuotaLeaseTable::next_in_queue() {
  while (const auto id = rate_limiter_.pop_next()) {
    auto* lease = find(*id);
    if (!lease) continue;
    lease->queued_priority = -1;
    roll_window(*lease);
    return lease;
  }
  return nullptr;
}

QuotaLease* QuotaLeaseTable::on_response(const CounterResponse& response) {
  const auto node = calls_.extract(response.key);
  if (!node) return nullptr;
  const CounterCall& call = node.mapped();
  rate_limiter_.on_response(context_.now, response.outcome, response.duration);
  log_availability();
  auto* lease = find(call.lease);
  if (!lease) return nullptr;
  roll_window(*lease);
  if (lease->state.current.window > call.window) return lease;
  auto& units = lease->units_of(call.window);
  if (response.outcome == CounterOutcome::ok)
    apply_response(call, response.total, *lease, units);
  else
    apply_failure(call, response.outcome, quota(lease->state.plan), units);
  return lease;
}

bool QuotaLeaseTable::may_admit_before_lease(const QuotaRequest& request,
                                             const QuotaLease& lease) const {
  const auto& state = lease.state;
  if (quota(request.plan).has_ceiling || request.best_effort || rate_limiter_.is_down() ||
      state.current.admitted_before_lease)
    return false;
  if (context_.now < state.last_call_time + kUsageMemory) return state.demand_ratio <= 1;
  if (lease.history_unknown) return false;
  return (state.recent_requests - 1) * request.gateways <=
         at(context_.settings.plans, request.plan).rate * seconds(kUsageMemory);
}

void QuotaLeaseTable::admit_before_lease(const QuotaRequest& request, QuotaLease& lease) {
  lease.state.current.admitted_before_lease = true;
  at(unsettled_units_, request.plan) += request.units;
}

void QuotaLeaseTable::log_availability() {
  const auto report = availability_log_.update(context_.now, rate_limiter_.is_down());
  if (!report) return;
  std::string text = report->state ? "counter held to be down" : "counter answers again";
  if (report->unreported > 0)
    text += ", after " + std::to_string(report->unreported) + " changes that were not logged";
  context_.log(std::move(text));
}

void QuotaLeaseTable::sweep() {
  log_availability();
  while (!inherited_slots_.empty() && inherited_slots_.begin()->first <= context_.now) {
    auto* lease = find(inherited_slots_.begin()->second);
    if (lease && lease->slots_in_use > 0) --lease->slots_in_use;
    inherited_slots_.erase(inherited_slots_.begin());
  }
  std::erase_if(leases_, [this](const auto& entry) {
    const auto& lease = entry.second;
    const auto& state = lease.state;
    const bool metered = quota(state.plan).metered;
    const auto window = metered ? window_at_present(lease) : state.current.window + 1;
    const bool none_prefetched = state.prefetched.empty() ||
                                 state.prefetched.back().window < window;
    return window != state.current.window && none_prefetched &&
           context_.now > state.last_request_time + kUsageMemory && lease.waiting.empty() &&
           lease.slots_in_use == 0;
  });
}

// ---- Windows

// Window starts are staggered by customer to avoid bursts of calls at the counter.
Duration QuotaLeaseTable::window_offset(const QuotaLease& lease) const {
  const auto hashed = mix_hash(static_cast<std::uint64_t>(lease.state.customer));
  const auto length = static_cast<std::uint64_t>(quota(lease.state.plan).window.count());
  return Duration(static_cast<Duration::rep>(hashed % length));
}

std::int64_t QuotaLeaseTable::window_at(const QuotaLease& lease, Time time) const {
  return (time.time_since_epoch() + window_offset(lease)) / quota(lease.state.plan).window;
}

std::int64_t QuotaLeaseTable::window_at_present(const QuotaLease& lease) const {
  return window_at(lease, context_.now);
}

Time QuotaLeaseTable::window_start(const QuotaLease& lease) const {
  const auto length = quota(lease.state.plan).window;
  return Time(lease.state.current.window * length - window_offset(lease));
}

void QuotaLeaseTable::roll_window(QuotaLease& lease) const {
  auto& state = lease.state;
  const auto window = window_at_present(lease);
  if (window == state.current.window) return;
  const bool follows = window == state.current.window + 1;
  state.average_demand = follows ? (state.average_demand + state.requested_units) / 2 : 0;
  state.requested_units = 0;
  state.current = lease.units_of(window);
  std::erase_if(state.prefetched, [window](const auto& units) { return units.window <= window; });
}

// ---- Counter calls and responses

void QuotaLeaseTable::call_counter(QuotaLease& lease, std::int64_t window, double quantum,
                                   double amount) {
  const auto key = counter_keys_.key(lease.id(), window);
  calls_[key] = CounterCall{lease.id(), window, quantum, amount};
  rate_limiter_.consume();
  const auto windows = window - lease.state.current.window + 1;
  const auto end = window_start(lease) + windows * quota(lease.state.plan).window;
  const auto lifetime = end - context_.now + context_.settings.counter_timeout;
  context_.actions.emplace_back(AddToCounter{key, amount, std::min(lifetime, kMaxCounterLifetime)});
}

// Leases units for future windows, so that held units carry a customer over an outage of the
// counter. Only for customers that send requests here in consecutive windows, no more than their
// demand and within the quantum's bound, so that half of every window stays free. Drawback: if the
// customer then moves to another gateway, the units held here are missing there. Never under a
// ceiling, as the units of a lost count must not be spent.
void QuotaLeaseTable::prefetch(const QuotaRequest& request, QuotaLease& lease) {
  const auto& plan_quota = quota(lease.state.plan);
  const double demand = lease.state.average_demand;
  if (handed_over_ || plan_quota.has_ceiling || !context_.settings.counter ||
      rate_limiter_.had_failures() || demand < kSteadyDemand * request.units ||
      request.units * request.gateways > plan_quota.limit || !rate_limiter_.has_spare_tokens())
    return;
  const double half_even_share = std::floor(plan_quota.limit / (2.0 * request.gateways));
  const double quantum = std::clamp(std::ceil(demand * kPrefetchShare), request.units,
                                    std::max(half_even_share, request.units));
  const auto windows = std::min<std::int64_t>(kMaxPrefetchWindows,
                                              kPrefetchSpan / plan_quota.window);
  const auto present = lease.state.current.window;
  int calls = 0;
  for (auto window = present + 1; window <= present + windows && calls < kMaxPrefetchCalls;
       ++window) {
    auto& units = lease.units_of(window);
    const double missing = quantum - units.held;
    if (units.exhausted || missing < kPrefetchStep * quantum ||
        calls_.contains(counter_keys_.key(lease.id(), window)))
      continue;
    ++calls;
    call_counter(lease, window, missing, missing - std::exchange(units.correction, 0));
  }
}

// A timed-out add is treated as refused and subtracted by the next call. Not under a ceiling: if
// the add never happened, the subtraction would let the count run past the limit.
void QuotaLeaseTable::apply_failure(const CounterCall& call, CounterOutcome outcome,
                                    const WindowedQuota& plan_quota, WindowUnits& units) const {
  if (plan_quota.has_ceiling) return;
  const bool maybe_added = outcome == CounterOutcome::timeout;
  units.correction = maybe_added ? call.quantum : call.quantum - call.amount;
}

void QuotaLeaseTable::apply_response(const CounterCall& call, double total, QuotaLease& lease,
                                     WindowUnits& units) {
  const auto& plan_quota = quota(lease.state.plan);
  const double counted_before = units.counted;
  const auto previous_response_time = std::exchange(units.last_response_time, context_.now);
  units.counted += call.amount;
  const double tolerance = kUnitTolerance * std::max(1.0, std::abs(total)) + kUnitTolerance;
  if (total < units.counted - tolerance - kCountTolerance) {  // the counter has lost its counts
    // One loss shows in every older count and is recorded only once.
    if (previous_response_time > counter_reset_) {
      context_.log("counter lost its counts");
      counter_reset_ = context_.now;
    }
    if (plan_quota.has_ceiling) {
      units.exhausted = true;
      return;
    }
    units.counted = total;
    total += counted_before;  // a lower bound: what this gateway had leased is used
  }
  const double excess = std::clamp(total - plan_quota.limit, 0.0, call.quantum);
  if (call.quantum > 0 && call.window == lease.state.current.window)
    record_usage(total, units, lease);
  units.held += call.quantum - excess;
  if (total >= plan_quota.limit - tolerance) units.exhausted = true;
  // Units added beyond the limit are returned, as a spent window cannot grant them; while calls
  // are short they are not returned.
  if (excess > tolerance && excess < call.quantum - tolerance && !rate_limiter_.is_congested())
    call_counter(lease, call.window, 0, -excess);
}

// Updates the customer's demand ratio and the lease rate of other gateways from the count of the
// present window.
void QuotaLeaseTable::record_usage(double total, const WindowUnits& units,
                                   QuotaLease& lease) const {
  const auto& plan_quota = quota(lease.state.plan);
  const double remaining_share = seconds(until_next_window(lease)) / seconds(plan_quota.window);
  const double elapsed_share = std::max(1 - remaining_share, kMinElapsedShare);
  lease.state.demand_ratio = total / plan_quota.limit / elapsed_share;
  const auto elapsed = std::max(context_.now - window_start(lease), Duration(1ms));
  lease.state.other_gateways_rate = std::max(0.0, total - units.counted) / seconds(elapsed);
  lease.state.last_call_time = context_.now;
}

}  // namespace petrelrail::policy
