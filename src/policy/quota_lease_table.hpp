// Leases of quota units by customer, plan and window, the counter calls that obtain them, and the
// concurrency slots of plans that limit them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "petrelrail/events.hpp"
#include "policy/counter_keys.hpp"
#include "policy/counter_rate_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/quota_lease.hpp"
#include "policy/transition_log.hpp"

namespace petrelrail::policy {

// Invariants: units are spent only under the plan and in the window for which they were leased; at
// most one call is in flight per lease and window; the units that all gateways hold and have spent
// in one window never exceed its limit while the counter keeps its counts.
class QuotaLeaseTable {
 public:
  explicit QuotaLeaseTable(DecisionContext& context);

  const WindowedQuota& quota(PlanIndex plan) const;
  CounterRateLimiter& rate_limiter() { return rate_limiter_; }
  const CounterRateLimiter& rate_limiter() const { return rate_limiter_; }

  bool empty() const { return leases_.empty(); }
  std::size_t size() const { return leases_.size(); }
  std::size_t outstanding_calls() const { return calls_.size(); }
  QuotaLease* find(LeaseId id);  // null if there is none
  const QuotaLease* find(LeaseId id) const;
  // Returns the lease of the request's customer and plan; creates it if there is none.
  QuotaLease& lease_of(const QuotaRequest& request);
  // Like lease_of(), but returns null if the table is full and no lease can be evicted.
  QuotaLease* find_or_create(const QuotaRequest& request);

  // ---- Size, see quota_lease_eviction.cpp
  // Upper bound of what one lease takes, in bytes.
  static std::size_t max_bytes_per_lease();
  void set_max_leases(std::size_t max_leases) { max_leases_ = max_leases; }
  std::uint64_t evicted() const { return evicted_; }

  // ---- Units
  // Records the demand of one request in the present window. Without a counter, this gateway's
  // share of the limit is available at once.
  void record_request(const QuotaRequest& request, QuotaLease& lease);
  // Takes the request's units. Returns false if the lease holds too few.
  bool take(QuotaRequest& request, QuotaLease& lease) const;
  // Returns unspent units to the lease; a negative number takes additional ones. No effect once the
  // window has ended.
  void return_units(const QuotaRequest& request, double units);
  // Returns whether the units taken belong to the present window; units of an earlier window have
  // expired.
  bool still_holds_units(QuotaRequest& request);
  Duration until_next_window(const QuotaLease& lease) const;
  // Retry advice while the counter is down. The duration of the outage is unknown: the time that it
  // has already lasted is the best estimate of what remains.
  Duration outage_backoff() const;

  // Number of the plan's concurrency slots that this gateway may use: what the other gateways are
  // likely to leave, estimated from their lease rate and the latency of an answer, but at least an
  // even share. This avoids rejections here while slots are free elsewhere. Drawback: the limit can
  // be exceeded briefly after a customer moves to another gateway. If the even share is less than
  // one slot, this window's leases decide; until they are known, a request may be sent to the
  // counter. `latency` is in seconds.
  std::uint32_t concurrency_slots(const QuotaRequest& request, const QuotaLease& lease,
                                  double latency) const;
  // Slots held by the customer's requests under all of its plans.
  SlotCounts slots_of(CustomerId customer) const;

  // ---- Calls to the counter
  // Priority of a counter call for the request. Calls under a ceiling rank higher, as no request
  // passes a ceiling without a call.
  double call_priority(const QuotaRequest& request) const;
  bool has_outstanding_call(const QuotaLease& lease) const;
  // Makes or queues a counter call for the waiting requests. Returns false if no call for this
  // window can grant units.
  bool request_units(QuotaLease& lease);
  // Returns the next lease whose queued call may be made, or null.
  QuotaLease* next_in_queue();
  // Returns the lease that the response belongs to, or null if it no longer exists.
  QuotaLease* on_response(const CounterResponse& response);

  // Returns whether a request may be admitted before its units are leased. This protects customers
  // within their quotas when the fleet has outgrown its counter: calls are short although the
  // counter responds. The next call for a request that could have been admitted this way adds the
  // units: it settles all unleased units of its plan, so counts stay correct on average. At most
  // one request per customer, window and gateway is admitted, none under a ceiling, and only if the
  // customer sends no more requests here than an even share of its rate and was not recently found
  // over its quota. Drawback: a customer over its quota gains by sending one request to each of
  // many gateways.
  bool may_admit_before_lease(const QuotaRequest& request, const QuotaLease& lease) const;
  void admit_before_lease(const QuotaRequest& request, QuotaLease& lease);

  // Logs whether the counter is considered down, if that has changed.
  void log_availability();

  // Drops leases of past windows, so that one-time customers do not accumulate.
  void sweep();

  // ---- Hand-over
  // Units are held by only one of the two gateways: exporting removes them here. `slot_releases`
  // gives the expected release times of slots held by requests of this gateway.
  void export_state(HandoverState& state, std::map<LeaseId, std::vector<Time>> slot_releases);
  void restore(const HandoverState& state);
  // Called when the successor has ended.
  void resume() { handed_over_ = false; }

 private:
  struct CounterCall {
    LeaseId lease;
    std::int64_t window = 0;
    double quantum = 0;  // units wanted; 0: the call only returns units
    double amount = 0;   // what was added, less corrections
  };
  struct Demand;  // of all requests that wait for a lease
  // Position of a predecessor's plan in these settings; nullopt if it is not among them.
  struct ImportedPlan {
    std::optional<PlanIndex> plan;
    bool same_windows = false;  // windows are numbered and counted as here
  };

  // ---- Windows, only for leases under a plan with a rate
  Duration window_offset(const QuotaLease& lease) const;
  std::int64_t window_at(const QuotaLease& lease, Time time) const;
  std::int64_t window_at_present(const QuotaLease& lease) const;
  Time window_start(const QuotaLease& lease) const;
  void roll_window(QuotaLease& lease) const;

  bool make_room();
  bool is_evictable(const QuotaLease& lease) const;
  static bool holds_units(const QuotaLease& lease) {
    return lease.state.current.held > 0 || !lease.state.prefetched.empty();
  }

  Demand demand_of(const QuotaLease& lease) const;
  double quantum_for(const QuotaLease& lease, const Demand& demand) const;
  void call_counter(QuotaLease& lease, std::int64_t window, double quantum, double amount);
  void prefetch(const QuotaRequest& request, QuotaLease& lease);
  void apply_failure(const CounterCall& call, CounterOutcome outcome, const WindowedQuota& quota,
                     WindowUnits& units) const;
  void apply_response(const CounterCall& call, double total, QuotaLease& lease, WindowUnits& units);
  void record_usage(double total, const WindowUnits& units, QuotaLease& lease) const;
  ImportedPlan import_plan(const HandoverState& state, PlanIndex exported) const;
  // Returns whether the present window of an exported lease has the same number under a plan here.
  bool has_same_window_number(const HandoverState::CustomerLease& exported, PlanIndex plan,
                              Time exported_at) const;

  DecisionContext& context_;
  CounterRateLimiter rate_limiter_;
  std::vector<WindowedQuota> quotas_;  // by plan
  CounterKeys counter_keys_;
  std::map<LeaseId, QuotaLease> leases_;
  std::map<CounterKey, CounterCall> calls_;  // in flight
  // By plan: units admitted before they were leased and not yet added to any count.
  std::vector<double> unsettled_units_;
  // Slots held by a predecessor's requests, by expected release time.
  std::multimap<Time, LeaseId> inherited_slots_;
  Time counter_reset_ = Time::min();  // when the counter was last seen to have lost counts
  bool handed_over_ = false;          // a successor has taken over
  TransitionLog<bool> availability_log_{false};  // of CounterRateLimiter::is_down()
  std::size_t max_leases_ = std::numeric_limits<std::size_t>::max();
  std::uint64_t evicted_ = 0;
  std::optional<Time> last_eviction_time_;
  Time next_eviction_time_ = Time::min();  // the last search found nothing to evict
};

}  // namespace petrelrail::policy
