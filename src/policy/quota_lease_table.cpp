#include "policy/quota_lease_table.hpp"

#include <cmath>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "policy/decaying_counter.hpp"
#include "policy/tuning.hpp"

namespace petrelrail::policy {
namespace {

constexpr double kQuantumRequests = 4;  // "a few requests' units" in one lease
// How far ahead units are leased: outlasts most outages of a counter.
constexpr Duration kPrefetchSpan = 20s;
constexpr std::int64_t kMaxPrefetchWindows = 16;  // bounds the table and the calls
constexpr int kMaxPrefetchCalls = 2;              // for one request
// Of the customer's demand: some more, as arrivals are uneven.
constexpr double kPrefetchShare = 1.25;
// Part of the quantum that must be missing before a call is made.
constexpr double kPrefetchStep = 0.5;
// Requests a window here from which a customer counts as steady.
constexpr double kSteadyDemand = 0.4;
// Part of a window before which its count says little of the rate.
constexpr double kMinElapsedShare = 0.25;
constexpr double kUnitTolerance = 1e-6;   // totals come rounded to seven digits
constexpr double kCountTolerance = 2e-3;  // or to thousandths: less is missing from no count
constexpr double kMinSpan = 1e-9;         // seconds, so that nothing is divided by none

}  // namespace

struct QuotaLeaseTable::Demand {
  double units = 0, largest = 1, gateways = 1, priority = 0;
  bool settles_plan = false;
};

QuotaLeaseTable::QuotaLeaseTable(DecisionContext& context)
    : context_(context),
      rate_limiter_(context.settings.counter_timeout, context.settings.fleet_size),
      quotas_(context.settings.plans.begin(), context.settings.plans.end()),
      count_names_(context.settings.plans, quotas_),
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
    const double even_part = quota(state.plan).limit / std::max(1U, request.gateways);
    state.current.counted = 1;
    state.current.exhausted = true;
    state.current.held = std::max(context_.settings.max_units, even_part);
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

void QuotaLeaseTable::give_back(const QuotaRequest& request, double units) {
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
  return std::max(scaled(context_.settings.counter_timeout, kRetryTimeouts),
                  context_.now - rate_limiter_.down_since());
}

std::uint32_t QuotaLeaseTable::concurrency_slots(const QuotaRequest& request,
                                                 const QuotaLease& lease, double latency) const {
  const auto& state = lease.state;
  const auto limit = at(context_.settings.plans, request.plan).max_concurrent;
  const auto even_part = limit / std::max(1U, request.gateways);
  if (state.other_gateways_rate < 0 || !quota(request.plan).metered) return std::max(1U, even_part);
  const auto start = window_start(lease);
  if (even_part == 0 && state.last_call_time < start) return limit;
  const double elapsed = seconds(context_.now - start);
  const double elapsed_at_call = seconds(state.last_call_time - start) /
                                 std::max(kMinSpan, elapsed);
  // Of what was leased a while ago, as if nothing had been since: what is asked now is told the
  // rest.
  const double span = even_part == 0 ? std::min(latency, elapsed) * elapsed_at_call : latency;
  const double others = state.other_gateways_rate / std::max(request.units, kUnitTolerance) * span;
  const double chance = even_part == 0 ? 0 : std::sqrt(others);
  const double left = even_part == 0 ? limit - others : limit - others - chance;
  return std::max(even_part, static_cast<std::uint32_t>(std::max(left, 0.0)));
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
  return calls_.contains(count_names_.key(lease.id(), lease.state.current.window));
}

QuotaLeaseTable::Demand QuotaLeaseTable::demand_of(const QuotaLease& lease) const {
  Demand demand;
  for (const auto* request : lease.waiting) {
    demand.priority = std::min(1.0, demand.priority + call_priority(*request));
    demand.settles_plan = demand.settles_plan || request->settles_plan;
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
  // While calls are short, fewer of them, each for a window's demand: more than an even part, which
  // for a customer of many gateways, who comes unevenly, would be less than one request.
  const double few_here = std::min(few_requests, limit / kQuantumRequests);
  if (rate_limiter_.is_congested()) {
    const double part = std::max(limit / demand.gateways, few_here);
    quantum = std::max(quantum, std::min(lease.state.average_demand, part));
  }
  if (handed_over_) quantum = 0;
  // A part of a request would lie here unspent.
  quantum = std::floor(quantum / demand.largest) * demand.largest;
  const double missing = demand.units - lease.state.current.held;
  return std::min(std::max({quantum, missing, demand.largest}), limit);
}

bool QuotaLeaseTable::request_units(QuotaLease& lease) {
  auto& units = lease.state.current;
  const auto& plan_quota = quota(lease.state.plan);
  // After a loss of counts nobody knows what was leased: windows begun before it stay shut for
  // ceilings.
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
  if (demand.settles_plan) {
    auto& of_plan = at(unsettled_units_, lease.state.plan);
    unsettled = std::min(std::exchange(of_plan, 0.0), plan_quota.limit);
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
  const bool was_down = rate_limiter_.is_down();
  rate_limiter_.on_response(context_.now, response.outcome, response.duration);
  if (was_down != rate_limiter_.is_down())
    context_.log(was_down ? "counter answers again" : "counter held to be down");
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
  return (state.recent_requests - 1) * request.gateways <=
         at(context_.settings.plans, request.plan).rate * seconds(kUsageMemory);
}

void QuotaLeaseTable::admit_before_lease(const QuotaRequest& request, QuotaLease& lease) {
  lease.state.current.admitted_before_lease = true;
  at(unsettled_units_, request.plan) += request.units;
}

void QuotaLeaseTable::sweep() {
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

// Windows are staggered by customer so that their starts do not crowd the counter.
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

// ---- What a call asks and what its answer says

void QuotaLeaseTable::call_counter(QuotaLease& lease, std::int64_t window, double quantum,
                                   double amount) {
  const auto key = count_names_.key(lease.id(), window);
  calls_[key] = CounterCall{lease.id(), window, quantum, amount};
  rate_limiter_.consume();
  const auto windows = window - lease.state.current.window + 1;
  const auto end = window_start(lease) + windows * quota(lease.state.plan).window;
  const auto lifetime = end - context_.now + context_.settings.counter_timeout;
  context_.actions.emplace_back(AddToCounter{key, amount, std::min(lifetime, kMaxCounterLifetime)});
}

// Leases for windows to come, so that held units carry a customer over an outage of the counter.
// Only for one that asked here in window after window, no more than that and within the quantum's
// bound, so that half of every window stays free. It hurts when the customer then comes elsewhere:
// what is held here is missing there. Not under a ceiling: a lost count may not be spent.
void QuotaLeaseTable::prefetch(const QuotaRequest& request, QuotaLease& lease) {
  const auto& plan_quota = quota(lease.state.plan);
  const double demand = lease.state.average_demand;
  if (handed_over_ || plan_quota.has_ceiling || !context_.settings.counter ||
      rate_limiter_.had_failures() || demand < kSteadyDemand * request.units ||
      request.units * request.gateways > plan_quota.limit || !rate_limiter_.has_spare_tokens())
    return;
  const double even_half = std::floor(plan_quota.limit / (2.0 * request.gateways));
  const double quantum = std::clamp(std::ceil(demand * kPrefetchShare), request.units,
                                    std::max(even_half, request.units));
  const auto windows = std::min<std::int64_t>(kMaxPrefetchWindows,
                                              kPrefetchSpan / plan_quota.window);
  const auto present = lease.state.current.window;
  int calls = 0;
  for (auto window = present + 1; window <= present + windows && calls < kMaxPrefetchCalls;
       ++window) {
    auto& units = lease.units_of(window);
    const double missing = quantum - units.held;
    if (units.exhausted || missing < kPrefetchStep * quantum ||
        calls_.contains(count_names_.key(lease.id(), window)))
      continue;
    ++calls;
    call_counter(lease, window, missing, missing - std::exchange(units.correction, 0));
  }
}

// A timed-out add counts as refused and is taken off at the next call. Under a ceiling it is not:
// were it never added, taking it off would let the count run past the limit.
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
  const auto answered_before = std::exchange(units.last_response_time, context_.now);
  units.counted += call.amount;
  const double tolerance = kUnitTolerance * std::max(1.0, std::abs(total)) + kUnitTolerance;
  if (total < units.counted - tolerance - kCountTolerance) {  // the counter has lost its counts
    // One loss shows in every count that is older: it is not lost anew each time.
    if (answered_before > counter_reset_) {
      context_.log("counter lost its counts");
      counter_reset_ = context_.now;
    }
    if (plan_quota.has_ceiling) {
      units.exhausted = true;
      return;
    }
    units.counted = total;
    total += counted_before;  // at least what this gateway had leased is used
  }
  const double excess = std::clamp(total - plan_quota.limit, 0.0, call.quantum);
  if (call.quantum > 0 && call.window == lease.state.current.window)
    record_usage(total, units, lease);
  units.held += call.quantum - excess;
  if (total >= plan_quota.limit - tolerance) units.exhausted = true;
  // What a spent window did not grant would help nobody; when calls are short nothing is handed
  // back.
  if (excess > tolerance && excess < call.quantum - tolerance && !rate_limiter_.is_congested())
    call_counter(lease, call.window, 0, -excess);
}

// What the count of the present window says of the customer's demand, here and elsewhere.
void QuotaLeaseTable::record_usage(double total, const WindowUnits& units,
                                   QuotaLease& lease) const {
  const auto& plan_quota = quota(lease.state.plan);
  const double left = seconds(until_next_window(lease)) / seconds(plan_quota.window);
  const double elapsed_share = std::max(1 - left, kMinElapsedShare);
  lease.state.demand_ratio = total / plan_quota.limit / elapsed_share;
  const auto elapsed = std::max(context_.now - window_start(lease), Duration(1ms));
  lease.state.other_gateways_rate = std::max(0.0, total - units.counted) / seconds(elapsed);
  lease.state.last_call_time = context_.now;
}

}  // namespace petrelrail::policy
