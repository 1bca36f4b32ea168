// Units leased for customers by plan and window, the calls to the counter that lease them, and the
// concurrency slots of plans that limit them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "petrelrail/events.hpp"
#include "policy/count_names.hpp"
#include "policy/counter_rate_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/quota_lease.hpp"

namespace petrelrail::policy {

// Invariants: units are spent only under the plan and in the window they were leased for; at most
// one call is out for a lease and window; what all gateways hold and have spent of one window never
// passes its limit while the counter keeps count.
class QuotaLeaseTable {
 public:
  explicit QuotaLeaseTable(DecisionContext& context);

  const WindowedQuota& quota(PlanIndex plan) const;
  CounterRateLimiter& rate_limiter() { return rate_limiter_; }
  const CounterRateLimiter& rate_limiter() const { return rate_limiter_; }

  bool empty() const { return leases_.empty(); }
  std::size_t size() const { return leases_.size(); }
  std::size_t outstanding_calls() const { return calls_.size(); }
  QuotaLease* find(LeaseId id);  // null: there is none
  const QuotaLease* find(LeaseId id) const;
  // The lease of the request's customer under the request's plan, made if there is none.
  QuotaLease& lease_of(const QuotaRequest& request);

  // ---- Units
  // One more is asked for in this window; where there is no counter its part of the limit is there
  // at once.
  void record_request(const QuotaRequest& request, QuotaLease& lease);
  // Takes the request's units; false: not enough are held.
  bool take(QuotaRequest& request, QuotaLease& lease) const;
  // Units that a request leaves over, or lacks if below 0, are held again, within their window.
  void give_back(const QuotaRequest& request, double units);
  // Whether the units taken are of the present window. Those of one that has rolled since are gone.
  bool still_holds_units(QuotaRequest& request);
  Duration until_next_window(const QuotaLease& lease) const;
  // How long to wait while the counter is down. Nobody knows for how long: as long again as it has
  // been is the best guess.
  Duration outage_backoff() const;

  // How many of the plan's concurrency slots are this gateway's: what the others are likely to
  // leave, by the rate at which they lease and the time that an answer takes, but at least an even
  // part. Guards against rejecting here while slots are free elsewhere; it can hurt for moments
  // after a customer has moved. Where the even part is less than one slot, this window's leases
  // decide; while they are not known a request may ask. `latency` in seconds.
  std::uint32_t concurrency_slots(const QuotaRequest& request, const QuotaLease& lease,
                                  double latency) const;
  // Slots that the customer's requests hold under all of its plans.
  SlotCounts slots_of(CustomerId customer) const;

  // ---- Calls to the counter
  // What a call for it is worth: under a ceiling nothing passes without one.
  double call_priority(const QuotaRequest& request) const;
  bool has_outstanding_call(const QuotaLease& lease) const;
  // Makes a call for those that wait, or lets it wait its turn. False: for this window none can
  // help.
  bool request_units(QuotaLease& lease);
  // The next lease whose call has waited for its turn; null: none may be made yet.
  QuotaLease* next_in_queue();
  // The lease that an answer is for; null: there is none any more.
  QuotaLease* on_response(const CounterResponse& response);

  // While calls are short, though the counter answers, a request may pass before its units are
  // leased. The next call made for one that might have passed so adds them: it settles all of its
  // plan, and counts stay true on average. One for a customer, window and gateway, none under a
  // ceiling, and only if the customer comes here no more often than an even part of its rate, and
  // was not found over its quota lately. Guards what is inside quotas when the fleet has outgrown
  // its counter. It hurts where one over its quota comes once to each of many gateways.
  bool may_admit_before_lease(const QuotaRequest& request, const QuotaLease& lease) const;
  void admit_before_lease(const QuotaRequest& request, QuotaLease& lease);

  // Drops leases of past windows, so that customers seen once do not accumulate.
  void sweep();

  // ---- Hand-over
  // Units are held by one of the two alone. Slots that the requests here hold are likely free by
  // the times given.
  void export_state(HandoverState& state, std::map<LeaseId, std::vector<Time>> slot_releases);
  void restore(const HandoverState& state);
  void resume() { handed_over_ = false; }  // the successor has ended

 private:
  struct CounterCall {
    LeaseId lease;
    std::int64_t window = 0;
    double quantum = 0;  // units wanted; 0: only hands back
    double amount = 0;   // what was added, corrections taken off
  };
  struct Demand;  // of all that wait for a lease
  // Where a predecessor's plan stands in these settings; none: it is not in them.
  struct ImportedPlan {
    std::optional<PlanIndex> plan;
    bool same_windows = false;  // its windows are numbered and counted as here
  };

  // ---- Windows; of leases under a plan with a rate only
  Duration window_offset(const QuotaLease& lease) const;
  std::int64_t window_at(const QuotaLease& lease, Time time) const;
  std::int64_t window_at_present(const QuotaLease& lease) const;
  Time window_start(const QuotaLease& lease) const;
  void roll_window(QuotaLease& lease) const;

  Demand demand_of(const QuotaLease& lease) const;
  double quantum_for(const QuotaLease& lease, const Demand& demand) const;
  void call_counter(QuotaLease& lease, std::int64_t window, double quantum, double amount);
  void prefetch(const QuotaRequest& request, QuotaLease& lease);
  void apply_failure(const CounterCall& call, CounterOutcome outcome, const WindowedQuota& quota,
                     WindowUnits& units) const;
  void apply_response(const CounterCall& call, double total, QuotaLease& lease, WindowUnits& units);
  void record_usage(double total, const WindowUnits& units, QuotaLease& lease) const;
  ImportedPlan import_plan(const HandoverState& state, PlanIndex exported) const;
  // Whether the present window of an exported lease is numbered as under a plan here.
  bool is_numbered_alike(const HandoverState::CustomerLease& exported, PlanIndex plan,
                         Time exported_at) const;

  DecisionContext& context_;
  CounterRateLimiter rate_limiter_;
  std::vector<WindowedQuota> quotas_;  // by plan
  CountNames count_names_;
  std::map<LeaseId, QuotaLease> leases_;
  std::map<CounterKey, CounterCall> calls_;  // outstanding
  // By plan: units admitted before they were leased, not yet in any count.
  std::vector<double> unsettled_units_;
  // Slots taken by a predecessor's requests, until they are likely free.
  std::multimap<Time, LeaseId> inherited_slots_;
  Time counter_reset_ = Time::min();  // when the counter was last seen to have lost counts
  bool handed_over_ = false;          // a successor has taken over
};

}  // namespace petrelrail::policy
